package standby

import "time"

// State is the state of a controller with respect to the leader's warm state.
//
// A controller begins in CatchingUp, and frames move it between that and Following (Receive). Claiming
// a term moves it to Confirming (Claimed), and the decision on its copy to Active (ConfirmCopy). The
// end of its term moves it from either of these to SteppedDown (TermEnded), and the next frame moves
// it back to Following or CatchingUp.
type State uint8

// States of a standby.
const (
	// CatchingUp means that the copy isn't complete, or is known to lack changes.
	CatchingUp State = iota
	// Following means that the copy is complete and lacks no change that is known of.
	Following
	// Confirming means that the controller has claimed a term and is reading the records from the
	// state service.
	Confirming
	// Active means that the controller leads.
	Active
	// SteppedDown means that the controller's term has ended, and that it has received no frame since.
	SteppedDown
)

// stateNames are shown to operators, and other programs may match them.
var stateNames = [...]string{"catching up", "following", "confirming", "active", "stepped down"}

// String returns the name of the state that operators see.
func (s State) String() string { return stateNames[s] }

// Standby is a controller's copy of the leader's warm state, with the state machine that determines
// what the copy may be used for. It isn't safe for concurrent use.
type Standby struct {
	name         string
	timeouts     Timeouts
	state        State
	replica      *Replica
	claim        Claim     // the last term that this controller has claimed
	lastFrameAt  time.Time // when the last frame of the replica's term was received
	lastResyncAt time.Time // when a snapshot was last requested
	counts       Counts

	successor   string    // controller that the leader has named to claim next; empty if none
	successorAt time.Time // when the successor was named
}

// Counts are counts of a standby's events.
type Counts struct {
	Frames, Ignored, Gaps, Mismatches uint64 // all frames received, and those by outcome
	Snapshots                         uint64 // snapshots received in full
	Confirmed, Unconfirmed            uint64 // takeovers with the copy confirmed, and without
}

// New returns the standby of the controller with the given name.
func New(name string, timeouts Timeouts) *Standby {
	return &Standby{name: name, timeouts: timeouts, replica: NewReplica()}
}

// State returns the standby's state.
func (s *Standby) State() State { return s.state }

// Counts returns the counts of the standby's events.
func (s *Standby) Counts() Counts { return s.counts }

// setState changes the state. Nothing else writes that field.
func (s *Standby) setState(to State) { s.state = to }

// Restore installs a copy that was read from disk, unless frames have already been received. Such a
// copy is as good as any other: a leader of the same term continues it, and one of a later term
// replaces it.
func (s *Standby) Restore(replica *Replica) {
	if s.state == CatchingUp && s.replica.Term() == 0 {
		s.replica = replica
	}
}

// Receive applies a frame from a leader's stream to the copy. A controller ignores all frames from its
// claim to the end of its term: they are from an earlier leader, or from a later one, whose state
// it will receive once its own term has ended.
func (s *Standby) Receive(now time.Time, f Frame) Outcome {
	s.counts.Frames++
	if s.state == Confirming || s.state == Active {
		s.counts.Ignored++
		return Ignored
	}
	outcome := s.replica.Apply(f)
	s.count(f, outcome)
	if f.Term == s.replica.Term() {
		s.lastFrameAt = now
		if f.Kind == HandOver {
			s.successor, s.successorAt = f.Successor, now
		}
	}
	s.updateState()
	return outcome
}

// count updates the counts for the outcome of a frame.
func (s *Standby) count(f Frame, outcome Outcome) {
	switch outcome {
	case Gap:
		s.counts.Gaps++
	case Mismatch:
		s.counts.Mismatches++
	case Ignored:
		s.counts.Ignored++
	case Applied:
		if f.Kind == Snapshot && f.Last {
			s.counts.Snapshots++
		}
	}
}

// updateState moves to Following if the copy is current, else to CatchingUp.
func (s *Standby) updateState() {
	if s.replicaIsCurrent() {
		s.setState(Following)
	} else {
		s.setState(CatchingUp)
	}
}

// replicaIsCurrent reports whether the copy is complete and lacks no change that is known of.
func (s *Standby) replicaIsCurrent() bool {
	behind, complete := s.replica.Behind()
	return complete && behind == 0
}

// Position returns the copy's position.
func (s *Standby) Position() Position { return s.replica.Position() }

// Replica returns the copy. The decision log stores it on disk.
func (s *Standby) Replica() *Replica { return s.replica }

// MayResync reports whether a snapshot may be requested now. If it returns true, the caller has to
// request one: the next request is allowed only Timeouts.ResyncInterval later.
func (s *Standby) MayResync(now time.Time) bool {
	if !s.lastResyncAt.IsZero() && now.Sub(s.lastResyncAt) < s.timeouts.ResyncInterval {
		return false
	}
	s.lastResyncAt = now
	return true
}

// Lag returns how many changes the copy is known to lack, and the time since the last frame of its
// leader, or 0 if none was received.
func (s *Standby) Lag(now time.Time) (changes uint64, age time.Duration) {
	changes, _ = s.replica.Behind()
	if !s.lastFrameAt.IsZero() {
		age = now.Sub(s.lastFrameAt)
	}
	return changes, age
}
