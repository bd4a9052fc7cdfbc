// Package client is a client of the controllers. Users submit, query and cancel jobs (PROTOCOL:
// Users -> controller nodes); operators drain machines, through the controllers' own JSON interface.
// A user's call is retried as the protocol says, until a response settles it or its time is used up.
// An operator's call is tried once.
//
// The command line, the emulator's users and tools/drain use it.
package client

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Client calls a controller, or a load balancer in front of the controllers. All fields but Addr have
// usable zero values. A Client is safe for concurrent use, provided that its fields aren't changed
// after the first call.
type Client struct {
	// Addr is the address of the controller or load balancer, as host:port.
	Addr string
	// RetryBudget limits the time for all tries of a user's call and the pauses between them; 0 stands
	// for a minute. No try begins once it is used up, but the last one may exceed it by up to
	// answerTimeout.
	RetryBudget time.Duration
	// Pause waits for d, or until ctx ends; nil stands for a wait in real time.
	Pause func(ctx context.Context, d time.Duration) error
	// Dial opens connections; nil stands for TCP.
	Dial fasthttp.DialFunc

	makeHTTP sync.Once
	http     *fasthttp.Client
}

// answerTimeout bounds the wait for the response to one try. It leaves a controller time to ask the
// state service or the leader.
const answerTimeout = 5 * time.Second

// Content types of request bodies.
const (
	contentTypeCBOR = "application/cbor" // in users' calls
	contentTypeJSON = "application/json" // in operators' calls
)

// request is a request to a controller. If body is nil, none is sent.
type request struct {
	operation    string // for errors
	method, path string
	contentType  string
	body         []byte
}

// send sends a request once and passes the response to handle. The response is valid only until
// handle returns. It returns the error of handle, or a *noAnswerError if there is no response. If
// ctx has already ended, nothing is sent; if it ends later, the request isn't interrupted.
func (c *Client) send(ctx context.Context, request request, handle func(*fasthttp.Response) error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	c.makeHTTP.Do(func() { c.http = &fasthttp.Client{Dial: c.Dial, MaxIdemponentCallAttempts: 1} })
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(request.method)
	req.SetRequestURI("http://" + c.Addr + request.path)
	if request.body != nil {
		req.Header.SetContentType(request.contentType)
		req.SetBody(request.body)
	}
	if err := c.http.DoTimeout(req, resp, answerTimeout); err != nil {
		return &noAnswerError{err}
	}
	return handle(resp)
}

// pause waits for d before the next try. It returns an error if ctx ends before.
func (c *Client) pause(ctx context.Context, d time.Duration) error {
	if c.Pause != nil {
		return c.Pause(ctx, d)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
