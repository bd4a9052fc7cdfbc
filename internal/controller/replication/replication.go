// Package replication is a controller's part in the warm standby. A leader streams its engine's
// warm state to the other controllers. A follower keeps a copy of that state, in memory and, if
// configured, in the decision log on disk. At a takeover the package decides whether the new
// leader's engine may start from the copy.
//
// It owns the follower's copy and the leader's publisher (package standby), the streams between
// controllers (package standbyrpc) and the decision log. The replicated state only saves time: the
// state service remains the source of truth. A Replicator is safe for concurrent use.
package replication

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/standby"
)

// ErrTermOver reports that a term isn't the one that this node has claimed, or is over.
var ErrTermOver = errors.New("the term is over")

// Replicator is a controller's part in the warm standby: a *Node, or Disabled.
type Replicator interface {
	// Enabled reports whether the operators have enabled the warm standby.
	Enabled() bool
	// Run follows the current leader and writes the decision log, until ctx ends.
	Run(ctx context.Context, peers Peers) error
	// Register registers the gRPC service that streams warm state to the other controllers.
	Register(registrar grpc.ServiceRegistrar)

	// LeaderLost records that there is no leader any more, which begins a takeover.
	LeaderLost()
	// ClaimDelay returns how long after the loss of the leader this node lets others claim first.
	ClaimDelay() time.Duration

	// TermClaimed records that this node has claimed a term.
	TermClaimed(term leadership.Term)
	// ConfirmCopy decides, after the records were read from the state service as of a revision, whether
	// the engine may also start from the copy of the previous leader's warm state. It returns that
	// state, or nil if the engine starts from the records alone. The error is standby.ErrBehindClaim
	// if the records have to be read again, and ErrTermOver if the term isn't this node's any more.
	ConfirmCopy(term leadership.Term, revision uint64) (*core.WarmStart, error)
	// Publish streams changes of the engine's warm state to the followers, if the term is still
	// this node's.
	Publish(term uint64, records []core.WarmRecord)
	// PhaseReached records that a phase of the takeover was reached.
	PhaseReached(phase standby.TakeoverPhase)
	// NameSuccessor chooses which of the candidates is to lead next, announces it to the followers
	// and returns its name; empty if none of the candidates has any of the term's state.
	NameSuccessor(candidates []string) string
	// CaughtUp reports whether a follower has acknowledged all changes; true, too, if this node
	// doesn't lead.
	CaughtUp(follower string) bool
	// TermEnded records that a term of this node is over.
	TermEnded(term uint64)

	// Status returns the status that operators are shown; nil if the warm standby is disabled.
	Status(now time.Time) *Status
}

// Peers gives access to the other controllers.
type Peers interface {
	// Leader returns the name of the node that is believed to lead; empty if unknown.
	Leader() string
	// Connection returns the connection to a controller.
	Connection(name string) (grpc.ClientConnInterface, error)
}

// Disabled is the Replicator of a controller without the warm standby. It does nothing.
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

// ConfirmCopy implements Replicator.
func (Disabled) ConfirmCopy(leadership.Term, uint64) (*core.WarmStart, error) { return nil, nil }

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
