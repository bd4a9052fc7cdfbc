package client

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// How users' calls are repeated.
const (
	defaultBudget = time.Minute // for all tries of a call
	retryAfter    = time.Second // unless the controller asks for a longer pause
	maxRetryAfter = 30 * time.Second
	pollInterval  = 5 * time.Second // between two queries of a job that isn't over
)

// Run is a job's state as the controllers tell it.
type Run struct {
	Ref     string `cbor:"ref" json:"ref"`
	Status  string `cbor:"status" json:"status"`
	Done    int    `cbor:"done" json:"done"`
	Running int    `cbor:"running" json:"running"`
}

// Cancelled reports whether the job was cancelled.
func (r Run) Cancelled() bool { return r.Status == wire.StatusCancelled }

// Over reports whether the job's state is final.
func (r Run) Over() bool { return r.Status == wire.StatusDone || r.Cancelled() }

// Submit submits a job that is described in JSON, with the fields of the protocol.
func (c *Client) Submit(ctx context.Context, job []byte) (Run, error) {
	fields, err := decodeJob(job)
	if err != nil {
		return Run{}, fmt.Errorf("job: %w", err)
	}
	body, err := codec.Marshal(fields)
	if err != nil {
		return Run{}, fmt.Errorf("job: %w", err)
	}
	return c.callJob(ctx, request{
		operation: fmt.Sprintf("submit job %v", fields["ref"]), method: fasthttp.MethodPost, path: wire.RunsPath,
		contentType: contentTypeCBOR, body: body,
	})
}

// Get asks for a job's state.
func (c *Client) Get(ctx context.Context, ref string) (Run, error) {
	return c.callJob(ctx, request{operation: "get job " + ref, method: fasthttp.MethodGet, path: jobPath(ref)})
}

// Cancel cancels a job, unless it is done already. The state that it returns says which.
func (c *Client) Cancel(ctx context.Context, ref string) (Run, error) {
	return c.callJob(ctx, request{
		operation: "cancel job " + ref, method: fasthttp.MethodPost, path: jobPath(ref) + wire.CancelSuffix,
	})
}

func jobPath(ref string) string { return wire.RunsPath + "/" + ref }

// Wait asks for a job's state until it is final, however long no controller answers.
func (c *Client) Wait(ctx context.Context, ref string) (Run, error) {
	for {
		run, err := c.Get(ctx, ref)
		if err != nil && !errors.Is(err, ErrGaveUp) || run.Over() {
			return run, err
		}
		if err := c.pause(ctx, pollInterval); err != nil {
			return run, err
		}
	}
}

// callJob sends a request about a job until an answer settles it, or the budget is used up.
func (c *Client) callJob(ctx context.Context, request request) (Run, error) {
	run, err := c.retry(ctx, request)
	if err != nil {
		return run, &CallError{Operation: request.operation, Addr: c.Addr, Err: err}
	}
	return run, nil
}

func (c *Client) retry(ctx context.Context, request request) (Run, error) {
	left := c.Budget
	if left == 0 {
		left = defaultBudget
	}
	for {
		began := time.Now()
		run, err := c.tryJob(ctx, request)
		pause, repeat := retryPause(err)
		if !repeat {
			return run, err
		}
		if left -= time.Since(began) + pause; left < 0 {
			return run, fmt.Errorf("%w: %w", ErrGaveUp, err)
		}
		if err := c.pause(ctx, pause); err != nil {
			return run, err
		}
	}
}

// retryPause is how long to wait after a try with an error before the next; repeat is false if the try
// settled the call.
func retryPause(err error) (pause time.Duration, repeat bool) {
	var undecided *undecidedError
	var noAnswer *noAnswerError
	switch {
	case errors.As(err, &undecided):
		return undecided.retryAfter, true
	case errors.As(err, &noAnswer):
		return retryAfter, true
	}
	return 0, false
}

// tryJob sends a request about a job once. If the answer doesn't settle the call, the error is a
// *noAnswerError or an *undecidedError.
func (c *Client) tryJob(ctx context.Context, request request) (run Run, err error) {
	err = c.send(ctx, request, func(response *fasthttp.Response) error {
		switch status := response.StatusCode(); status {
		case fasthttp.StatusOK, fasthttp.StatusCreated:
			return codec.Unmarshal(response.Body(), &run)
		case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
			return fmt.Errorf("%w (%d): %s", ErrRefused, status, refusalReason(response.Body()))
		case fasthttp.StatusNotFound:
			return ErrNotFound
		default:
			return &undecidedError{status: status, retryAfter: requestedPause(response)}
		}
	})
	return run, err
}

// refusalReason is why the controllers refuse a job; empty if they don't say.
func refusalReason(body []byte) string {
	var refusal wire.ErrorMessage
	if codec.Unmarshal(body, &refusal) != nil {
		return ""
	}
	return refusal.Error
}

// requestedPause is the pause that an answer asks for, within the bounds of the protocol.
func requestedPause(response *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil {
		return retryAfter
	}
	return min(max(retryAfter, time.Duration(seconds)*time.Second), maxRetryAfter)
}
