package standby

import (
	"errors"
	"time"
)

// State is the state of a controller towards the leader's warm state.
type State uint8

// States of a standby.
const (
	// CatchingUp standbys have no complete copy, or know that it lacks changes.
	CatchingUp State = iota
	// Following standbys have all changes that they know of.
	Following
	// Confirming standbys have claimed a term and are reading the state service.
	Confirming
	// Active controllers lead.
	Active
	// SteppedDown controllers led, and haven't heard of another leader since.
	SteppedDown
)

var stateNames = [...]string{"catching up", "following", "confirming", "active", "stepped down"}

// String returns the state's name, as operators see it.
func (s State) String() string { return stateNames[s] }

// Reasons for which a takeover goes without the copy.
var (
	// ErrNotConfirming says that no claim was noted.
	ErrNotConfirming = errors.New("no claim is being confirmed")
	// ErrBehindClaim says that the state service was read as of a moment before the claim:
	// writes of the old leader might be missing.
	ErrBehindClaim = errors.New("the state service was read before the claim")
	// ErrIncomplete says that the copy isn't complete, or lacks changes.
	ErrIncomplete = errors.New("the copy is incomplete")
	// ErrOtherTerm says that the copy isn't of the term right before the claimed one:
	// another leader may have acted since.
	ErrOtherTerm = errors.New("the copy is of another term than the last")
)

// Claim is a term that this controller has claimed from the state service, which grants it
// only once the lease of the leader before has lapsed or was given up.
type Claim struct {
	Term     uint64
	Revision uint64 // of the state service, at which the claim was stored
}

// View is what a new leader starts from.
type View struct {
	Entries []Entry
	// Recent says that the old leader was heard so shortly before that what it knew of
	// machines still holds.
	Recent bool
	Age    time.Duration // since the old leader was last heard
}

// Timeouts are a standby's margins, derived from the deployment's settings.
type Timeouts struct {
	// Recent is for how long the last word of a leader on its machines is counted on.
	Recent time.Duration
	// ClaimDelay is how long a standby that lacks the state lets others claim first.
	ClaimDelay time.Duration
	// HandOver is how long a standby lets the named successor of a leader claim first.
	HandOver time.Duration
	// Resync is how much time lies between two requests for a snapshot at the least.
	Resync time.Duration
}

// Standby is a controller's copy of the leader's warm state and what it may be used for. It
// isn't safe for concurrent use.
type Standby struct {
	name     string
	timeouts Timeouts
	state    State
	replica  *Replica
	claim    Claim
	heardAt  time.Time // when the leader of the replica's term was last heard
	resyncAt time.Time // when a snapshot was last asked for
	counts   Counts

	successor   string    // that a leader has named for the time after it
	successorAt time.Time // when it did
}

// Counts say what a standby has gone through.
type Counts struct {
	Frames, Ignored, Gaps, Mismatches uint64
	Snapshots                         uint64 // completed
	Confirmed, Unconfirmed            uint64 // takeovers with and without the copy
}

// New makes the standby of a controller.
func New(name string, timeouts Timeouts) *Standby {
	return &Standby{name: name, timeouts: timeouts, replica: NewReplica()}
}

// State returns the standby's state.
func (s *Standby) State() State { return s.state }

// Counts returns what it has gone through.
func (s *Standby) Counts() Counts { return s.counts }

// move is the one place where the state changes.
func (s *Standby) move(to State) { s.state = to }

// Restore takes over a copy that was kept on disk. It is as good as any other: a leader of
// the same term goes on from it, one of a later term replaces it.
func (s *Standby) Restore(copied *Replica) {
	if s.state == CatchingUp && s.replica.Term() == 0 {
		s.replica = copied
	}
}

