package standby

import (
	"errors"
	"time"
)

// Reasons why ConfirmCopy doesn't let a takeover use the copy.
var (
	// ErrNotConfirming reports that this controller has claimed no term whose takeover is undecided.
	ErrNotConfirming = errors.New("no claim is being confirmed")
	// ErrBehindClaim reports that the records were read at a revision before the claim, so that writes
	// of the previous leader may be missing. They have to be read again.
	ErrBehindClaim = errors.New("the records were read at a revision before the claim")
	// ErrIncomplete reports that the copy isn't complete, or is known to lack changes.
	ErrIncomplete = errors.New("the copy is incomplete")
	// ErrOtherTerm reports that the copy isn't of the term right before the claimed one: another leader
	// may have acted in between.
	ErrOtherTerm = errors.New("the copy isn't of the term before the claimed one")
)

// Claim is a term that this controller has claimed. The state service grants it only once the previous
// leader's lease has expired or was given up.
type Claim struct {
	Term     uint64
	Revision uint64 // revision of the state service at which the claim was stored
}

// ConfirmedCopy is a confirmed copy of the warm state. A new leader starts from it and the records.
type ConfirmedCopy struct {
	Entries []Entry
	// Recent says that the previous leader's last frame is recent enough (Timeouts.Freshness) for what
	// it knew of machines to count as current.
	Recent bool
	Age    time.Duration // time since the previous leader's last frame; meaningless if none was received
}

// ClaimDelay returns how long this controller waits for others to claim a term first once there is no
// leader. The successor that the leader has named goes first, and a standby with a current copy goes
// before one without. All delays are bounded, so that any standby takes over if it is the only one.
func (s *Standby) ClaimDelay(now time.Time) time.Duration {
	if s.successor != "" && now.Sub(s.successorAt) < s.timeouts.Freshness {
		if s.successor == s.name {
			return 0
		}
		return s.timeouts.HandOverDelay
	}
	if s.state == Following {
		return 0
	}
	return s.timeouts.ClaimDelay
}

// Claimed records that this controller has claimed a term, and moves to Confirming.
func (s *Standby) Claimed(c Claim) {
	s.claim, s.successor = c, ""
	s.setState(Confirming)
}

// ConfirmCopy decides whether the takeover may use the copy, given the revision at which the records
// were read. That the previous leader can't act any more is proven by the claim; that the records
// include all its writes, by the revision; and that the copy is of that leader, by the copy's term.
//
// With ErrBehindClaim nothing is decided, and the records have to be read again. With ErrIncomplete
// or ErrOtherTerm the takeover is decided: it uses the records alone. With ErrNotConfirming there is
// no takeover to decide.
func (s *Standby) ConfirmCopy(now time.Time, readRevision uint64) (ConfirmedCopy, error) {
	if s.state != Confirming {
		return ConfirmedCopy{}, ErrNotConfirming
	}
	if readRevision < s.claim.Revision {
		return ConfirmedCopy{}, ErrBehindClaim
	}
	confirmed, err := s.confirmedCopy(now)
	if err == nil {
		s.counts.Confirmed++
	} else {
		s.counts.Unconfirmed++
	}
	s.setState(Active)
	return confirmed, err
}

// confirmedCopy returns the copy if it is the last known state of the leader of the term right before
// the claimed one.
func (s *Standby) confirmedCopy(now time.Time) (ConfirmedCopy, error) {
	if !s.replicaIsCurrent() {
		return ConfirmedCopy{}, ErrIncomplete
	}
	if s.replica.Term()+1 != s.claim.Term {
		return ConfirmedCopy{}, ErrOtherTerm
	}
	age := now.Sub(s.lastFrameAt)
	recent := !s.lastFrameAt.IsZero() && age <= s.timeouts.Freshness
	return ConfirmedCopy{Entries: s.replica.Entries(), Recent: recent, Age: age}, nil
}

// TermEnded records that a term of this controller is over. It ignores terms other than the last
// claimed one. The copy is dropped, since it is older than what this controller did as the leader, and
// the next leader's state replaces it.
func (s *Standby) TermEnded(term uint64) {
	if s.claim.Term != term || s.state != Confirming && s.state != Active {
		return
	}
	s.replica.Reset()
	s.lastFrameAt = time.Time{}
	s.setState(SteppedDown)
}
