package client

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/testserver"
	"gingertally/internal/wire"
)

// job is a job in JSON, as a user submits it.
const job = `{"ref":"j-000412","lot_kind":"train","owner":"vision","shape":"sweep","urgency":"normal","lots":16,
"vcpus":8.0,"cards":1,"mem_gb":64.5,"kit":"img-07","pull_gb":6.2,"builds":["g8"],"yard":null,"one_zone":true,
"apart":false,"loaners":true,"guess_s":240.0,"mark_s":30.0,"stash_s":4.0,"due_s":900.0,"awaits":["j-000398","j-000405"]}`

// submittedRef is the ref of job.
const submittedRef = "j-000412"

// serve starts an HTTP server with a handler in place of a controller. It returns a client of it and
// the pauses that the client makes, which are recorded instead of waited for.
func serve(t *testing.T, handler fasthttp.RequestHandler) (c *Client, pauses *[]time.Duration) {
	t.Helper()
	pauses = new([]time.Duration)
	c = &Client{
		Addr: testserver.Start(t, handler),
		Pause: func(_ context.Context, d time.Duration) error {
			*pauses = append(*pauses, d)
			return nil
		},
	}
	return c, pauses
}

// serveStatuses is like serve with a handler that responds with the given statuses in turn, and with
// the last one from then on.
func serveStatuses(t *testing.T, statuses ...int) (c *Client, pauses *[]time.Duration) {
	t.Helper()
	call := 0
	return serve(t, func(request *fasthttp.RequestCtx) {
		status := statuses[min(call, len(statuses)-1)]
		call++
		request.SetStatusCode(status)
		switch status {
		case 200, 201:
			if request.IsPost() && len(request.PostBody()) > 0 {
				checkSubmission(t, request.PostBody())
			}
			jobStatus := map[int]string{200: wire.StatusDone, 201: wire.StatusQueued}[status]
			request.SetBody(codec.MustMarshal(wire.RunState{Ref: submittedRef, Status: jobStatus}))
		case 429:
			request.Response.Header.Set("Retry-After", "7")
		}
	})
}

// checkSubmission checks that a request body decodes to a job with the number of tasks, the memory
// and the number of dependencies of job.
func checkSubmission(t *testing.T, body []byte) {
	t.Helper()
	spec, dependencies, err := wire.ParseSubmission(body)
	if err != nil || spec.Tasks != 16 || spec.MemGB != 64.5 || len(dependencies) != 2 {
		t.Errorf("submitted spec %+v with dependencies %v, error %v", spec, dependencies, err)
	}
}

// A submission is retried, after the pause that the response asks for, until it is accepted. A client
// that gives up early loses the job, and one that retries too soon adds to an overload.
func TestSubmitRetries(t *testing.T) {
	c, pauses := serveStatuses(t, 503, 429, 500, 201)
	status, err := c.Submit(t.Context(), []byte(job))
	if err != nil || status.Status != wire.StatusQueued {
		t.Fatalf("job status %+v, error %v", status, err)
	}
	want := []time.Duration{time.Second, 7 * time.Second, time.Second}
	if !slices.Equal(*pauses, want) {
		t.Fatalf("pauses %v, want %v", *pauses, want)
	}
}

// A call isn't retried after a response that settles it, and the error tells the cause. A call that no
// response settles is retried until its budget is used up. A malformed job isn't sent.
func TestAnswersThatSettle(t *testing.T) {
	for status, want := range map[int]error{400: ErrRefused, 422: ErrRefused, 404: ErrNotFound} {
		c, pauses := serveStatuses(t, status)
		if _, err := c.Submit(t.Context(), []byte(job)); !errors.Is(err, want) || len(*pauses) != 0 {
			t.Errorf("status %d: error %v after pauses %v", status, err, *pauses)
		}
	}
	c, pauses := serveStatuses(t, 503)
	if _, err := c.Cancel(t.Context(), submittedRef); !errors.Is(err, ErrGaveUp) || len(*pauses) < 50 {
		t.Errorf("always status 503: error %v after %d pauses", err, len(*pauses))
	}
	if _, err := c.Submit(t.Context(), []byte(`{"ref":`)); err == nil || errors.Is(err, ErrGaveUp) {
		t.Errorf("truncated job: error %v", err)
	}
}

// An error names the operation and the address, so that an operator with several clusters sees which
// one refused what.
func TestErrorSaysWhatWasAskedOfWhom(t *testing.T) {
	for _, c := range []struct {
		name string
		call func(*Client) error
		want string
	}{
		{
			"submit", func(c *Client) error { _, err := c.Submit(t.Context(), []byte(job)); return err },
			"submit job j-000412: %s: not found",
		},
		{
			"get", func(c *Client) error { _, err := c.Get(t.Context(), submittedRef); return err },
			"get job j-000412: %s: not found",
		},
		{
			"cancel", func(c *Client) error { _, err := c.Cancel(t.Context(), submittedRef); return err },
			"cancel job j-000412: %s: not found",
		},
		{
			"pause",
			func(c *Client) error { _, err := c.ChangeDrain(t.Context(), "p", "pause"); return err },
			"pause drain plan p: %s: not found: ",
		},
	} {
		client, _ := serveStatuses(t, 404)
		err := c.call(client)
		want := fmt.Sprintf(c.want, client.Addr)
		var failed *CallError
		if !errors.As(err, &failed) || failed.Addr != client.Addr || err.Error() != want {
			t.Errorf("%s: error %v, want %s", c.name, err, want)
		}
	}
}

// Wait queries a job until its state is final, also if a query gets a 503, which Get retries. It
// doesn't wait for an unknown job.
func TestWait(t *testing.T) {
	c, _ := serveStatuses(t, 201, 503, 201, 200)
	status, err := c.Wait(t.Context(), submittedRef)
	if err != nil || status.Status != wire.StatusDone {
		t.Fatalf("job status %+v, error %v", status, err)
	}
	c, _ = serveStatuses(t, 404)
	if _, err := c.Wait(t.Context(), submittedRef); !errors.Is(err, ErrNotFound) {
		t.Fatalf("unknown job: error %v", err)
	}
}

// A call whose context has ended is neither sent nor retried.
func TestCancelledContext(t *testing.T) {
	c, pauses := serveStatuses(t, 503)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Get(cancelled, submittedRef); !errors.Is(err, context.Canceled) || len(*pauses) != 0 {
		t.Errorf("error %v after pauses %v", err, *pauses)
	}
}
