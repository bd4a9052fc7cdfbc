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

// serverFlag names the controller that a command asks.
type serverFlag struct {
	Server string `required:"" env:"GINGERTALLY_SERVER" placeholder:"HOST:PORT" help:"A controller, or the load balancer before them."`
}

// client is a client of the controller.
func (f *serverFlag) client() *client.Client { return &client.Client{Addr: f.Server} }

// statusTimeout leaves the controller that is asked time to ask the leader.
const statusTimeout = 3 * time.Second

// callError says that the status couldn't be got, and why.
func (f *serverFlag) callError(err error) error {
	return &client.CallError{Operation: "get status", Addr: f.Server, Err: err}
}

// statusBody asks the controller for its status, in JSON as the controller sends it.
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

// status asks the controller for its status.
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

// leaderStatus asks the controller for the leader's part of the status.
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
