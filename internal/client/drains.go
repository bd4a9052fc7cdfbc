package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"gingertally/internal/drain"
)

// Paths of the operators' interface for drains. The path of a change is drainsPath, a slash, the
// plan's ID, a slash and the verb.
const (
	drainsPath  = "/drains"
	previewPath = drainsPath + "/preview"
)

// StartDrain starts a plan and returns it in its current state. It is tried once. If it is repeated
// with a plan that was already started, nothing changes.
func (c *Client) StartDrain(ctx context.Context, plan drain.Plan) (drain.Plan, error) {
	var started drain.Plan
	err := c.callDrains(ctx, "start drain plan "+plan.ID, drainsPath, plan, &started)
	return started, err
}

// ChangeDrain pauses, resumes or cancels a plan, as verb says, and returns it in its current state. It
// is tried once.
func (c *Client) ChangeDrain(ctx context.Context, id, verb string) (drain.Plan, error) {
	var changed drain.Plan
	err := c.callDrains(ctx, fmt.Sprintf("%s drain plan %s", verb, id), drainsPath+"/"+id+"/"+verb, nil, &changed)
	return changed, err
}

// PreviewDrain returns what a plan would do, without starting it. It is tried once.
func (c *Client) PreviewDrain(ctx context.Context, plan drain.Plan) (drain.Preview, error) {
	var preview drain.Preview
	err := c.callDrains(ctx, "preview drain plan "+plan.ID, previewPath, plan, &preview)
	return preview, err
}

// callDrains makes a call about drains: it sends message as JSON, and decodes the JSON response into
// answer.
func (c *Client) callDrains(ctx context.Context, operation, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("%s: %w", operation, err)
	}
	call := request{
		operation: operation, method: fasthttp.MethodPost, path: path,
		contentType: contentTypeJSON, body: body,
	}
	err = c.send(ctx, call, func(response *fasthttp.Response) error {
		if err := drainStatusError(response); err != nil {
			return err
		}
		if err := json.Unmarshal(response.Body(), answer); err != nil {
			return fmt.Errorf("%w: unreadable answer: %w", ErrGaveUp, err)
		}
		return nil
	})
	var noAnswer *noAnswerError
	if errors.As(err, &noAnswer) {
		err = fmt.Errorf("%w: %w", ErrGaveUp, err)
	}
	if err != nil {
		return &CallError{Operation: operation, Addr: c.Addr, Err: err}
	}
	return nil
}

// drainStatusError returns the error for a response's status; nil if the call was carried out.
func drainStatusError(response *fasthttp.Response) error {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrNotFound, drainErrorText(response.Body()))
	case fasthttp.StatusBadRequest:
		return fmt.Errorf("%w: %s", ErrRefused, drainErrorText(response.Body()))
	case fasthttp.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, drainErrorText(response.Body()))
	default:
		return fmt.Errorf("%w: status %d: %s", ErrGaveUp, status, drainErrorText(response.Body()))
	}
}

// drainErrorText returns what a response with an error says is wrong: the text of its error message,
// or the whole body if it isn't such a message.
func drainErrorText(body []byte) string {
	var message struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &message) != nil || message.Error == "" {
		return string(body)
	}
	return message.Error
}
