package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/drain"
)

// Paths of the operators' interface to drains.
const (
	drainsPath  = "/drains"
	previewPath = drainsPath + "/preview"
)

// drainTimeout leaves a controller time to ask the state service or the leader.
const drainTimeout = 5 * time.Second

// ErrConflict says that a drain plan can't be changed like this, or that its name is taken.
var ErrConflict = errors.New("conflict")

// StartDrain writes a new plan, and returns it as it now is: a repeat changes nothing. It
// tries once.
func (c *Client) StartDrain(plan drain.Plan) (drain.Plan, error) {
	var answer drain.Plan
	err := c.postDrain(drainsPath, plan, &answer)
	return answer, err
}

// ChangeDrain pauses, resumes or cancels a plan, and returns it as it now is. It tries once.
func (c *Client) ChangeDrain(id, verb string) (drain.Plan, error) {
	var answer drain.Plan
	err := c.postDrain(drainsPath+"/"+id+"/"+verb, nil, &answer)
	return answer, err
}

// PreviewDrain tells what a plan would do, and changes nothing.
func (c *Client) PreviewDrain(plan drain.Plan) (drain.Preview, error) {
	var answer drain.Preview
	err := c.postDrain(previewPath, plan, &answer)
	return answer, err
}

// postDrain makes a call about drains in JSON.
func (c *Client) postDrain(path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.Addr + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(request, response, drainTimeout); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrGaveUp, c.Addr, err)
	}
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return json.Unmarshal(response.Body(), answer)
	case fasthttp.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, response.Body())
	case fasthttp.StatusBadRequest:
		return fmt.Errorf("%w: %s", ErrRefused, response.Body())
	case fasthttp.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, response.Body())
	default:
		return fmt.Errorf("%w: status %d: %s", ErrGaveUp, status, response.Body())
	}
}
