package client

import (
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"gingertally/internal/drain"
)

// A failed drain call isn't retried. Its error is the one for the response's status, and ends with the
// response's text. An operator who isn't told of a conflict would wait in vain for a plan that wasn't
// started.
func TestDrainCallsTellTheCause(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   error
		text   string
	}{
		{fasthttp.StatusNotFound, `{"error":"drains are off"}`, ErrNotFound, "drains are off"},
		{fasthttp.StatusBadRequest, `{"error":"no machines"}`, ErrRefused, "no machines"},
		{fasthttp.StatusConflict, `{"error":"the name is taken"}`, ErrConflict, "the name is taken"},
		{fasthttp.StatusServiceUnavailable, `later`, ErrGaveUp, "status 503: later"},
	} {
		client, pauses := serve(t, func(request *fasthttp.RequestCtx) {
			request.SetStatusCode(c.status)
			request.SetBodyString(c.body)
		})
		_, err := client.StartDrain(t.Context(), drain.Plan{ID: "p"})
		if !errors.Is(err, c.want) || !strings.HasSuffix(err.Error(), c.text) || len(*pauses) != 0 {
			t.Errorf("status %d: error %v after pauses %v, want %v and no pauses", c.status, err, *pauses, c.want)
		}
	}
}

// A drain call without a response fails with ErrGaveUp, since the call may have been carried out.
func TestDrainCallWithoutAnswer(t *testing.T) {
	client, _ := serve(t, func(request *fasthttp.RequestCtx) { _ = request.Conn().Close() })
	if _, err := client.PreviewDrain(t.Context(), drain.Plan{ID: "p"}); !errors.Is(err, ErrGaveUp) {
		t.Errorf("error %v, want ErrGaveUp", err)
	}
}
