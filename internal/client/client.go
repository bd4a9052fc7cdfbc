// Package client is the side of those who call a controller: users, who submit, query and cancel jobs
// (PROTOCOL: Users -> controller nodes), and operators, who drain machines (the controllers' own
// interface in JSON). A user's call is repeated as the protocol says until an answer settles it; an
// operator's call is tried once.
//
// The command line uses it, and so do the emulator's users and the tools that measure.
package client

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Client calls a controller, or the load balancer before the controllers. All fields but Addr have usable
// zero values, and none is changed after the first call; then the client may be used by many goroutines.
type Client struct {
	// Addr is the address that is called, as host:port.
	Addr string
	// Budget bounds the time for all tries of a user's call; 0 stands for a minute.
	Budget time.Duration
	// Pause waits between two tries; nil waits in real time.
	Pause func(ctx context.Context, d time.Duration) error
	// Dial opens connections; nil opens them over TCP.
	Dial fasthttp.DialFunc

	makeHTTP sync.Once
	http     *fasthttp.Client
}

// answerTimeout bounds the wait for the answer to one try. It leaves a controller time to ask the state
// service or the leader.
const answerTimeout = 5 * time.Second

// Content types of the bodies.
const (
	contentTypeCBOR = "application/cbor" // of users' calls
	contentTypeJSON = "application/json" // of operators' calls
)

// request is one request to a controller; a nil body sends none.
type request struct {
	operation    string // for errors
	method, path string
	contentType  string
	body         []byte
}

// send sends a request once and hands its answer, which is valid until handle returns, to a function.
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

// pause waits between two tries.
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
