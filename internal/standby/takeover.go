package standby

import (
	"errors"
	"time"
)

// Reasons for which Confirm doesn't let a takeover use the copy.
var (
	// ErrNotConfirming says that this controller hasn't claimed a term.
	ErrNotConfirming = errors.New("no claim is being confirmed")
	// ErrBehindClaim says that the records were read as of a revision before the claim, so that
	// writes of the earlier leader may be missing. They have to be read again.
	ErrBehindClaim = errors.New("the state service was read before the claim")
	// ErrIncomplete says that the copy isn't complete, or lacks changes.
	ErrIncomplete = errors.New("the copy is incomplete")
	// ErrOtherTerm says that the copy isn't of the term right before the claimed one: another
	// leader may have acted in between.
	ErrOtherTerm = errors.New("the copy is of another term than the last")
)

// Claim is a term that this controller has claimed. The state service grants it only once the lease
// of the leader before has expired or was given up.
type Claim struct {
	Term     uint64
	Revision uint64 // of the state service, at which the claim was stored
}

// ConfirmedCopy is the confirmed copy, from which a new leader starts besides the records.
type ConfirmedCopy struct {
	Entries []Entry
	// Recent says that the earlier leader's last frame came so shortly before that what it knew of
	// machines still holds.
	Recent bool
	Age    time.Duration // since the earlier leader's last frame
}

// ClaimDelay returns how long this controller lets others claim first once there is no leader: the
// successor that the leader has named goes first, and a standby with a current copy before one
// without. All delays are bounded, so that any standby takes over if it is the only one.
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

// Claimed takes in that this controller has claimed a term.
func (s *Standby) Claimed(c Claim) {
	s.claim, s.successor = c, ""
	s.move(Confirming)
}

// ConfirmCopy decides whether the takeover may use the copy, after the records were read as of a
// revision. That the earlier leader can't act any more is proven by the claim; that the records are
// the newest follows from the revision, and that the copy is the earlier leader's from its term.
//
// On ErrBehindClaim the records have to be read again, and nothing is decided. With any other error
// the takeover is decided: it uses the records alone.
func (s *Standby) ConfirmCopy(now time.Time, readRevision uint64) (ConfirmedCopy, error) {
	if s.state != Confirming {
		return ConfirmedCopy{}, ErrNotConfirming
	}
	if readRevision < s.claim.Revision {
		return ConfirmedCopy{}, ErrBehindClaim
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

// view returns the copy if it is the last state of the leader before the claimed term.
func (s *Standby) view(now time.Time) (ConfirmedCopy, error) {
	if !s.replicaIsCurrent() {
		return ConfirmedCopy{}, ErrIncomplete
	}
	if s.replica.Term()+1 != s.claim.Term {
		return ConfirmedCopy{}, ErrOtherTerm
	}
	age := now.Sub(s.heardAt)
	recent := !s.heardAt.IsZero() && age <= s.timeouts.Recent
	return ConfirmedCopy{Entries: s.replica.Entries(), Recent: recent, Age: age}, nil
}

// TermEnded takes in that a term of this controller is over; a term other than the last claimed one
// is ignored. The copy is dropped: it is older than what this controller itself did, and the next
// leader's state replaces it.
func (s *Standby) TermEnded(term uint64) {
	if s.claim.Term != term || s.state != Confirming && s.state != Active {
		return
	}
	s.replica.Reset()
	s.heardAt = time.Time{}
	s.move(SteppedDown)
}
