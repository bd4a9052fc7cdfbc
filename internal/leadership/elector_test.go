package leadership

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gingertally/internal/statestore"
)

// fakeStore is a state service with one lease kind and faults, in the test's
// fake time.
type fakeStore struct {
	mu     sync.Mutex
	items  map[string]statestore.KeyValue
	rev    uint64
	leases map[statestore.LeaseID]time.Time
	next   statestore.LeaseID
	ttl    time.Duration
	down   bool
	cut    map[string]bool
}

func newFake() *fakeStore {
	return &fakeStore{
		items:  map[string]statestore.KeyValue{},
		leases: map[statestore.LeaseID]time.Time{},
		cut:    map[string]bool{},
	}
}

// client is one node's view of the store.
type client struct {
	*fakeStore
	node string
}

func (c client) enter() error {
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	if c.down || c.cut[c.node] {
		c.mu.Unlock()
		return statestore.ErrUnavailable
	}
	for id, until := range c.leases {
		if time.Now().After(until) {
			c.end(id)
		}
	}
	return nil
}

func (f *fakeStore) end(id statestore.LeaseID) {
	delete(f.leases, id)
	for k, it := range f.items {
		if it.Lease == id {
			delete(f.items, k)
			f.rev++
		}
	}
}

func (c client) Get(_ context.Context, key string) (statestore.KeyValue, bool, error) {
	if err := c.enter(); err != nil {
		return statestore.KeyValue{}, false, err
	}
	defer c.mu.Unlock()
	it, ok := c.items[key]
	return it, ok, nil
}

func (c client) Commit(_ context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	if err := c.enter(); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	for _, cd := range conds {
		if c.items[cd.Key].ModRevision != cd.ModRevision {
			return 0, &statestore.ConflictError{Keys: []string{cd.Key}}
		}
	}
	c.rev++
	for _, ch := range changes {
		if _, ok := c.leases[ch.Lease]; ch.Lease != 0 && !ok {
			return 0, errors.New("no such lease")
		}
		c.items[ch.Key] = statestore.KeyValue{Key: ch.Key, Value: ch.Value, ModRevision: c.rev, Lease: ch.Lease}
	}
	return c.rev, nil
}

func (c client) Grant(_ context.Context, ttl time.Duration) (statestore.LeaseID, error) {
	if err := c.enter(); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	c.next++
	c.ttl = ttl
	c.leases[c.next] = time.Now().Add(ttl)
	return c.next, nil
}

func (c client) KeepAlive(_ context.Context, id statestore.LeaseID) error {
	if err := c.enter(); err != nil {
		return err
	}
	defer c.mu.Unlock()
	if _, ok := c.leases[id]; !ok {
		return statestore.ErrLeaseExpired
	}
	c.leases[id] = time.Now().Add(c.ttl)
	return nil
}

func (c client) Revoke(_ context.Context, id statestore.LeaseID) error {
	if err := c.enter(); err != nil {
		return err
	}
	defer c.mu.Unlock()
	c.end(id)
	return nil
}

