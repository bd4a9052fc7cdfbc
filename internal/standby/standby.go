package standby

import "time"

// State is the state of a controller with regard to the leader's warm state.
//
// A controller begins in CatchingUp and goes back and forth between that and Following as frames
// come (Receive). A claim takes it to Confirming (Claimed), the decision on its copy to Active
// (Confirm), and the end of its term from either to SteppedDown (TermEnded). From there the next
// frame leads back to Following or CatchingUp.
type State uint8

// States of a standby.
const (
	// CatchingUp has no complete copy, or one that is known to lack changes.
	CatchingUp State = iota
	// Following has a complete copy with all changes that it knows of.
	Following
	// Confirming has claimed a term and is reading the records from the state service.
	Confirming
	// Active leads.
	Active
	// SteppedDown has led, and hasn't received a frame of another leader since.
	SteppedDown
)

// stateNames are shown to operators; other programs may look for them, too.
var stateNames = [...]string{"catching up", "following", "confirming", "active", "stepped down"}

// String returns the name by which operators know the state.
func (s State) String() string { return stateNames[s] }

// Standby is a controller's copy of the leader's warm state, and the state machine that says what the
// copy may be used for. It isn't safe for concurrent use.
type Standby struct {
	name     string
	timeouts Timeouts
	state    State
	replica  *Replica
	claim    Claim     // the last term that this controller has claimed
	heardAt  time.Time // when the last frame of the replica's term came
	resyncAt time.Time // when a snapshot was last requested
	counts   Counts

	successor   string // whom the leader has named to claim after it; empty: nobody
	successorAt time.Time
}

// Counts counts what a standby has gone through.
type Counts struct {
	Frames, Ignored, Gaps, Mismatches uint64 // frames received, and those with the named outcomes
	Snapshots                         uint64 // snapshots completed
	Confirmed, Unconfirmed            uint64 // takeovers with and without the copy
}

// New returns the standby of a controller, which is known to others by name.
func New(name string, timeouts Timeouts) *Standby {
	return &Standby{name: name, timeouts: timeouts, replica: NewReplica()}
}

// State returns the standby's state.
func (s *Standby) State() State { return s.state }

// Counts returns what the standby has gone through.
func (s *Standby) Counts() Counts { return s.counts }

// move changes the state; nothing else does.
func (s *Standby) move(to State) { s.state = to }

// Restore uses a copy that was kept on disk, unless frames have come already. Such a copy is as good
// as any other: a leader of the same term continues it, and one of a later term replaces it.
func (s *Standby) Restore(replica *Replica) {
	if s.state == CatchingUp && s.replica.Term() == 0 {
		s.replica = replica
	}
}

// Receive takes in a frame of a leader's stream. From its claim to the end of its term a controller
// ignores all frames: they are of a leader that is over, or of one that follows this controller and
// will be received once this term has ended.
func (s *Standby) Receive(now time.Time, f Frame) Outcome {
	s.counts.Frames++
	if s.state == Confirming || s.state == Active {
		s.counts.Ignored++
		return Ignored
	}
	outcome := s.replica.Apply(f)
	s.count(f, outcome)
	if f.Term == s.replica.Term() {
		s.heardAt = now
		if f.Kind == HandOver {
			s.successor, s.successorAt = f.Successor, now
		}
	}
	s.moveByReplica()
	return outcome
}

// count counts the outcome of a frame.
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

// moveByReplica moves to Following if the copy has all changes, else to CatchingUp.
func (s *Standby) moveByReplica() {
	if s.replicaIsCurrent() {
		s.move(Following)
	} else {
		s.move(CatchingUp)
	}
}

// replicaIsCurrent returns whether the copy is complete and lacks no change that is known.
func (s *Standby) replicaIsCurrent() bool {
	behind, complete := s.replica.Behind()
	return complete && behind == 0
}

// Position returns what the copy has.
func (s *Standby) Position() Position { return s.replica.Position() }

// Replica returns the copy, which the decision log keeps on disk.
func (s *Standby) Replica() *Replica { return s.replica }

// MayResync returns whether a snapshot may be requested now. If so, the caller requests one: the next
// is counted from now on.
func (s *Standby) MayResync(now time.Time) bool {
	if !s.resyncAt.IsZero() && now.Sub(s.resyncAt) < s.timeouts.Resync {
		return false
	}
	s.resyncAt = now
	return true
}

// Lag returns how many changes the copy is known to lack, and the time since the last frame of its
// leader; 0 if none has come.
func (s *Standby) Lag(now time.Time) (changes uint64, age time.Duration) {
	changes, _ = s.replica.Behind()
	if !s.heardAt.IsZero() {
		age = now.Sub(s.heardAt)
	}
	return changes, age
}
