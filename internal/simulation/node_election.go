package simulation

import (
	"context"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// candidacy is a node's part in elections.
type candidacy struct {
	claimTried   bool
	pendingClaim int       // which claim is under way, 0: none
	claims       int       // so far
	grantedUntil time.Time // end of the last lease extension that it granted to a leader
}

// claimOrRenew claims the leader lease, or renews it.
func (n *node) claimOrRenew() {
	if n.engine != nil {
		n.requestExtensions()
		n.renew()
		return
	}
	if n.candidacy.claimTried && n.w.chance(0.5) {
		n.candidacy.claimTried = false
		return
	}
	n.candidacy.claimTried = true
	if n.mayClaim() && n.mayClaimNow() {
		n.claim()
	}
}

// renew asks the state service to renew the leader lease.
func (n *node) renew() {
	w, sent := n.w, n.local()
	lease, renewed, over := n.lease, false, false
	n.send(func() {
		switch {
		case n.storeDown():
		case w.store.lease.alive(w.now, lease):
			w.store.lease.until, renewed = w.now.Add(w.options.LeaseTTL), true
		default:
			over = true
		}
	}, func() {
		switch {
		case n.engine == nil || n.lease != lease:
		case over:
			n.endTerm()
		case renewed:
			n.leaseProven(sent)
		}
	}, true)
}

// claim asks the state service for the next term.
func (n *node) claim() {
	sent := n.local()
	n.candidacy.claims++
	claim := n.candidacy.claims
	n.candidacy.pendingClaim = claim
	incarnation := n.incarnation
	n.w.after(callTimeout, func() { // without an answer by then it is never acted on
		n.run(incarnation, func() {
			if n.candidacy.pendingClaim == claim {
				n.candidacy.pendingClaim = 0
			}
		})
	})
	var t leadership.Term
	var lease int
	n.send(func() { t, lease = n.nextTerm() }, func() {
		if n.candidacy.pendingClaim != claim {
			return
		}
		n.candidacy.pendingClaim = 0
		if t.Number != 0 && n.engine == nil {
			n.elected(t, lease, sent)
		}
	}, true)
}

// nextTerm is the state service's part in a claim. Term 0 means that the claim has failed.
func (n *node) nextTerm() (t leadership.Term, lease int) {
	w := n.w
	if n.storeDown() || w.store.lease.held(w.now) {
		return t, 0
	}
	var tv struct {
		N uint64 `cbor:"n"`
	}
	it, found, _ := w.store.Get(context.Background(), leadership.TermKey)
	if found && codec.Unmarshal(it.Value, &tv) != nil {
		return t, 0
	}
	seen, restored, _ := w.store.Get(context.Background(), leadership.RestoredKey)
	highest := tv
	if restored && codec.Unmarshal(seen.Value, &highest) != nil {
		return t, 0
	}
	tv.N = max(tv.N, highest.N) + 1
	rev, err := w.store.Commit(context.Background(),
		[]statestore.Compare{{Key: leadership.TermKey, ModRevision: it.ModRevision}},
		[]statestore.Op{statestore.Put(leadership.TermKey, codec.MustMarshal(tv))})
	if err != nil {
		return t, 0
	}
	w.store.lease.id++
	w.store.lease.until = w.now.Add(w.options.LeaseTTL)
	return leadership.Term{Number: tv.N, Revision: rev, Restored: restored}, w.store.lease.id
}

// leaderLease is the lease under the leader's key.
type leaderLease struct {
	id    int
	until time.Time
}

func (l *leaderLease) held(now time.Time) bool { return now.Before(l.until) }

func (l *leaderLease) alive(now time.Time, id int) bool { return l.id == id && l.held(now) }

// leaseProven notes that a request which was sent at some time has renewed the lease. The lease counts from then, less
// the drift of clocks and a margin.
func (n *node) leaseProven(sent time.Time) {
	if u := sent.Add(n.w.options.LeaseTTL - n.w.options.LeaseTTL/500 - 100*time.Millisecond); u.After(n.leaseUntil) {
		lapsed := !n.holdsLease()
		n.leaseUntil = u
		if lapsed && n.holdsLease() {
			n.step(core.LeaseResumed{})
		}
	}
}

// elected begins a term with what the state service holds.
func (n *node) elected(t leadership.Term, lease int, sent time.Time) {
	snap, revision, err := n.jobs.Snapshot(context.Background())
	if err != nil || n.readDrains(&snap) != nil {
		return
	}
	n.term, n.lease, n.writing, n.leaseUntil, n.extensions = t, lease, false, time.Time{}, map[*node]time.Time{}
	snap.Restored = t.Restored
	n.engine = core.New(n.local(), n.engineConfig(), t.Number, snap)
	n.warmStart(t, revision)
	n.leaseProven(sent)
	n.step(core.CatalogUpdated{Types: n.w.catalog})
}
