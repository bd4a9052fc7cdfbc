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

// job is a submission as a user writes it.
const job = `{"ref":"j-000412","lot_kind":"train","owner":"vision","shape":"sweep","urgency":"normal","lots":16,
"vcpus":8.0,"cards":1,"mem_gb":64.5,"kit":"img-07","pull_gb":6.2,"builds":["g8"],"yard":null,"one_zone":true,
"apart":false,"loaners":true,"guess_s":240.0,"mark_s":30.0,"stash_s":4.0,"due_s":900.0,"awaits":["j-000398","j-000405"]}`

// submittedRef is the job's name.
const submittedRef = "j-000412"

// serve is a client of a controller that answers with a handler, and the pauses that the client made.
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

// serveStatuses answers users' calls with one status after the other, and repeats the last.
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

// checkSubmission checks that a body is the job above.
func checkSubmission(t *testing.T, body []byte) {
	t.Helper()
	spec, dependencies, err := wire.ParseSubmission(body)
	if err != nil || spec.Tasks != 16 || spec.MemGB != 64.5 || len(dependencies) != 2 {
		t.Errorf("submitted %+v after %v, %v", spec, dependencies, err)
	}
}

// A submission is repeated after the pause that the answer asks for until it is accepted: one that gives up early
// loses the job, and one that comes back too soon adds to an overload.
func TestSubmitRetries(t *testing.T) {
	c, pauses := serveStatuses(t, 503, 429, 500, 201)
	run, err := c.Submit(t.Context(), []byte(job))
	if err != nil || run.Status != wire.StatusQueued {
		t.Fatalf("%+v, %v", run, err)
	}
	want := []time.Duration{time.Second, 7 * time.Second, time.Second}
	if !slices.Equal(*pauses, want) {
		t.Fatalf("pauses %v, want %v", *pauses, want)
	}
}

// An answer that settles a call isn't asked for again, and each is told apart by its cause.
func TestAnswersThatSettle(t *testing.T) {
	for status, want := range map[int]error{400: ErrRefused, 422: ErrRefused, 404: ErrNotFound} {
		c, pauses := serveStatuses(t, status)
		if _, err := c.Submit(t.Context(), []byte(job)); !errors.Is(err, want) || len(*pauses) != 0 {
			t.Errorf("%d: %v after pauses %v", status, err, *pauses)
		}
	}
	c, pauses := serveStatuses(t, 503)
	if _, err := c.Cancel(t.Context(), submittedRef); !errors.Is(err, ErrGaveUp) || len(*pauses) < 50 {
		t.Errorf("always 503: %v after %d pauses", err, len(*pauses))
	}
	if _, err := c.Submit(t.Context(), []byte(`{"ref":`)); err == nil || errors.Is(err, ErrGaveUp) {
		t.Errorf("half a job: %v", err)
	}
}

// An error says what was asked of whom, so that an operator with several clusters sees which one refused what.
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
			t.Errorf("%s: %v, want %s", c.name, err, want)
		}
	}
}

// A job is asked about until its state is final, also while no answer is usable; an unknown job isn't waited for.
func TestWait(t *testing.T) {
	c, _ := serveStatuses(t, 201, 503, 201, 200)
	run, err := c.Wait(t.Context(), submittedRef)
	if err != nil || run.Status != wire.StatusDone {
		t.Fatalf("%+v, %v", run, err)
	}
	c, _ = serveStatuses(t, 404)
	if _, err := c.Wait(t.Context(), submittedRef); !errors.Is(err, ErrNotFound) {
		t.Fatalf("unknown job: %v", err)
	}
}

// A call whose context is over isn't sent, nor repeated.
func TestCancelledContext(t *testing.T) {
	c, pauses := serveStatuses(t, 503)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Get(cancelled, submittedRef); !errors.Is(err, context.Canceled) || len(*pauses) != 0 {
		t.Errorf("%v after pauses %v", err, *pauses)
	}
}