func (c client) Watch(ctx context.Context, _ string, since uint64) (statestore.WatchResponse, error) {
	for range 50 {
		if err := c.enter(); err != nil {
			return statestore.WatchResponse{}, err
		}
		rev := c.rev
		c.mu.Unlock()
		if rev > since || ctx.Err() != nil {
			return statestore.WatchResponse{Revision: rev}, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return statestore.WatchResponse{}, nil
}

// outage makes the store refuse everybody; afterwards all leases have their full
// time again.
func (f *fakeStore) outage(d time.Duration) {
	f.mu.Lock()
	f.down = true
	for id := range f.leases {
		f.leases[id] = time.Now().Add(d + f.ttl)
	}
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
	f.down = false
	f.mu.Unlock()
}

// fakeNode is a node that takes part in an election and does nothing as the leader.
type fakeNode struct {
	termStarted      func(t Term)
	leaderLost       func()
	withoutHeartbeat bool
	claimDelay       time.Duration
	requestExtension func(ctx context.Context, member string) bool
}

func (n *fakeNode) RunTerm(ctx context.Context, t Term) {
	if n.termStarted != nil {
		n.termStarted(t)
	}
	<-ctx.Done()
}

func (*fakeNode) LeaseResumed() {}

func (n *fakeNode) LeaderLost() {
	if n.leaderLost != nil {
		n.leaderLost()
	}
}

func (n *fakeNode) HeartbeatsMissing() bool { return n.withoutHeartbeat }

func (n *fakeNode) ClaimDelay() time.Duration { return n.claimDelay }

func (n *fakeNode) RequestExtension(ctx context.Context, member string) bool {
	return n.requestExtension(ctx, member)
}

// trio is three nodes over one state service.
type trio struct {
	store    *fakeStore
	electors []*Elector
	terms    []uint64
	mu       sync.Mutex
}

func start(ctx context.Context, ttl time.Duration) *trio { return startWithPeers(ctx, ttl, nil) }

func startWithPeers(
	ctx context.Context, ttl time.Duration, ask func(ctx context.Context, tr *trio, from, to string) bool,
) *trio {
	tr := &trio{store: newFake()}
	names := []string{"a", "b", "c"}
	for i, name := range names {
		node := &fakeNode{
			termStarted: func(t Term) {
				tr.mu.Lock()
				defer tr.mu.Unlock()
				tr.terms = append(tr.terms, t.Number)
			},
			requestExtension: func(ctx context.Context, to string) bool { return ask(ctx, tr, name, to) },
		}
		others := append(append([]string{}, names[:i]...), names[i+1:]...)
		l := New(client{tr.store, name}, node, Options{
			Member:         name,
			Others:         others,
			TTL:            ttl,
			PeerExtensions: ask != nil,
		})
		tr.electors = append(tr.electors, l)
		go func() { _ = l.Run(ctx) }() // ends with ctx
	}
	return tr
}

// holder is the node that holds a valid lease, -1 if none; more than one is never allowed.
func (tr *trio) holder(t *testing.T) (who int) {
	t.Helper()
	who = -1
	for i, l := range tr.electors {
		if l.HoldsLease(time.Now()) {
			if who >= 0 {
				t.Fatalf("nodes %d and %d hold a valid lease at once", who, i)
			}
			who = i
		}
	}
	return who
}

func (tr *trio) watch(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		tr.holder(t)
	}
}

// TestOneLeader: never two at once, terms only rise, and a leader cut off from
// the store loses its lease before anybody else gets it.
func TestOneLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const ttl = 3 * time.Second
		tr := start(ctx, ttl)
		tr.watch(t, 2*time.Second)
		first := tr.holder(t)
		if first < 0 {
			t.Fatal("nobody leads")
		}
		tr.store.mu.Lock()
		tr.store.cut["abc"[first:first+1]] = true
		tr.store.mu.Unlock()
		tr.watch(t, 2*ttl)
		second := tr.holder(t)
		if second < 0 || second == first {
			t.Fatalf("node %d leads after node %d was cut off", second, first)
		}
		tr.electors[second].Resign("test")
		if tr.electors[second].HoldsLease(time.Now()) {
			t.Fatal("holds the lease after resigning")
		}
		tr.watch(t, ttl)
		if third := tr.holder(t); third < 0 || third == second {
			t.Fatalf("node %d leads after node %d resigned", third, second)
		}
		tr.mu.Lock()
		defer tr.mu.Unlock()
		for i := 1; i < len(tr.terms); i++ {
			if tr.terms[i] <= tr.terms[i-1] {
				t.Fatalf("terms %v", tr.terms)
			}
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// TestOutage: in an outage nobody may act, and afterwards the leader that kept
// its lease goes on in the same term.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		tr := start(ctx, 3*time.Second)
		tr.watch(t, 2*time.Second)
		before := tr.holder(t)
		go tr.store.outage(10 * time.Second)
		time.Sleep(4 * time.Second)
		if who := tr.holder(t); who >= 0 {
			t.Fatalf("node %d holds a valid lease in an outage", who)
		}
		tr.watch(t, 8*time.Second)
		if after := tr.holder(t); after != before {
			t.Fatalf("node %d leads after the outage, %d before", after, before)
		}
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if len(tr.terms) != 1 {
			t.Fatalf("terms %v", tr.terms)
		}
		cancel()
		time.Sleep(10 * time.Second) // for all nodes to end
	})
}

// After a leader's end its workers reach no other node for seconds: a node that none reaches
// lets others claim first, but once waited for so long that replicas in a lost zone were
// replaced 2.5 s later than they could have been.
func TestUnreachedNodeYieldsBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		began := time.Now()
		var after time.Duration
		node := &fakeNode{termStarted: func(Term) { after = time.Since(began) }, withoutHeartbeat: true}
		e := New(client{newFake(), "a"}, node, Options{Member: "a", TTL: 3 * time.Second})
		go func() { _ = e.Run(ctx) }() // ends with ctx
		time.Sleep(5 * time.Second)
		cancel()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if after < claimDelayWithoutHeartbeats || after > time.Second {
			t.Fatalf("claimed %s after the place became free", after)
		}
	})
}
