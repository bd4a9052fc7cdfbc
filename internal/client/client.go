// Package client is a user's side of the service: it submits, queries and
// cancels jobs, and asks again as the users' protocol says.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Errors of the client.
var (
	// ErrRefused says that the service will never take the job.
	ErrRefused = errors.New("refused")
	// ErrNotFound says that no such job was accepted.
	ErrNotFound = errors.New("no such job")
	// ErrGaveUp says that no usable answer came in time.
	ErrGaveUp = errors.New("gave up")
)

const (
	answerWithin  = 5 * time.Second // for one try
	defaultBudget = time.Minute     // for all tries of one call
	retryAfter    = time.Second     // unless the service says when to come back
	maxRetryAfter = 30 * time.Second
	pollEvery     = 5 * time.Second
)

// Paths of the users' interface.
const (
	runsPath   = "/v2/runs"
	cancelPath = "/withdraw" // after a job's path
)

// Client talks to a service. The fields but Addr have usable zero values.
type Client struct {
	Addr   string
	Budget time.Duration // for all tries of one call; 0: defaultBudget
	// Pause waits between tries; nil: in real time.
	Pause func(ctx context.Context, d time.Duration) error
	// Dial connects; nil: over TCP.
	Dial fasthttp.DialFunc
	http *fasthttp.Client
}

// Run is a job's state as the service tells it.
type Run struct {
	Ref     string `cbor:"ref" json:"ref"`
	Status  string `cbor:"status" json:"status"`
	Done    int    `cbor:"done" json:"done"`
	Running int    `cbor:"running" json:"running"`
}

// Cancelled tells whether the job was cancelled.
func (r Run) Cancelled() bool { return r.Status == wire.StatusCancelled }

// Over tells whether the job's state is final.
func (r Run) Over() bool { return r.Status == wire.StatusDone || r.Status == wire.StatusCancelled }

// Submit submits a job described in JSON, with the fields of the protocol.
func (c *Client) Submit(ctx context.Context, job []byte) (Run, error) {
	body, err := toCBOR(job)
	if err != nil {
		return Run{}, err
	}
	return c.call(ctx, request{fasthttp.MethodPost, runsPath, body})
}

// Get asks for a job's state.
func (c *Client) Get(ctx context.Context, ref string) (Run, error) {
	return c.call(ctx, request{fasthttp.MethodGet, jobPath(ref), nil})
}

// Cancel cancels a job, unless it is done already: the state says which.
func (c *Client) Cancel(ctx context.Context, ref string) (Run, error) {
	return c.call(ctx, request{fasthttp.MethodPost, jobPath(ref) + cancelPath, nil})
}

func jobPath(ref string) string { return runsPath + "/" + ref }

// Wait asks for a job's state until it is final. Times without an answer don't
// end it.
func (c *Client) Wait(ctx context.Context, ref string) (Run, error) {
	for {
		run, err := c.Get(ctx, ref)
		if err != nil && !errors.Is(err, ErrGaveUp) || run.Over() {
			return run, err
		}
		if err := c.pause(ctx, pollEvery); err != nil {
			return run, err
		}
	}
}

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

// request is one call to the service.
type request struct {
	method, path string
	body         []byte
}

// call sends a request until it gets an answer that settles it.
func (c *Client) call(ctx context.Context, request request) (Run, error) {
	if c.http == nil {
		c.http = &fasthttp.Client{Dial: c.Dial, MaxIdemponentCallAttempts: 1}
	}
	left := c.Budget
	if left == 0 {
		left = defaultBudget
	}
	for {
		began := time.Now()
		run, wait, err := c.try(request)
		if err == nil || wait == 0 {
			return run, err
		}
		if left -= time.Since(began) + wait; left < 0 {
			return run, fmt.Errorf("%w: %w", ErrGaveUp, err)
		}
		if err := c.pause(ctx, wait); err != nil {
			return run, err
		}
	}
}

// try sends a request once; wait says after how long to try again, 0: never.
func (c *Client) try(request request) (run Run, wait time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(request.method)
	req.SetRequestURI("http://" + c.Addr + request.path)
	if request.body != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBody(request.body)
	}
	if err := c.http.DoTimeout(req, resp, answerWithin); err != nil {
		return run, retryAfter, err
	}
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		err = codec.Unmarshal(resp.Body(), &run)
		return run, 0, err
	case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
		return run, 0, fmt.Errorf("%w (%d): %s", ErrRefused, status, reason(resp.Body()))
	case fasthttp.StatusNotFound:
		return run, 0, ErrNotFound
	default:
		return run, retryWait(resp), fmt.Errorf("status %d", status)
	}
}

// reason is why the service refused a job; empty if it doesn't say.
func reason(body []byte) string {
	var refusal struct {
		Error string `cbor:"error"`
	}
	if codec.Unmarshal(body, &refusal) != nil {
		return ""
	}
	return refusal.Error
}

// retryWait is after how long the service wants the call again.
func retryWait(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek("Retry-After")))
	if err != nil {
		return retryAfter
	}
	return min(max(retryAfter, time.Duration(seconds)*time.Second), maxRetryAfter)
}

// toCBOR puts a JSON object into CBOR; whole numbers stay whole.
func toCBOR(job []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(job))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	if decoder.More() {
		return nil, errors.New("job: more than one JSON value")
	}
	return codec.Marshal(plain(fields))
}

// plain replaces JSON's numbers, at any depth, by whole numbers or floats.
func plain(value any) any {
	switch v := value.(type) {
	case json.Number:
		return plainNumber(v)
	case map[string]any:
		for key := range v {
			v[key] = plain(v[key])
		}
	case []any:
		for i := range v {
			v[i] = plain(v[i])
		}
	}
	return value
}

func plainNumber(number json.Number) any {
	if whole, err := number.Int64(); err == nil {
		return whole
	}
	float, err := number.Float64()
	if err != nil {
		return number.String()
	}
	return float
}
