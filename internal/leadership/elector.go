// Package leadership elects the leader among the controller nodes, and tells at any time whether this
// node holds a valid leader lease.
//
// The key that names the leader (HolderKey) is attached to a lease of the state service. A node
// claims leadership with one compare-and-swap transaction, which sets that key and the number of a
// new term; term numbers only increase. While the state service can't renew the lease, the leader's
// peers may extend it, if all of them agree. The package owns the keys that begin with lead/. It
// assumes that monotonic clocks drift by at most 0.05%, and that no node claims other than the
// members it is configured with.
//
// Elector.Run is called once; all other methods of an Elector are safe for concurrent use. The
// safety argument is in docs/design.md, "Who may act" and "Safety arguments" 1; it is tested by
// TestOneLeader, TestOutage, lease_test.go and extension_test.go.
package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Options configure an Elector.
type Options struct {
	Member string        // this node's name
	Others []string      // names of all other nodes that may ever claim
	TTL    time.Duration // of the leader lease
	// PeerExtensions lets the other nodes extend the lease while the state service doesn't renew
	// it. It must have the same value on all nodes of a deployment.
	PeerExtensions bool
}

// Elector takes part in leader election for one node: it claims and keeps the leader lease, and knows
// which node leads.
type Elector struct {
	options Options
	store   Store
	node    Node
	log     *slog.Logger
	terms   sync.WaitGroup // calls of RunTerm that haven't returned yet

	mu         sync.Mutex
	role       Role
	leader     string // the node that holds the leader's key; empty if unknown
	successor  string // given to HandOver; Leader returns it until the next leader is known
	term       Term   // the last term that this node has claimed
	lease      *Lease
	cancelTerm context.CancelFunc // nil unless this node has claimed a term
	resigning  bool
	grants     extensionGrants
}

// New returns an Elector, which takes part in elections once Run is called.
func New(store Store, node Node, options Options) *Elector {
	return &Elector{
		options: options, store: store, node: node, log: slog.With("component", "leadership"),
		lease:  NewLease(options.TTL, options.Others),
		grants: extensionGrants{startedAt: time.Now()},
	}
}

// setRole changes the role and logs the change. In any role but Leading the lease is invalid.
func (e *Elector) setRole(to Role) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setRoleLocked(to)
}

// setRoleLocked is setRole for callers that hold e.mu. No other code changes the role.
func (e *Elector) setRoleLocked(to Role) {
	if e.role == to {
		return
	}
	e.log.Info("leadership role changed", "previous_role", e.role.String(), "role", to.String(), "term", e.term.Number)
	e.role = to
	if to != Leading {
		e.lease.Invalidate()
	}
}

// HoldsLease returns whether this node holds a valid leader lease, and so may act as the leader.
func (e *Elector) HoldsLease(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role == Leading && e.lease.Valid(now)
}

// Leader returns the name of the node that is believed to lead or, after a handover, is expected to
// lead next. It is empty if neither is known.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == "" || e.role == Leading && e.resigning {
		return e.successor
	}
	return e.leader
}

// FollowsAnother returns whether another node is known to lead.
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

// HandOver makes a leader give up its lease in favor of a successor, which Leader returns from then
// on. The successor is only a hint: it has to claim like any other node.
func (e *Elector) HandOver(successor string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leading && !e.resigning {
		e.successor = successor
	}
	e.resignLocked(ResignHandingOver)
}

// Resign makes a leader give up its lease and let other nodes claim first.
func (e *Elector) Resign(reason ResignReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resignLocked(reason)
}

// resignLocked is Resign for callers that hold e.mu.
func (e *Elector) resignLocked(reason ResignReason) {
	if e.role == Leading && !e.resigning {
		e.log.Warn("leader resigning", "term", e.term.Number, "reason", string(reason))
		e.resigning = true
		e.lease.Invalidate()
	}
}

// EndTerm ends this node's term at once. It is called when another node has claimed a higher term.
func (e *Elector) EndTerm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Invalidate()
	if e.cancelTerm != nil {
		e.cancelTerm()
	}
}

// setLeader records which node holds HolderKey; name is empty if none is known to.
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
