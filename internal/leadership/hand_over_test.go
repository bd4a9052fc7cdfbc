package leadership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// handOverNode is a node of a test with its claim delay.
func handOverNode(store *fakeStore, name string, others []string, delay time.Duration, vacant func()) *Elector {
	node := &fakeNode{claimDelay: delay, leaderLost: vacant}
	return New(client{store, name}, node, Options{Member: name, Others: others, TTL: 3 * time.Second})
}

// A leader that hands over stops acting at once, names its successor from then on, and the
// node that needn't wait claims within a fraction of the lease.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFake()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		vacant := 0
		a := handOverNode(store, "a", []string{"b", "c"}, 0, func() {})
		go func() { _ = a.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if !a.HoldsLease(time.Now()) {
			t.Fatal("the only node doesn't lead")
		}
		b := handOverNode(store, "b", []string{"a", "c"}, time.Second, func() {})
		c := handOverNode(store, "c", []string{"a", "b"}, 0, func() { vacant++ })
		go func() { _ = b.Run(ctx) }()
		go func() { _ = c.Run(ctx) }()
		time.Sleep(2 * time.Second)
		a.HandOver("c")
		if a.HoldsLease(time.Now()) || a.Leader() != "c" {
			t.Fatalf("acts on: %v, names %q", a.HoldsLease(time.Now()), a.Leader())
		}
		time.Sleep(1500 * time.Millisecond)
		if !c.HoldsLease(time.Now()) || b.HoldsLease(time.Now()) || vacant == 0 {
			t.Fatalf("c leads: %v, b leads: %v, seen vacant %d times",
				c.HoldsLease(time.Now()), b.HoldsLease(time.Now()), vacant)
		}
		if !a.FollowsAnother() || a.Leader() != "c" {
			t.Fatalf("the old leader takes %q for the leader", a.Leader())
		}
		c.Resign("test") // without a successor: it names whoever leads then
		time.Sleep(4 * time.Second)
		if next := c.Leader(); next == "" || next == "c" || next != a.Leader() || next != b.Leader() {
			t.Fatalf("after a resignation %q, %q and %q are taken for the leader", a.Leader(), b.Leader(), next)
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// A node with a claim delay still takes over where it is the only one left.
func TestClaimDelayIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lagging := handOverNode(newFake(), "b", []string{"a"}, 400*time.Millisecond, nil)
		go func() { _ = lagging.Run(ctx) }()
		time.Sleep(200 * time.Millisecond)
		if lagging.HoldsLease(time.Now()) {
			t.Fatal("it claims without delay")
		}
		time.Sleep(time.Second)
		if !lagging.HoldsLease(time.Now()) {
			t.Fatal("it never claims")
		}
		cancel()
		time.Sleep(10 * time.Second) // for the node to end
	})
}
