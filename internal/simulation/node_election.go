package simulation

import (
	"context"
	"log/slog"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// candidacy is a node's state in elections.
type candidacy struct {
	claimTried   bool      // it didn't skip the last round
	pendingClaim int       // number of the claim that is under way; 0: none
	claims       int       // number of claims so far
	grantedUntil time.Time // end of the last lease extension that it granted to a leader
}

// claimOrRenew renews the leader lease if the node leads. If not, it tries to claim the lease;
// after an attempt it skips the next round at random, but never two rounds in succession.
func (n *node) claimOrRenew() {
	if n.engine != nil {
		n.requestExtensions()
		n.renew()
		return
	}
	if n.takeover != nil {
		return
	}
	if n.candidacy.claimTried && n.w.chance(0.5) {
		n.candidacy.claimTried = false
		return
	}
	n.candidacy.claimTried = true
	if n.mayClaim() && n.claimDelayElapsed() {
		n.claim()
	}
}

// renew asks the state service to renew the leader lease. If the lease no longer exists there, the
// node's term ends.
func (n *node) renew() {
	w, sent := n.w, n.local()
	lease, renewed, over := n.lease, false, false
	n.send(func() {
		switch {
		case n.storeRefuses():
		case w.store.lease.heldAs(w.now, lease):
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
			n.leaseRenewed(sent)
		}
	}, true)
}

// claim asks the state service for the leader lease and the next term.
func (n *node) claim() {
	sent := n.local()
	n.candidacy.claims++
	claim := n.candidacy.claims
	n.candidacy.pendingClaim = claim
	incarnation := n.incarnation
	n.w.after(callTimeout, func() { // an answer that comes later is ignored
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

// nextTerm is what the state service does for a claim: unless the lease is held, it grants the
// lease and begins the next term. The term's number is 0 if the claim has failed.
func (n *node) nextTerm() (t leadership.Term, lease int) {
	w := n.w
	if n.storeRefuses() || w.store.lease.held(w.now) {
		return t, 0
	}
	var latest struct {
		N uint64 `cbor:"n"`
	}
	it, found, _ := w.store.Get(context.Background(), leadership.TermKey)
	if found && codec.Unmarshal(it.Value, &latest) != nil {
		return t, 0
	}
	record, restored, _ := w.store.Get(context.Background(), leadership.RestoredKey)
	highest := latest
	if restored && codec.Unmarshal(record.Value, &highest) != nil {
		return t, 0
	}
	latest.N = max(latest.N, highest.N) + 1
	rev, err := w.store.Commit(context.Background(),
		[]statestore.Compare{{Key: leadership.TermKey, ModRevision: it.ModRevision}},
		[]statestore.Op{statestore.Put(leadership.TermKey, codec.MustMarshal(latest))})
	if err != nil {
		return t, 0
	}
	w.store.lease.id++
	w.store.lease.until = w.now.Add(w.options.LeaseTTL)
	return leadership.Term{Number: latest.N, Revision: rev, Restored: restored}, w.store.lease.id
}

// leaderLease is the leader lease as the state service keeps it.
type leaderLease struct {
	id    int // increases with each claim that succeeds
	until time.Time
}

// held reports whether a node holds the lease.
func (l *leaderLease) held(now time.Time) bool { return now.Before(l.until) }

// heldAs reports whether the lease with this id is still held.
func (l *leaderLease) heldAs(now time.Time, id int) bool { return l.id == id && l.held(now) }

// leaseRenewed records that a request, sent at a time by the node's clock, has granted or renewed the
// lease.
func (n *node) leaseRenewed(sent time.Time) {
	lapsed := !n.holdsLease()
	n.termLease.RecordRenewal(sent)
	if lapsed && n.holdsLease() {
		n.step(core.LeaseResumed{})
	}
}

// newTermLease returns the lease of a term that the node has claimed.
func (n *node) newTermLease(t leadership.Term) *leadership.TermLease {
	var peers []string
	for _, o := range n.w.nodes {
		if o != n {
			peers = append(peers, o.name)
		}
	}
	validity := leadership.NewLease(n.w.options.LeaseTTL, peers)
	return leadership.NewTermLease(t, validity, func() {}, slog.New(slog.DiscardHandler))
}

// elected begins a term that the node has claimed.
func (n *node) elected(t leadership.Term, lease int, sent time.Time) {
	termLease := n.newTermLease(t)
	n.w.overlap.takeOver(n, termLease, sent, func() { n.readRecords(termLease, lease, sent) })
}

// readRecords begins to lead in a term with the records that the state service holds. If they can't be
// read, the node doesn't lead.
func (n *node) readRecords(termLease *leadership.TermLease, lease int, sent time.Time) {
	t := termLease.Term()
	snap, revision, err := n.jobs.Snapshot(context.Background())
	if err != nil || n.readDrains(&snap) != nil {
		return
	}
	n.term, n.lease, n.termLease, n.writing = t, lease, termLease, false
	snap.Restored = t.Restored
	n.engine = core.New(n.local(), n.engineConfig(), t.Number, snap)
	n.warmStart(t, revision)
	n.leaseRenewed(sent)
	n.step(core.CatalogUpdated{Types: n.w.catalog})
}
