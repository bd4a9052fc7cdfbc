package leadership

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// served returns whether the state service serves a node.
func (f *fakeStore) served(node string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down && !f.cutOff[node]
}

// requestExtension asks a node for a lease extension, as controllers do: a node that the state
// service serves refuses.
func requestExtension(_ context.Context, c *cluster, _, to string) bool {
	time.Sleep(10 * time.Millisecond)
	return !c.store.served(to) && c.electors[strings.Index("abc", to)].GrantExtension()
}

// In an outage that affects all nodes, the leader keeps its lease for as long as all peers extend
// it. Once they stop for long enough, the lease lapses and later extensions don't revive it.
func TestPeersExtendLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var silent atomic.Bool
		c := startClusterWithPeers(ctx, 3*time.Second, func(ctx context.Context, c *cluster, from, to string) bool {
			return !silent.Load() && requestExtension(ctx, c, from, to)
		})
		c.checkOneLeaderFor(t, 3*time.Second)
		first := c.leaseHolder(t)
		go c.store.outage(40 * time.Second)
		for range 20 {
			time.Sleep(time.Second)
			if who := c.leaseHolder(t); who != first {
				t.Fatalf("node %d leads during an outage that affects all nodes, node %d led before", who, first)
			}
		}
		silent.Store(true)
		time.Sleep(ExtensionDuration)
		silent.Store(false) // too late: the lease has lapsed
		c.checkOneLeaderFor(t, 5*time.Second)
		if who := c.leaseHolder(t); who >= 0 {
			t.Fatalf("node %d holds a valid lease after it had lapsed", who)
		}
		c.checkOneLeaderFor(t, 20*time.Second)
		if who := c.leaseHolder(t); who < 0 {
			t.Fatal("nobody leads after the outage")
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// A node that has extended the leader's lease must not claim while the extension is in force, not
// even after a restart that made it forget the extension; otherwise two nodes could hold a valid
// lease at once. In each round the state service refuses only the leader, all peers extend its
// lease although the state service serves them, and then they restart.
func TestExtensionBindsItsGrantors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := startClusterWithPeers(ctx, 3*time.Second, func(_ context.Context, c *cluster, _, to string) bool {
			time.Sleep(200 * time.Millisecond)
			return c.electors[strings.Index("abc", to)].GrantExtension()
		})
		c.checkOneLeaderFor(t, 3*time.Second)
		old := c.leaseHolder(t)
		for round := range 6 {
			c.store.mu.Lock()
			c.store.cutOff["abc"[old:old+1]] = true
			c.store.mu.Unlock()
			c.checkOneLeaderFor(t, 4*time.Second)
			if who := c.leaseHolder(t); who != old {
				t.Fatalf("round %d: node %d leads although all have extended another node's lease", round, who)
			}
			// The others forget that they have extended the lease, as after a restart.
			for i, elector := range c.electors {
				if i != old {
					elector.mu.Lock()
					elector.grants = extensionGrants{startedAt: time.Now()}
					elector.mu.Unlock()
				}
			}
			c.checkOneLeaderFor(t, 3*time.Second)
			c.store.mu.Lock()
			c.store.cutOff["abc"[old:old+1]] = false
			c.store.mu.Unlock()
			c.checkOneLeaderFor(t, 8*time.Second)
			if old = c.leaseHolder(t); old < 0 {
				t.Fatal("nobody leads")
			}
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// A node that is claiming must not extend another node's lease, and a node that has extended one
// must not claim while the extension is in force.
func TestNoExtensionWhileClaiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		elector := New(client{newFakeStore(), "a"}, &fakeNode{}, Options{Member: "a", TTL: 3 * time.Second})
		if !elector.GrantExtension() {
			t.Fatal("a follower doesn't extend the lease")
		}
		if elector.mayClaim(t.Context()) {
			t.Fatal("claims although it has extended another node's lease")
		}
		time.Sleep(ExtensionDuration)
		if !elector.mayClaim(t.Context()) {
			t.Fatal("never claims again")
		}
		if elector.GrantExtension() {
			t.Fatal("extends a lease while it claims")
		}
	})
}

// A node that has just started must not claim before any extension from before its start has ended,
// since it may have forgotten one. It need not wait if there has never been a leader.
func TestStartedNodeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		node := &fakeNode{requestExtension: func(context.Context, string) bool { return false }}
		options := Options{Member: "a", Others: []string{"b"}, TTL: 3 * time.Second, PeerExtensions: true}
		elector := New(client{store, "a"}, node, options)
		if !elector.mayClaim(t.Context()) {
			t.Fatal("waits although nobody has ever led")
		}
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{store: store}
		first := New(client{c.store, "b"}, &fakeNode{}, Options{Member: "b", TTL: 3 * time.Second})
		go func() { _ = first.Run(ctx) }() // ends with ctx
		time.Sleep(time.Second)
		cancel()
		time.Sleep(10 * time.Second)
		elector = New(client{store, "a"}, node, options)
		if elector.mayClaim(t.Context()) {
			t.Fatal("claims at once after its start")
		}
		time.Sleep(ExtensionDuration)
		if !elector.mayClaim(t.Context()) {
			t.Fatal("never claims")
		}
	})
}
