// Package leadership elects the leader among the controller nodes, and tells at any time whether this
// node holds a valid leader lease in a term (TermLease).
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
	terms   sync.WaitGroup // the work of terms that hasn't returned yet

	mu        sync.Mutex
	role      Role
	leader    string     // the node that holds the leader's key; empty if unknown
	lease     *TermLease // of the term in which this node is Leading; nil in other roles
	lastTerm  uint64     // number of the last term that this node has claimed
	successor string     // named in the last term; Leader returns it until the next leader is known
	grants    extensionGrants
}

// New returns an Elector, which takes part in elections once Run is called.
func New(store Store, node Node, options Options) *Elector {
	return &Elector{
		options: options, store: store, node: node, log: slog.With("component", "leadership"),
		grants: extensionGrants{startedAt: time.Now()},
	}
}

// setRole changes the role and logs the change. A node that is Leading ends its term by that.
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
	e.log.Info("leadership role changed", "previous_role", e.role.String(), "role", to.String(), "term", e.lastTerm)
	e.role = to
	if e.lease != nil && to != Leading {
		e.lease.End()
		e.successor, _ = e.lease.resignation()
		e.lease = nil
	}
}

// Leader returns the name of the node that is believed to lead or, after a handover, is expected to
// lead next. It is empty if neither is known.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease != nil {
		if successor, resigned := e.lease.resignation(); resigned {
			return successor
		}
	}
	if e.leader == "" {
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
