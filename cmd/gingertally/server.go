package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/client"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/core"
)

// serverFlag is the flag that names the controller to which a command sends its requests.
type serverFlag struct {
	Server string `required:"" env:"GINGERTALLY_SERVER" placeholder:"HOST:PORT" help:"A controller, or the load balancer before them."`
}

// client returns a client of the controller.
func (f *serverFlag) client() *client.Client { return &client.Client{Addr: f.Server} }

// statusTimeout bounds a request for the status. It is long enough for the controller to ask the leader.
const statusTimeout = 3 * time.Second

// callError returns the error of a failed request for the status.
func (f *serverFlag) callError(err error) error {
	return &client.CallError{Operation: "get status", Addr: f.Server, Err: err}
}

// statusBody requests the controller's status and returns the JSON as the controller sent it.
func (f *serverFlag) statusBody() ([]byte, error) {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+f.Server+operatorapi.StatusPath, statusTimeout)
	switch {
	case err != nil:
		return nil, f.callError(fmt.Errorf("%w: %w", client.ErrGaveUp, err))
	case code != fasthttp.StatusOK:
		return nil, f.callError(fmt.Errorf("%w: status %d", client.ErrGaveUp, code))
	}
	return body, nil
}

// status requests and decodes the controller's status.
func (f *serverFlag) status() (operatorapi.Status, error) {
	body, err := f.statusBody()
	if err != nil {
		return operatorapi.Status{}, err
	}
	var status operatorapi.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return operatorapi.Status{}, f.callError(err)
	}
	return status, nil
}

// leaderStatus requests the controller's status and returns the leader's part of it. Without that part it
// returns an error with errLeaderUnreachable.
func (f *serverFlag) leaderStatus() (*core.Status, error) {
	status, err := f.status()
	if err != nil {
		return nil, err
	}
	if status.Leading == nil {
		return nil, f.callError(fmt.Errorf("%w: %w", client.ErrGaveUp, errLeaderUnreachable))
	}
	return status.Leading, nil
}
