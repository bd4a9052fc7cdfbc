package leadership

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// served tells whether the state service serves a node.
func (f *fakeStore) served(node string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down && !f.cut[node]
}

// promised asks a node as the daemon does: one that the state service serves promises
// nothing.
func promised(_ context.Context, tr *trio, _, to string) bool {
	time.Sleep(10 * time.Millisecond)
	return !tr.store.served(to) && tr.leads[strings.Index("abc", to)].Promise()
}

// TestPromisesCarryOn: in an outage that all see the leader goes on, in its term, for as
// long as all others answer it, and loses its right soon after one doesn't any more.
func TestPromisesCarryOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		silent := false
		tr := startAsking(ctx, 3*time.Second, func(ctx context.Context, tr *trio, from, to string) bool {
			return !silent && promised(ctx, tr, from, to)
		})
		tr.watch(t, 3*time.Second)
		first := tr.entitled(t)
		go tr.store.outage(40 * time.Second)
		for range 20 {
			time.Sleep(time.Second)
			if who := tr.entitled(t); who != first {
				t.Fatalf("node %d leads in an outage that all see, %d before", who, first)
			}
		}
		silent = true
		time.Sleep(PromiseFor)
		silent = false // too late: the right has lapsed
		tr.watch(t, 5*time.Second)
		if who := tr.entitled(t); who >= 0 {
			t.Fatalf("node %d has a right that had lapsed", who)
		}
		tr.watch(t, 20*time.Second)
		if who := tr.entitled(t); who < 0 {
			t.Fatal("nobody leads after the outage")
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// TestPromisesBindWhoeverGaveThem: all nodes promise whatever they see, the state service
// refuses the leader alone, then another, then all, and processes end just after they
// have promised: never are two entitled at once, and no right comes back once somebody
// else may have led.
func TestPromisesBindWhoeverGaveThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		tr := startAsking(ctx, 3*time.Second, func(_ context.Context, tr *trio, _, to string) bool {
			time.Sleep(200 * time.Millisecond)
			return tr.leads[strings.Index("abc", to)].Promise()
		})
		tr.watch(t, 3*time.Second)
		old := tr.entitled(t)
		for round := range 6 {
			tr.store.mu.Lock()
			tr.store.cut["abc"[old:old+1]] = true
			tr.store.mu.Unlock()
			tr.watch(t, 4*time.Second)
			if who := tr.entitled(t); who != old {
				t.Fatalf("round %d: node %d leads although all have promised", round, who)
			}
			// The others forget what they promised, as when their processes end.
			for i, l := range tr.leads {
				if i != old {
					l.mu.Lock()
					l.promised, l.booted = time.Time{}, time.Now()
					l.mu.Unlock()
				}
			}
			tr.watch(t, 3*time.Second)
			tr.store.mu.Lock()
			tr.store.cut["abc"[old:old+1]] = false
			tr.store.mu.Unlock()
			tr.watch(t, 8*time.Second)
			if old = tr.entitled(t); old < 0 {
				t.Fatal("nobody leads")
			}
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// TestNobodyPromisesWhileItClaims: a node that leads or is about to leaves the place to
// nobody, and one that has promised claims nothing meanwhile.
func TestNobodyPromisesWhileItClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(client{newFake(), "a"}, Options{Member: "a", TTL: 3 * time.Second})
		if !l.Promise() {
			t.Fatal("a follower promises nothing")
		}
		if l.mayClaim(t.Context()) {
			t.Fatal("claims what it has left to another")
		}
		time.Sleep(PromiseFor)
		if !l.mayClaim(t.Context()) {
			t.Fatal("never claims again")
		}
		if l.Promise() {
			t.Fatal("promises while it claims")
		}
	})
}

// TestBootedNodeWaits: a process that has just started may have promised before its end,
// unless nobody has ever led.
func TestBootedNodeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFake()
		ask := func(context.Context, string) bool { return false }
		l := New(client{store, "a"}, Options{Member: "a", Others: []string{"b"}, TTL: 3 * time.Second, Hooks: Hooks{Ask: ask}})
		if !l.mayClaim(t.Context()) {
			t.Fatal("waits although nobody has ever led")
		}
		ctx, cancel := context.WithCancel(t.Context())
		tr := &trio{store: store}
		first := New(client{tr.store, "b"}, Options{Member: "b", TTL: 3 * time.Second, Hooks: Hooks{
			Elected: func(context.Context, Term) {}, Resumed: func() {}, Deaf: func() bool { return false }}})
		go func() { _ = first.Run(ctx) }() // ends with ctx
		time.Sleep(time.Second)
		cancel()
		time.Sleep(10 * time.Second)
		l = New(client{store, "a"}, Options{Member: "a", Others: []string{"b"}, TTL: 3 * time.Second, Hooks: Hooks{Ask: ask}})
		if l.mayClaim(t.Context()) {
			t.Fatal("claims at once after its start")
		}
		time.Sleep(PromiseFor)
		if !l.mayClaim(t.Context()) {
			t.Fatal("never claims")
		}
	})
}
