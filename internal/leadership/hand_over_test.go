package leadership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// newTestElector returns the Elector of a node with the given claim delay. vacant is called when the
// leader is lost.
func newTestElector(store *fakeStore, name string, others []string, delay time.Duration, vacant func()) *Elector {
	node := &fakeNode{claimDelay: delay, leaderLost: vacant}
	return New(client{store, name}, node, Options{Member: name, Others: others, TTL: 3 * time.Second})
}

// A leader that hands over must stop acting at once and name its successor from then on. The node
// without a claim delay must claim within a fraction of the lease's TTL.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vacant := 0
		a := newTestElector(store, "a", []string{"b", "c"}, 0, func() {})
		go func() { _ = a.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if !holdsLease(a) {
			t.Fatal("the only node doesn't lead")
		}
		b := newTestElector(store, "b", []string{"a", "c"}, time.Second, func() {})
		c := newTestElector(store, "c", []string{"a", "b"}, 0, func() { vacant++ })
		go func() { _ = b.Run(ctx) }()
		go func() { _ = c.Run(ctx) }()
		time.Sleep(2 * time.Second)
		currentLease(a).HandOver("c")
		if holdsLease(a) || a.Leader() != "c" {
			t.Fatalf("after handing over: holds the lease %v, names %q as the leader", holdsLease(a), a.Leader())
		}
		time.Sleep(1500 * time.Millisecond)
		if !holdsLease(c) || holdsLease(b) || vacant == 0 {
			t.Fatalf("c leads: %v, b leads: %v, seen vacant %d times",
				holdsLease(c), holdsLease(b), vacant)
		}
		if !a.FollowsAnother() || a.Leader() != "c" {
			t.Fatalf("the old leader names %q as the leader", a.Leader())
		}
		currentLease(c).Resign("test") // names no successor, so c then names the next leader
		time.Sleep(4 * time.Second)
		if next := c.Leader(); next == "" || next == "c" || next != a.Leader() || next != b.Leader() {
			t.Fatalf("after a resignation the nodes name %q, %q and %q as the leader", a.Leader(), b.Leader(), next)
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// A node with a claim delay must still take over if no other node claims.
func TestClaimDelayIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lagging := newTestElector(newFakeStore(), "b", []string{"a"}, 400*time.Millisecond, nil)
		go func() { _ = lagging.Run(ctx) }()
		time.Sleep(200 * time.Millisecond)
		if holdsLease(lagging) {
			t.Fatal("claims without delay")
		}
		time.Sleep(time.Second)
		if !holdsLease(lagging) {
			t.Fatal("never claims")
		}
		cancel()
		time.Sleep(10 * time.Second) // for the node to end
	})
}
