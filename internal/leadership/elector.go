// Package leadership elects the leading node, and tells at any moment whether this
// node holds a valid leader's lease.
//
// The leader's key is attached to a lease of the state service. A node claims it by compare-and-swap,
// together with a term whose number only rises. While the state service can't renew the lease, all
// peers together may extend it. The package owns the keys lead/...; it assumes that steady clocks drift
// by at most 0.05%, and that the members it is given are all that may ever claim.
//
// Elector.Run is called once, from one goroutine; all other methods of an Elector may be called from
// any. The safety argument is in docs/design.md, "Who may act" and "Safety arguments" 1; TestOneLeader,
// TestOutage, lease_test.go and extension_test.go hold it.
package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Options are a node's place in the deployment and the lease's length.
type Options struct {
	Member string
	Others []string // all other nodes that may ever claim
	TTL    time.Duration
	// PeerExtensions has the other nodes extend the lease while the state service doesn't renew
	// it. All nodes of a deployment have the same value.
	PeerExtensions bool
}

// Elector is a node's part in leader election.
type Elector struct {
	options Options
	store   Store
	node    Node
	log     *slog.Logger
	terms   sync.WaitGroup // of the terms of this node that are running or winding down

	mu         sync.Mutex
	role       Role
	leader     string // the node that holds the leader's key; empty if unknown
	successor  string // named as the leader until the next one is known
	term       Term   // the last one that this node has claimed
	lease      *Lease
	cancelTerm context.CancelFunc // nil unless this node has claimed a term
	resigning  bool
	grants     extensionGrants
}

// New makes a node's part in leader election.
func New(store Store, node Node, options Options) *Elector {
	return &Elector{
		options: options, store: store, node: node, log: slog.With("component", "leadership"),
		lease:  NewLease(options.TTL, options.Others),
		grants: extensionGrants{startedAt: time.Now()},
	}
}

// move is the one place where the role changes.
func (e *Elector) move(to Role) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moveLocked(to)
}

func (e *Elector) moveLocked(to Role) {
	if e.role == to {
		return
	}
	e.log.Info("leadership role changed", "previous_role", e.role.String(), "role", to.String(), "term", e.term.Number)
	e.role = to
	if to != Leading {
		e.lease.Invalidate()
	}
}

// HoldsLease tells whether this node holds a valid leader's lease, and so may act.
func (e *Elector) HoldsLease(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role == Leading && e.lease.Valid(now)
}

// Leader names the node believed to lead, or about to; empty if unknown.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == "" || e.role == Leading && e.resigning {
		return e.successor
	}
	return e.leader
}

// FollowsAnother tells whether another node is known to lead.
func (e *Elector) FollowsAnother() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role != Leading && e.leader != "" && e.leader != e.options.Member
}

// Role returns the node's role.
func (e *Elector) Role() Role {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// HandOver has a leader give up its lease to a successor, which it names as the leader
// from now on. It proves nothing about the successor, which claims like any other.
func (e *Elector) HandOver(successor string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leading && !e.resigning {
		e.successor = successor
	}
	e.resignLocked(ResignHandingOver)
}

// Resign has a leader give up its lease and let others claim first.
func (e *Elector) Resign(reason ResignReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resignLocked(reason)
}

func (e *Elector) resignLocked(reason ResignReason) {
	if e.role == Leading && !e.resigning {
		e.log.Warn("leader resigning", "term", e.term.Number, "reason", string(reason))
		e.resigning = true
		e.lease.Invalidate()
	}
}

// EndTerm ends this node's term at once: another node has claimed a higher one.
func (e *Elector) EndTerm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Invalidate()
	if e.cancelTerm != nil {
		e.cancelTerm()
	}
}

func (e *Elector) setLeader(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != name {
		e.log.Info("leader changed", "leader", name)
	}
	if name != "" {
		e.successor = ""
	}
	e.leader = name
}

func (e *Elector) isResigning() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigning
}
