package statestore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// clientOf returns the client of a state service that responds to every request with this status
// and body.
func clientOf(t *testing.T, status int, body []byte) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return New(Options{Addr: strings.TrimPrefix(server.URL, "http://"), Requests: 100, Writes: 100, MaxConns: 2})
}

// calls holds one call of each method of a client that sends a request, by name, except IsServing.
var calls = map[string]func(context.Context, *Client) error{
	"get":    func(ctx context.Context, c *Client) error { _, _, err := c.Get(ctx, "k"); return err },
	"list":   func(ctx context.Context, c *Client) error { _, _, err := c.List(ctx, "k"); return err },
	"watch":  func(ctx context.Context, c *Client) error { _, err := c.Watch(ctx, "k", 1); return err },
	"grant":  func(ctx context.Context, c *Client) error { _, err := c.Grant(ctx, time.Second); return err },
	"renew":  func(ctx context.Context, c *Client) error { return c.KeepAlive(ctx, 7) },
	"revoke": func(ctx context.Context, c *Client) error { return c.Revoke(ctx, 7) },
	"commit": func(ctx context.Context, c *Client) error {
		_, err := c.Commit(ctx, nil, []Op{Delete("k")})
		return err
	},
	"compare": func(ctx context.Context, c *Client) error {
		_, err := c.Commit(ctx, []Compare{{Key: "k"}}, nil)
		return err
	},
}

// The error of a failed call must tell whether the request may have been executed, and name the
// operation and the key. A write that was executed but is reported as not executed would be
// repeated; the reverse error would delay its job.
func TestErrorOfEachResponse(t *testing.T) {
	conflict := codec.MustMarshal(wire.CommitResult{Failed: []string{"k"}})
	for _, c := range []struct {
		call   string
		status int
		body   []byte
		want   error // nil if the call succeeds
	}{
		{"get", http.StatusNotFound, nil, nil},
		{"get", http.StatusOK, []byte{0xff}, codec.ErrMalformed},
		{"get", http.StatusTeapot, nil, &UnexpectedStatusError{}},
		{"list", http.StatusOK, []byte{0xff}, codec.ErrMalformed},
		{"list", http.StatusTeapot, nil, &UnexpectedStatusError{}},
		{"watch", http.StatusGone, nil, ErrCompacted},
		{"watch", http.StatusOK, []byte{0xff}, codec.ErrMalformed},
		{"watch", http.StatusTeapot, nil, &UnexpectedStatusError{}},
		{"grant", http.StatusTeapot, nil, &UnexpectedStatusError{}},
		{"renew", http.StatusOK, nil, nil},
		{"renew", http.StatusNotFound, nil, ErrLeaseExpired},
		{"renew", http.StatusTeapot, nil, &UnexpectedStatusError{}},
		{"revoke", http.StatusNotFound, nil, nil},
		{"revoke", http.StatusTeapot, nil, &UnexpectedStatusError{}},
		{"commit", http.StatusConflict, conflict, &ConflictError{}},
		{"commit", http.StatusConflict, []byte{0xff}, ErrUnknownOutcome},
		{"commit", http.StatusOK, []byte{0xff}, ErrUnknownOutcome},
		{"commit", http.StatusBadRequest, []byte("too large"), ErrRejected},
		{"commit", http.StatusInternalServerError, nil, ErrUnknownOutcome},
		{"compare", http.StatusBadRequest, nil, ErrRejected},
	} {
		err := calls[c.call](t.Context(), clientOf(t, c.status, c.body))
		checkError(t, c.call, c.status, err, c.want)
	}
	for call := range calls {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
			err := calls[call](t.Context(), clientOf(t, status, nil))
			checkError(t, call, status, err, ErrUnavailable)
		}
	}
}

// checkError checks the cause, operation and key of a call's error, and the result of NotExecuted.
func checkError(t *testing.T, call string, status int, err, want error) {
	t.Helper()
	if want == nil {
		if err != nil {
			t.Errorf("%s, status %d: %v", call, status, err)
		}
		return
	}
	var conflict *ConflictError
	var unexpected *UnexpectedStatusError
	isWanted := errors.Is(err, want)
	if errors.As(want, &conflict) {
		conflict = nil
		isWanted = errors.As(err, &conflict) && len(conflict.Keys) == 1 && conflict.Keys[0] == "k"
	}
	if errors.As(want, &unexpected) {
		unexpected = nil
		isWanted = errors.As(err, &unexpected) && unexpected.Status == status
	}
	if !isWanted {
		t.Errorf("%s, status %d: %v, want %v", call, status, err, want)
	}
	var failed *RequestError
	if !errors.As(err, &failed) || failed.Operation == "" || failed.Key == "" && call != "grant" {
		t.Errorf("%s, status %d: %v doesn't name the operation and key", call, status, err)
	}
	notExecuted := conflict != nil || errors.Is(want, ErrUnavailable) || errors.Is(want, ErrRejected)
	if NotExecuted(err) != notExecuted {
		t.Errorf("%s, status %d: not executed %v, want %v", call, status, NotExecuted(err), notExecuted)
	}
}

// If there is no response, the outcome of every call must be reported as unknown.
func TestNoResponseIsUnknownOutcome(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	for name, call := range calls {
		client := New(Options{Addr: addr, Requests: 100, Writes: 100, MaxConns: 2})
		if err := call(t.Context(), client); !errors.Is(err, ErrUnknownOutcome) || NotExecuted(err) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
