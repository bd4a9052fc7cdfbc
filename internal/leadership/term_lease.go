package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// TermLease is this node's leader lease in one term: the right to act as the leader of that term. Each
// claim creates a new one, and it is the only access to the lease, so that whoever acts for a term
// can only ask for, and end, that term.
//
// Once the term has ended, its TermLease is never valid again, whatever this node claims later. It is
// safe for concurrent use. The safety argument is in docs/design.md, "Who may act" and "Safety
// arguments" 1; it is tested by TestLeaseEndsWithItsTerm and TestEndedLeaseIsNotRenewed.
type TermLease struct {
	term   Term
	cancel context.CancelFunc // ends the term's context
	log    *slog.Logger

	mu        sync.Mutex
	state     termLeaseState
	validity  *Lease
	successor string // given to HandOver
}

// termLeaseState is the state of a TermLease. A state is only ever followed by a later one.
type termLeaseState uint8

const (
	termHeld      termLeaseState = iota // the lease is valid while it is renewed or extended in time
	termResigning                       // the node has given up the lease, and will revoke it
	termEnded                           // the term is over
)

// NewTermLease returns the lease of a term that was just claimed. It isn't valid until a renewal is
// recorded, of the claim itself. Cancel ends the term's context.
func NewTermLease(term Term, validity *Lease, cancel context.CancelFunc, log *slog.Logger) *TermLease {
	return &TermLease{term: term, validity: validity, cancel: cancel, log: log.With("term", term.Number)}
}

// Term returns the term that the lease belongs to.
func (l *TermLease) Term() Term { return l.term }

// Valid returns whether this node holds a valid leader lease in this term, and so may act for it.
func (l *TermLease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == termHeld && l.validity.Valid(now)
}

// Resign gives up the lease and lets other nodes claim first. It does nothing if the lease has been
// given up or the term has ended.
func (l *TermLease) Resign(reason ResignReason) { l.resign(reason, "") }

// HandOver gives up the lease in favor of a successor, which Elector.Leader returns from then on. The
// successor is only a hint: it has to claim like any other node. HandOver does nothing if the lease has
// been given up or the term has ended.
func (l *TermLease) HandOver(successor string) { l.resign(ResignHandingOver, successor) }

func (l *TermLease) resign(reason ResignReason, successor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.advance(termResigning) {
		l.successor = successor
		l.log.Warn("leader resigning", "reason", string(reason))
	}
}

// End ends the term at once. It is called when the term is over, for example because another node has
// claimed a higher one.
func (l *TermLease) End() {
	l.mu.Lock()
	l.advance(termEnded)
	l.mu.Unlock()
	l.cancel()
}

// advance changes the state to a later one, in which the lease isn't valid. It returns false, and
// changes nothing, if the lease is in that state or a later one already. The caller holds l.mu. No
// other code changes the state.
func (l *TermLease) advance(to termLeaseState) bool {
	if l.state >= to {
		return false
	}
	l.state = to
	l.validity.Invalidate()
	return true
}

// resignation returns whether the node has given up the lease in a term that isn't over yet, and the
// successor that it has named in the term.
func (l *TermLease) resignation() (successor string, resigned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor, l.state == termResigning
}

// RecordRenewal records that the lease was granted or renewed. Requested is when that was asked for.
// It has no effect once the lease has been given up or the term has ended.
func (l *TermLease) RecordRenewal(requested time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == termHeld {
		l.validity.RecordRenewal(requested)
	}
}

// NeedsExtension returns whether the state service doesn't renew the lease, so that the peers have to
// extend it.
func (l *TermLease) NeedsExtension(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == termHeld && l.validity.NeedsExtension(now)
}

// RecordExtension records that a peer extends the lease until a given time. It has no effect once the
// lease has been given up or the term has ended. It returns whether the lease now lasts longer.
func (l *TermLease) RecordExtension(peer string, now, until time.Time) (prolonged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != termHeld {
		return false
	}
	before := l.validity.validUntil
	if first := l.validity.RecordExtension(peer, now, until); first {
		l.log.Warn("leader lease extended by peers")
	}
	return l.validity.validUntil.After(before)
}
