// Package replication is a controller's part in the warm standby. As the leader it streams the engine's
// warm state to the other controllers; as a follower it keeps a copy, in memory and if wished on disk;
// and at a takeover it says from what the next leader goes on.
//
// It owns the follower's copy and the leader's publisher (package standby), the streams between
// controllers (standbyrpc) and the decision log. What it holds saves time and proves nothing: the state
// service alone says what is true. All methods may be called from any goroutine.
package replication

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/standby"
)

// Replicator is a controller's part in the warm standby: a *Node, or Disabled.
type Replicator interface {
	// Enabled tells whether the operators have switched the warm standby on.
	Enabled() bool
	// Run follows whoever leads and writes the decision log, until ctx ends.
	Run(ctx context.Context, peers Peers) error
	// Register adds the stream to what is served to the other controllers.
	Register(registrar grpc.ServiceRegistrar)

	// LeaderLost notes that nobody leads any more.
	LeaderLost()
	// ClaimDelay is for how long this node lets others claim first.
	ClaimDelay() time.Duration

	// TermClaimed notes that this node has claimed a term.
	TermClaimed(term leadership.Term)
	// Confirm says, once the state service was read as of a revision, from what the engine starts
	// besides the records; nil if from nothing. standby.ErrBehindClaim: they have to be read again.
	Confirm(term leadership.Term, revision uint64) (*core.WarmStart, error)
	// Publish streams changes of the engine's warm state.
	Publish(term uint64, records []core.WarmRecord)
	// PhaseReached notes that a phase of the takeover is reached.
	PhaseReached(phase standby.TakeoverPhase)
	// NameSuccessor has the followers told who is to lead next, and returns its name; empty if
	// none of the candidates has the state.
	NameSuccessor(candidates []string) string
	// CaughtUp tells whether a follower has all changes.
	CaughtUp(follower string) bool
	// TermEnded notes that a term of this node is over.
	TermEnded(term uint64)

	// Status is what operators are shown; nil if the warm standby is off.
	Status(now time.Time) *Status
}

// Peers is what following needs of the other controllers.
type Peers interface {
	// Leader names the node believed to lead; empty if unknown.
	Leader() string
	// Connection is the connection to a controller.
	Connection(name string) (grpc.ClientConnInterface, error)
}

// Disabled is the Replicator of a controller whose operators haven't switched the warm standby on. It
// does nothing.
type Disabled struct{}

// Enabled implements Replicator.
func (Disabled) Enabled() bool { return false }

// Run implements Replicator.
func (Disabled) Run(context.Context, Peers) error { return nil }

// Register implements Replicator.
func (Disabled) Register(grpc.ServiceRegistrar) {}

// LeaderLost implements Replicator.
func (Disabled) LeaderLost() {}

// ClaimDelay implements Replicator.
func (Disabled) ClaimDelay() time.Duration { return 0 }

// TermClaimed implements Replicator.
func (Disabled) TermClaimed(leadership.Term) {}

// Confirm implements Replicator.
func (Disabled) Confirm(leadership.Term, uint64) (*core.WarmStart, error) { return nil, nil }

// Publish implements Replicator.
func (Disabled) Publish(uint64, []core.WarmRecord) {}

// PhaseReached implements Replicator.
func (Disabled) PhaseReached(standby.TakeoverPhase) {}

// NameSuccessor implements Replicator.
func (Disabled) NameSuccessor([]string) string { return "" }

// CaughtUp implements Replicator.
func (Disabled) CaughtUp(string) bool { return true }

// TermEnded implements Replicator.
func (Disabled) TermEnded(uint64) {}

// Status implements Replicator.
func (Disabled) Status(time.Time) *Status { return nil }
