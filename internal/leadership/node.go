package leadership

import (
	"context"
	"time"

	"gingertally/internal/statestore"
)

// Store is the part of the state service's client that leader election uses. *statestore.Client
// implements it.
type Store interface {
	// Get reads a key. It returns false if the key doesn't exist.
	Get(ctx context.Context, key string) (statestore.KeyValue, bool, error)
	// Commit executes a transaction if all its conditions hold, and returns its revision.
	Commit(ctx context.Context, compares []statestore.Compare, ops []statestore.Op) (uint64, error)
	// Grant creates a lease, which expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (statestore.LeaseID, error)
	// KeepAlive renews a lease. The error is statestore.ErrLeaseExpired if the lease has ended.
	KeepAlive(ctx context.Context, lease statestore.LeaseID) error
	// Revoke ends a lease, which deletes the keys attached to it.
	Revoke(ctx context.Context, lease statestore.LeaseID) error
	// Watch waits for changes, after a revision, of keys with a prefix.
	Watch(ctx context.Context, prefix string, after uint64) (statestore.WatchResponse, error)
}

// Node is the controller node on whose behalf an Elector takes part in elections. All methods but
// RequestExtension must return quickly. They are called concurrently from the Elector's goroutines,
// and never with its lock held.
type Node interface {
	// BeginTerm is called when this node has claimed a term. It returns the leader's work for the term,
	// which is run in a goroutine of its own with a context that ends with the term. The work returns
	// once none of it is running any more, which may be when this node leads in a later term already.
	BeginTerm(lease *TermLease) (work func(ctx context.Context))
	// EndTerm is called when a term of this node is over, always before the next one begins.
	EndTerm(term Term)
	// LeaseResumed is called when the lease had lapsed and is valid again in the same term.
	LeaseResumed(term Term)
	// LeaderLost is called when there is no leader any more.
	LeaderLost()
	// HeartbeatsMissing returns whether this node has received no heartbeat from any worker for
	// longer than is normal.
	HeartbeatsMissing() bool
	// ClaimDelay returns how long after the loss of the leader this node lets others claim first.
	ClaimDelay() time.Duration
	// RequestExtension asks a peer to extend this node's lease for ExtensionDuration. It returns whether
	// the peer has agreed.
	RequestExtension(ctx context.Context, member string) bool
}

// Role is a node's role in leader election.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota // another node leads, or no leader is known
	Claiming             // there is no leader, and this node is claiming leadership
	Leading              // this node has claimed a term; the TermLease tells whether its lease is valid
	Resigned             // this node has resigned and lets others claim first
)

var roleNames = [...]string{"follower", "claiming", "leading", "resting"}

// String returns the role's name as status and logs show it.
func (r Role) String() string { return roleNames[r] }

// ResignReason says why a leader gives up its lease.
type ResignReason string

// Reasons for giving up the lease.
const (
	ResignHandingOver             ResignReason = "handing over"
	ResignNoHeartbeats            ResignReason = "no heartbeats"
	ResignAttemptNumbersExhausted ResignReason = "attempt numbers exhausted"
)
