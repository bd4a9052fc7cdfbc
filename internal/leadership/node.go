package leadership

import (
	"context"
	"time"

	"gingertally/internal/statestore"
)

// Store is what leader election needs of the state service. *statestore.Client implements it.
type Store interface {
	// Get reads a key; false if it doesn't exist.
	Get(ctx context.Context, key string) (statestore.KeyValue, bool, error)
	// Commit carries a transaction out if all its conditions hold.
	Commit(ctx context.Context, compares []statestore.Compare, ops []statestore.Op) (uint64, error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (statestore.LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease statestore.LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, lease statestore.LeaseID) error
	// Watch waits for changes of keys with a prefix after a revision.
	Watch(ctx context.Context, prefix string, after uint64) (statestore.WatchResponse, error)
}

// Node is the node that takes part in an election, as the Elector needs it. All methods but RunTerm
// and RequestExtension have to return quickly. They are called from the Elector's goroutines, several
// at a time, and never with its lock held.
type Node interface {
	// RunTerm does the leader's work. The context ends with the term; RunTerm returns once
	// nothing of the term is running any more.
	RunTerm(ctx context.Context, term Term)
	// LeaseResumed tells that the lease had lapsed and is valid again, in the same term.
	LeaseResumed()
	// LeaderLost tells that nobody leads any more.
	LeaderLost()
	// HeartbeatsMissing tells whether no worker has reached this node for longer than is normal.
	HeartbeatsMissing() bool
	// ClaimDelay is for how long this node lets others claim first.
	ClaimDelay() time.Duration
	// RequestExtension asks a peer to extend this node's lease by ExtensionFor from now on. It
	// tells whether the peer has agreed.
	RequestExtension(ctx context.Context, member string) bool
}

// Role is the part of a node in leader election.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota // another node leads, or none is known to
	Claiming             // nobody leads, and this node tries to
	Leading              // this node has claimed a term; HoldsLease tells whether its lease is valid
	Resting              // this node has resigned, and lets others claim first
)

var roleNames = [...]string{"follower", "claiming", "leading", "resting"}

// String returns the role's name, as operators see it.
func (r Role) String() string { return roleNames[r] }

// ResignReason is why a leader gives its lease up.
type ResignReason string

// Reasons for giving the lease up.
const (
	ResignHandingOver             ResignReason = "handing over"
	ResignNoHeartbeats            ResignReason = "no heartbeats"
	ResignAttemptNumbersExhausted ResignReason = "attempt numbers exhausted"
)
