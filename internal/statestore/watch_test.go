package statestore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against a leader that hears of no new jobs: the watches of its former terms went on for
// seconds after the terms' end and held all connections for watches.
func TestWatchEndsWithItsContext(t *testing.T) {
	arrived, release := make(chan struct{}, 2*maxWatchConns), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer close(release)
	client := New(Options{Addr: strings.TrimPrefix(server.URL, "http://"), Requests: 100, Writes: 1, MaxConns: 2})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var watches sync.WaitGroup
	for range maxWatchConns {
		watches.Go(func() {
			if _, err := client.Watch(ctx, "k", 1); err == nil {
				t.Error("a watch whose context has ended returned no error")
			}
		})
	}
	for range maxWatchConns {
		<-arrived
	}
	ended := time.Now()
	cancel()
	next, cancelNext := context.WithCancel(t.Context())
	defer cancelNext()
	watches.Go(func() {
		for next.Err() == nil { // as callers retry
			_, _ = client.Watch(next, "k", 1)
			time.Sleep(10 * time.Millisecond)
		}
	})
	<-arrived
	if took := time.Since(ended); took > watchBlock/2 {
		t.Errorf("the next watch found a connection only %s after the end of the former ones", took)
	}
	cancelNext()
	watches.Wait()
	if took := time.Since(ended); took > watchBlock/2 {
		t.Errorf("the watches returned only %s after the end of their context", took)
	}
}

// A watch that has returned leaves its connection to the next one, and no more than maxWatchConns are
// in flight.
func TestWatchesShareConnections(t *testing.T) {
	var mu sync.Mutex
	remote := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		remote[request.RemoteAddr] = true
	}))
	defer server.Close()
	client := New(Options{Addr: strings.TrimPrefix(server.URL, "http://"), Requests: 100, Writes: 1, MaxConns: 2})
	for range 5 {
		_, _ = client.Watch(t.Context(), "k", 1) // the empty body is malformed
	}
	if len(remote) != 1 {
		t.Errorf("five watches in turn used %d connections, want 1", len(remote))
	}
	for range maxWatchConns {
		if _, err := client.watches.take(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := client.Watch(t.Context(), "k", 1); err == nil {
		t.Error("more watches are in flight than connections are allowed")
	}
}
