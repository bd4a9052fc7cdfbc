package usercalls

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/peer"
	"gingertally/internal/userapi"
)

// fakePeers is a Relayer that answers for the other controllers. A controller without a status hangs.
type fakePeers struct {
	status map[string]int // by name; 0: the connection is refused
	asked  atomic.Int32
}

func (n *fakePeers) Relay(ctx context.Context, to string, _ peer.Request) (peer.Response, error) {
	n.asked.Add(1)
	if st, ok := n.status[to]; ok {
		if st == 0 {
			return peer.Response{}, errors.New("refused")
		}
		return peer.Response{Status: st, Body: []byte(to)}, nil
	}
	<-ctx.Done()
	return peer.Response{}, ctx.Err()
}

// Forwarding ends within the time that the user waits, however many controllers hang. Guards against
// asking them strictly one after the other: with a second for each, seven controllers once took longer
// than the two seconds of a poll.
func TestForwardingIsBounded(t *testing.T) {
	names := []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}
	for _, c := range []struct {
		name   string
		status map[string]int
		want   int // status; 0: no answer
		within time.Duration
		asked  int32
	}{
		{"the first serves", map[string]int{"n-1": 200}, 200, 0, 1},
		{"all but the last hang", map[string]int{"n-6": 404}, 404, 5 * hedgeDelay, 6},
		{"refused, then served", map[string]int{"n-1": 0, "n-2": 0, "n-3": 200}, 200, 0, 3},
		{"all hang", nil, 0, pollTimeout, 6},
		{"an outage", map[string]int{"n-1": 503, "n-2": 503, "n-3": 503, "n-4": 503, "n-5": 503, "n-6": 503}, 0, 0, 6},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := &fakePeers{status: c.status}
			f := NewForwarder(n, func() {})
			ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
			defer cancel()
			start := time.Now()
			answer, ok := f.forward(ctx, names, peer.Request{Method: "GET", Path: userapi.RunsPath + "/j-1"})
			if ok != (c.want != 0) || answer.Status != c.want || time.Since(start) > c.within ||
				n.asked.Load() != c.asked {
				t.Errorf("%s: status %d, %v after %s, %d controllers asked", c.name, answer.Status, ok, time.Since(start), n.asked.Load())
			}
		})
	}
}

// After a call that no controller could serve, none are asked for forwardPause. Guards against
// controllers that send each other every user's call during an outage that affects all of them.
func TestForwardingPausesInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakePeers{status: map[string]int{"n-1": 503}}
		f := NewForwarder(n, func() {})
		forward := func() {
			f.forward(context.Background(), []string{"n-1"}, peer.Request{Method: "GET", Path: userapi.RunsPath + "/j-1"})
		}
		forward()
		forward()
		if n.asked.Load() != 1 {
			t.Errorf("asked %d times before the pause is over", n.asked.Load())
		}
		time.Sleep(forwardPause)
		forward()
		if n.asked.Load() != 2 {
			t.Errorf("asked %d times after the pause", n.asked.Load())
		}
	})
}

// A forwarded refusal keeps its Retry-After. Guards against losing it on the way: answers between
// controllers have no headers, so it must be taken from the body.
func TestForwardedRetryAfter(t *testing.T) {
	body := codec.MustMarshal(map[string]any{"error": "overloaded: backlog", "retry_after_s": 7.0})
	if got := forwardedRetryAfter(peer.Response{Status: 429, Body: body}); got != 7*time.Second {
		t.Errorf("Retry-After of a refusal: %s", got)
	}
	if got := forwardedRetryAfter(peer.Response{Status: 200, Body: body}); got != 0 {
		t.Errorf("Retry-After of an answer that is no refusal: %s", got)
	}
}
