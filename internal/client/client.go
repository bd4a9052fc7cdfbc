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
	answerWithin = 5 * time.Second
	retryAfter   = time.Second
	retryMost    = 30 * time.Second
	pollEvery    = 5 * time.Second
)

// Client talks to a service. The fields but Addr have usable zero values.
type Client struct {
	Addr   string
	Budget time.Duration // for all tries of one call; 0: a minute
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

// Over tells whether the job's state is final.
func (r Run) Over() bool { return r.Status == "done" || r.Status == "aborted" }

// Submit submits a job described in JSON, with the fields of the protocol.
func (c *Client) Submit(ctx context.Context, job []byte) (Run, error) {
	body, err := toCBOR(job)
	if err != nil {
		return Run{}, err
	}
	return c.call(ctx, "POST", "/v2/runs", body)
}

// Get asks for a job's state.
func (c *Client) Get(ctx context.Context, ref string) (Run, error) {
	return c.call(ctx, "GET", "/v2/runs/"+ref, nil)
}

// Cancel cancels a job, unless it is done already: the state says which.
func (c *Client) Cancel(ctx context.Context, ref string) (Run, error) {
	return c.call(ctx, "POST", "/v2/runs/"+ref+"/withdraw", nil)
}

// Wait asks for a job's state until it is final. Times without an answer don't
// end it.
func (c *Client) Wait(ctx context.Context, ref string) (Run, error) {
	for {
		r, err := c.Get(ctx, ref)
		if err != nil && !errors.Is(err, ErrGaveUp) || r.Over() {
			return r, err
		}
		if err := c.pause(ctx, pollEvery); err != nil {
			return r, err
		}
	}
}

func (c *Client) pause(ctx context.Context, d time.Duration) error {
	if c.Pause != nil {
		return c.Pause(ctx, d)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// call sends a request until it gets an answer that settles it.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (Run, error) {
	if c.http == nil {
		c.http = &fasthttp.Client{Dial: c.Dial, MaxIdemponentCallAttempts: 1}
	}
	left := c.Budget
	if left == 0 {
		left = time.Minute
	}
	for {
		began := time.Now()
		r, wait, err := c.once(method, path, body)
		if err == nil || wait == 0 {
			return r, err
		}
		if left -= time.Since(began) + wait; left < 0 {
			return r, fmt.Errorf("%w: %v", ErrGaveUp, err)
		}
		if err := c.pause(ctx, wait); err != nil {
			return r, err
		}
	}
}

// once sends a request; wait says after how long to try again, 0: never.
func (c *Client) once(method, path string, body []byte) (r Run, wait time.Duration, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Addr + path)
	if body != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBody(body)
	}
	if err := c.http.DoTimeout(req, resp, answerWithin); err != nil {
		return r, retryAfter, err
	}
	switch st := resp.StatusCode(); st {
	case 200, 201:
		return r, 0, wire.Unmarshal(resp.Body(), &r)
	case 400, 422:
		var why struct {
			Error string `cbor:"error"`
		}
		_ = wire.Unmarshal(resp.Body(), &why) // the reason is a courtesy
		return r, 0, fmt.Errorf("%w (%d): %s", ErrRefused, st, why.Error)
	case 404:
		return r, 0, ErrNotFound
	default:
		wait = retryAfter
		if s, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
			wait = min(max(wait, time.Duration(s)*time.Second), retryMost)
		}
		return r, wait, fmt.Errorf("status %d", st)
	}
}

// toCBOR puts a JSON object into CBOR; whole numbers stay whole.
func toCBOR(job []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(job))
	dec.UseNumber()
	var m map[string]any
	if err := dec.Decode(&m); err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	if dec.More() {
		return nil, errors.New("job: more than one JSON value")
	}
	return wire.Marshal(plain(m))
}

func plain(v any) any {
	switch x := v.(type) {
	case json.Number:
		if n, err := x.Int64(); err == nil {
			return n
		}
		f, err := x.Float64()
		if err != nil {
			return x.String()
		}
		return f
	case map[string]any:
		for k := range x {
			x[k] = plain(x[k])
		}
	case []any:
		for i := range x {
			x[i] = plain(x[i])
		}
	}
	return v
}
