package client

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

const job = `{"ref":"j-000412","lot_kind":"train","owner":"vision","shape":"sweep","urgency":"normal","lots":16,
"vcpus":8.0,"cards":1,"mem_gb":64.5,"kit":"img-07","pull_gb":6.2,"builds":["g8"],"yard":null,"one_zone":true,
"apart":false,"loaners":true,"guess_s":240.0,"mark_s":30.0,"stash_s":4.0,"due_s":900.0,"awaits":["j-000398","j-000405"]}`

// serve answers with one status after the other, and notes the pauses between.
func serve(t *testing.T, statuses ...int) (c *Client, pauses *[]time.Duration) {
	t.Helper()
	ln := fasthttputil.NewInmemoryListener()
	i := 0
	s := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		st := statuses[min(i, len(statuses)-1)]
		i++
		rc.SetStatusCode(st)
		switch st {
		case 200, 201:
			if rc.IsPost() && len(rc.PostBody()) > 0 {
				if spec, awaits, err := wire.ParseSubmission(rc.PostBody()); err != nil || spec.Tasks != 16 || spec.MemGB != 64.5 || len(awaits) != 2 {
					t.Errorf("submitted %+v after %v, %v", spec, awaits, err)
				}
			}
			rc.SetBody(codec.MustMarshal(wire.RunState{Ref: "j-000412", Status: map[int]string{200: "done", 201: "queued"}[st]}))
		case 429:
			rc.Response.Header.Set("Retry-After", "7")
		}
	}}
	go func() { _ = s.Serve(ln) }() // ends with the listener
	t.Cleanup(func() { _ = ln.Close() })
	pauses = new([]time.Duration)
	return &Client{Addr: "service", Dial: func(string) (net.Conn, error) { return ln.Dial() },
		Pause: func(_ context.Context, d time.Duration) error { *pauses = append(*pauses, d); return nil }}, pauses
}

func TestSubmitRetries(t *testing.T) {
	c, pauses := serve(t, 503, 429, 500, 201)
	r, err := c.Submit(context.Background(), []byte(job))
	if err != nil || r.Status != "queued" {
		t.Fatalf("%+v, %v", r, err)
	}
	want := []time.Duration{time.Second, 7 * time.Second, time.Second}
	if len(*pauses) != 3 || (*pauses)[0] != want[0] || (*pauses)[1] != want[1] || (*pauses)[2] != want[2] {
		t.Fatalf("pauses %v, want %v", *pauses, want)
	}
}

func TestAnswersThatSettle(t *testing.T) {
	for status, want := range map[int]error{400: ErrRefused, 422: ErrRefused, 404: ErrNotFound} {
		c, pauses := serve(t, status)
		if _, err := c.Submit(context.Background(), []byte(job)); !errors.Is(err, want) || len(*pauses) != 0 {
			t.Errorf("%d: %v after pauses %v", status, err, *pauses)
		}
	}
	c, pauses := serve(t, 503)
	if _, err := c.Cancel(context.Background(), "j-000412"); !errors.Is(err, ErrGaveUp) || len(*pauses) < 50 {
		t.Errorf("always 503: %v after %d pauses", err, len(*pauses))
	}
	if _, err := c.Submit(context.Background(), []byte(`{"ref":`)); err == nil || errors.Is(err, ErrGaveUp) {
		t.Errorf("half a job: %v", err)
	}
}

func TestWait(t *testing.T) {
	c, _ := serve(t, 201, 503, 201, 200)
	r, err := c.Wait(context.Background(), "j-000412")
	if err != nil || r.Status != "done" {
		t.Fatalf("%+v, %v", r, err)
	}
	c, _ = serve(t, 404)
	if _, err := c.Wait(context.Background(), "j-000412"); !errors.Is(err, ErrNotFound) {
		t.Fatalf("unknown job: %v", err)
	}
}
