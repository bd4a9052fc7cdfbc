package leadership

import (
	"context"
	"strings"
	"sync/atomic"
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

// extended asks a node as the daemon does: one that the state service serves
// extends nothing.
func extended(_ context.Context, tr *trio, _, to string) bool {
	time.Sleep(10 * time.Millisecond)
	return !tr.store.served(to) && tr.electors[strings.Index("abc", to)].GrantExtension()
}

// TestPeersExtendLease: in an outage that all see the leader goes on, in its term, for as
// long as all others answer it, and loses its lease soon after one doesn't any more.
func TestPeersExtendLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var silent atomic.Bool
		tr := startWithPeers(ctx, 3*time.Second, func(ctx context.Context, tr *trio, from, to string) bool {
			return !silent.Load() && extended(ctx, tr, from, to)
		})
		tr.watch(t, 3*time.Second)
		first := tr.holder(t)
		go tr.store.outage(40 * time.Second)
		for range 20 {
			time.Sleep(time.Second)
			if who := tr.holder(t); who != first {
				t.Fatalf("node %d leads in an outage that all see, %d before", who, first)
			}
		}
		silent.Store(true)
		time.Sleep(ExtensionFor)
		silent.Store(false) // too late: the lease has lapsed
		tr.watch(t, 5*time.Second)
		if who := tr.holder(t); who >= 0 {
			t.Fatalf("node %d holds a lease that had lapsed", who)
		}
		tr.watch(t, 20*time.Second)
		if who := tr.holder(t); who < 0 {
			t.Fatal("nobody leads after the outage")
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// TestExtensionBindsItsGrantors: all nodes extend the lease whatever they see, the state service
// refuses the leader alone, then another, then all, and processes end just after they
// have extended it: never do two hold a valid lease at once, and none becomes valid again
// once somebody else may have led.
func TestExtensionBindsItsGrantors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		tr := startWithPeers(ctx, 3*time.Second, func(_ context.Context, tr *trio, _, to string) bool {
			time.Sleep(200 * time.Millisecond)
			return tr.electors[strings.Index("abc", to)].GrantExtension()
		})
		tr.watch(t, 3*time.Second)
		old := tr.holder(t)
		for round := range 6 {
			tr.store.mu.Lock()
			tr.store.cut["abc"[old:old+1]] = true
			tr.store.mu.Unlock()
			tr.watch(t, 4*time.Second)
			if who := tr.holder(t); who != old {
				t.Fatalf("round %d: node %d leads although all have extended the lease of another", round, who)
			}
			// The others forget that they extended it, as when their processes end.
			for i, l := range tr.electors {
				if i != old {
					l.mu.Lock()
					l.grants = extensionGrants{startedAt: time.Now()}
					l.mu.Unlock()
				}
			}
			tr.watch(t, 3*time.Second)
			tr.store.mu.Lock()
			tr.store.cut["abc"[old:old+1]] = false
			tr.store.mu.Unlock()
			tr.watch(t, 8*time.Second)
			if old = tr.holder(t); old < 0 {
				t.Fatal("nobody leads")
			}
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// TestNoExtensionWhileClaiming: a node that leads or is about to extends nobody's
// lease, and one that has extended one claims nothing meanwhile.
func TestNoExtensionWhileClaiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(client{newFake(), "a"}, &fakeNode{}, Options{Member: "a", TTL: 3 * time.Second})
		if !l.GrantExtension() {
			t.Fatal("a follower doesn't extend the lease")
		}
		if l.mayClaim(t.Context()) {
			t.Fatal("claims although it has extended another's lease")
		}
		time.Sleep(ExtensionFor)
		if !l.mayClaim(t.Context()) {
			t.Fatal("never claims again")
		}
		if l.GrantExtension() {
			t.Fatal("extends a lease while it claims")
		}
	})
}

// TestStartedNodeWaits: a process that has just started may have extended the lease before its end,
// unless nobody has ever led.
func TestStartedNodeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFake()
		node := &fakeNode{requestExtension: func(context.Context, string) bool { return false }}
		options := Options{Member: "a", Others: []string{"b"}, TTL: 3 * time.Second, PeerExtensions: true}
		l := New(client{store, "a"}, node, options)
		if !l.mayClaim(t.Context()) {
			t.Fatal("waits although nobody has ever led")
		}
		ctx, cancel := context.WithCancel(t.Context())
		tr := &trio{store: store}
		first := New(client{tr.store, "b"}, &fakeNode{}, Options{Member: "b", TTL: 3 * time.Second})
		go func() { _ = first.Run(ctx) }() // ends with ctx
		time.Sleep(time.Second)
		cancel()
		time.Sleep(10 * time.Second)
		l = New(client{store, "a"}, node, options)
		if l.mayClaim(t.Context()) {
			t.Fatal("claims at once after its start")
		}
		time.Sleep(ExtensionFor)
		if !l.mayClaim(t.Context()) {
			t.Fatal("never claims")
		}
	})
}