// Receive takes a frame of a leader's stream in.
func (s *Standby) Receive(now time.Time, f Frame) Verdict {
	s.counts.Frames++
	if s.state == Confirming || s.state == Active {
		s.counts.Ignored++
		return Ignored // of a leader that is over, or still to be deposed
	}
	verdict := s.replica.Apply(f)
	switch verdict {
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
	if f.Term == s.replica.Term() {
		s.heardAt = now
	}
	if f.Kind == HandOver && f.Term == s.replica.Term() {
		s.successor, s.successorAt = f.Successor, now
	}
	s.updateState()
	return verdict
}

// updateState tells a standby that has all changes from one that lacks some.
func (s *Standby) updateState() {
	if behind, complete := s.replica.Behind(); complete && behind == 0 {
		s.move(Following)
	} else {
		s.move(CatchingUp)
	}
}

// Position is what the copy has.
func (s *Standby) Position() Position { return s.replica.Position() }

// Replica returns the copy, for the log on disk.
func (s *Standby) Replica() *Replica { return s.replica }

// MayResync tells whether a snapshot may be asked for now, and notes that it is.
func (s *Standby) MayResync(now time.Time) bool {
	if !s.resyncAt.IsZero() && now.Sub(s.resyncAt) < s.timeouts.Resync {
		return false
	}
	s.resyncAt = now
	return true
}

// Lag is how many changes the copy is known to lack, and how long ago its leader was heard.
func (s *Standby) Lag(now time.Time) (changes uint64, age time.Duration) {
	changes, _ = s.replica.Behind()
	if !s.heardAt.IsZero() {
		age = now.Sub(s.heardAt)
	}
	return changes, age
}

// ClaimDelay is how long this controller lets others claim first once no leader is left: one
// that has the state goes before one that lacks it, and the successor that a leader has
// named before all. The delay is bounded, so that a lagging standby still takes over where
// it is the only one.
func (s *Standby) ClaimDelay(now time.Time) time.Duration {
	if s.successor != "" && now.Sub(s.successorAt) < s.timeouts.Recent {
		if s.successor == s.name {
			return 0
		}
		return s.timeouts.HandOver
	}
	if s.state == Following {
		return 0
	}
	return s.timeouts.ClaimDelay
}

// Claimed notes that this controller has claimed a term.
func (s *Standby) Claimed(c Claim) {
	s.claim, s.successor = c, ""
	s.move(Confirming)
}

// Confirm decides whether the takeover goes on from the copy, once the state service was
// read as of a revision. The claim itself proves that the old leader can no longer act;
// that the records read are the newest follows from the revision, and that the copy is the
// old leader's from the term. Without a copy the takeover goes on from the records alone.
func (s *Standby) Confirm(now time.Time, readRevision uint64) (View, error) {
	if s.state != Confirming {
		return View{}, ErrNotConfirming
	}
	if readRevision < s.claim.Revision {
		return View{}, ErrBehindClaim
	}
	view, err := s.view(now)
	if err == nil {
		s.counts.Confirmed++
	} else {
		s.counts.Unconfirmed++
	}
	s.move(Active)
	return view, err
}

// view is the copy, if it is the last state of the leader before.
func (s *Standby) view(now time.Time) (View, error) {
	if behind, complete := s.replica.Behind(); !complete || behind > 0 {
		return View{}, ErrIncomplete
	}
	if s.replica.Term()+1 != s.claim.Term {
		return View{}, ErrOtherTerm
	}
	age := now.Sub(s.heardAt)
	recent := !s.heardAt.IsZero() && age <= s.timeouts.Recent
	return View{Entries: s.replica.Entries(), Recent: recent, Age: age}, nil
}

// TermEnded notes that a term of this controller is over. What it knew is replaced by the
// next leader's state. It may have claimed a later term already.
func (s *Standby) TermEnded(term uint64) {
	if s.claim.Term != term || s.state != Confirming && s.state != Active {
		return
	}
	s.replica.Reset()
	s.heardAt = time.Time{}
	s.move(SteppedDown)
}
