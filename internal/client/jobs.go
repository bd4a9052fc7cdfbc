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

// Timing of the retries of users' calls and of the queries of Wait.
const (
	defaultBudget = time.Minute // for all tries of a call and the pauses between them
	minRetryPause = time.Second // also the pause if the controller doesn't ask for one
	maxRetryPause = 30 * time.Second
	pollInterval  = 5 * time.Second // between two queries of Wait
)

// JobStatus is the state of a job as a controller reports it: its status and how many of its tasks are
// done and running.
type JobStatus struct {
	Ref     string `cbor:"ref" json:"ref"`
	Status  string `cbor:"status" json:"status"`
	Done    int    `cbor:"done" json:"done"`
	Running int    `cbor:"running" json:"running"`
}

// Cancelled reports whether the job was cancelled.
func (r JobStatus) Cancelled() bool { return r.Status == wire.StatusCancelled }

// Over reports whether the job's state is final.
func (r JobStatus) Over() bool { return r.Status == wire.StatusDone || r.Cancelled() }

// Submit submits a job that is described in JSON with the protocol's field names.
func (c *Client) Submit(ctx context.Context, job []byte) (JobStatus, error) {
	fields, err := decodeJob(job)
	if err != nil {
		return JobStatus{}, fmt.Errorf("job: %w", err)
	}
	body, err := codec.Marshal(fields)
	if err != nil {
		return JobStatus{}, fmt.Errorf("job: %w", err)
	}
	return c.callJob(ctx, request{
		operation: fmt.Sprintf("submit job %v", fields["ref"]), method: fasthttp.MethodPost, path: wire.RunsPath,
		contentType: contentTypeCBOR, body: body,
	})
}

// Get returns a job's state.
func (c *Client) Get(ctx context.Context, ref string) (JobStatus, error) {
	return c.callJob(ctx, request{operation: "get job " + ref, method: fasthttp.MethodGet, path: jobPath(ref)})
}

// Cancel cancels a job, unless it is already done. The returned state says which is the case.
func (c *Client) Cancel(ctx context.Context, ref string) (JobStatus, error) {
	return c.callJob(ctx, request{
		operation: "cancel job " + ref, method: fasthttp.MethodPost, path: jobPath(ref) + wire.CancelSuffix,
	})
}

func jobPath(ref string) string { return wire.RunsPath + "/" + ref }

// Wait queries a job's state until it is final. It goes on, without a limit, while no controller gives
// a usable response (ErrGaveUp); any other error ends it.
func (c *Client) Wait(ctx context.Context, ref string) (JobStatus, error) {
	for {
		status, err := c.Get(ctx, ref)
		if err != nil && !errors.Is(err, ErrGaveUp) || status.Over() {
			return status, err
		}
		if err := c.pause(ctx, pollInterval); err != nil {
			return status, err
		}
	}
}

// callJob sends a request about a job until a response settles it or the budget is used up. Errors are
// of type *CallError.
func (c *Client) callJob(ctx context.Context, request request) (JobStatus, error) {
	status, err := c.retry(ctx, request)
	if err != nil {
		return status, &CallError{Operation: request.operation, Addr: c.Addr, Err: err}
	}
	return status, nil
}

// retry sends a request about a job until a response settles it. The error wraps ErrGaveUp if the
// budget doesn't allow for the pause before a further try.
func (c *Client) retry(ctx context.Context, request request) (JobStatus, error) {
	left := c.RetryBudget
	if left == 0 {
		left = defaultBudget
	}
	for {
		began := time.Now()
		status, err := c.tryJob(ctx, request)
		pause, repeat := retryPause(err)
		if !repeat {
			return status, err
		}
		if left -= time.Since(began) + pause; left < 0 {
			return status, fmt.Errorf("%w: %w", ErrGaveUp, err)
		}
		if err := c.pause(ctx, pause); err != nil {
			return status, err
		}
	}
}

// retryPause returns how long to wait before the next try, given the error of the last try. Repeat
// is false if the last try settled the call or wasn't made, since the context had ended.
func retryPause(err error) (pause time.Duration, repeat bool) {
	var retryable *retryableError
	var noAnswer *noAnswerError
	switch {
	case errors.As(err, &retryable):
		return retryable.retryAfter, true
	case errors.As(err, &noAnswer):
		return minRetryPause, true
	}
	return 0, false
}

// tryJob sends a request about a job once. If the call has to be retried, the error is a
// *noAnswerError or a *retryableError; otherwise the call is settled, or ctx has ended.
func (c *Client) tryJob(ctx context.Context, request request) (jobStatus JobStatus, err error) {
	err = c.send(ctx, request, func(response *fasthttp.Response) error {
		switch status := response.StatusCode(); status {
		case fasthttp.StatusOK, fasthttp.StatusCreated:
			return codec.Unmarshal(response.Body(), &jobStatus)
		case fasthttp.StatusBadRequest, fasthttp.StatusUnprocessableEntity:
			return fmt.Errorf("%w (%d): %s", ErrRefused, status, refusalReason(response.Body()))
		case fasthttp.StatusNotFound:
			return ErrNotFound
		default:
			return &retryableError{status: status, retryAfter: requestedPause(response)}
		}
	})
	return jobStatus, err
}

// refusalReason returns the reason that a response gives for refusing a job; empty if it gives none.
func refusalReason(body []byte) string {
	var refusal wire.ErrorMessage
	if codec.Unmarshal(body, &refusal) != nil {
		return ""
	}
	return refusal.Error
}

// requestedPause returns the pause that a response asks for (Retry-After), within the protocol's
// bounds: from minRetryPause to maxRetryPause.
func requestedPause(response *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil {
		return minRetryPause
	}
	return min(max(minRetryPause, time.Duration(seconds)*time.Second), maxRetryPause)
}
