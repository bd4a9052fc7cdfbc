package statestore

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Serves asks the state service now, and takes a used-up rate for service. A controller that had been
// served within the last second once took that for service: leaders that were refused shortly before
// an outage lost their lease in it, and with it every task. And a busy one whose rate was used up took
// itself for one in an outage.
func TestServes(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer server.Close()
	client := New(Options{Addr: strings.TrimPrefix(server.URL, "http://"), Requests: 0.001, Writes: 1, MaxConns: 2})
	for range minBurst {
		if err := waitForRate(t.Context(), client.requests, 1); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		status int
		want   bool
	}{
		{http.StatusOK, true},
		{http.StatusNotFound, true},
		{http.StatusTooManyRequests, true},
		{http.StatusServiceUnavailable, false},
	} {
		status = c.status
		began := time.Now()
		if got := client.Serves(t.Context(), "lead/holder"); got != c.want {
			t.Errorf("status %d: serves %v", c.status, got)
		}
		if d := time.Since(began); d > maxRateWait/2 {
			t.Errorf("status %d: took %s with the rate used up", c.status, d)
		}
	}
}
