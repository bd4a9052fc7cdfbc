package statestore

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// IsServing must ask the state service now, and count a reached rate limit as service. Controllers
// once counted it as service that they had been served within the last second, and so refused to
// extend leases just after an outage had begun: leaders that were refused shortly before the outage
// lost their lease, and with it every task. And a busy controller that had reached its rate limit
// once concluded that there was an outage.
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
		if got := client.IsServing(t.Context(), "lead/holder"); got != c.want {
			t.Errorf("status %d: serves %v", c.status, got)
		}
		if d := time.Since(began); d > maxRateWait/2 {
			t.Errorf("status %d: took %s with no requests left in the rate limit", c.status, d)
		}
	}
}
