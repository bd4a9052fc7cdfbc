package standby

import (
	"errors"
	"testing"
	"time"
)

// followingPair returns a leader and a follower that has all its changes.
func followingPair(t *testing.T) *pair {
	p := newPair(t, 7)
	p.publishChanges(30)
	p.deliverFrames()
	if p.follower.State() != Following {
		t.Fatalf("follower %v after %d changes", p.follower.State(), 30)
	}
	return p
}

// A takeover uses the copy only if the claim is of the very next term, the records were read at or
// after the claim's revision, and no change is missing. A copy used although another leader has acted
// since would place tasks by an outdated state.
func TestConfirm(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(p *pair)
		claim   Claim
		read    uint64
		want    error
		recent  bool
	}{
		{name: "current", claim: Claim{2, 70}, read: 70, recent: true},
		{name: "read before the claim", claim: Claim{2, 70}, read: 69, want: ErrBehindClaim},
		{name: "another leader's term in between", claim: Claim{3, 70}, read: 70, want: ErrOtherTerm},
		{name: "changes known to be missing", prepare: func(p *pair) {
			p.publishChanges(10)
			p.follower.Receive(p.now, Frame{Kind: Heartbeat, Term: 1, Sequence: p.publisher.newest, Newest: p.publisher.newest})
		}, claim: Claim{2, 70}, read: 70, want: ErrIncomplete},
		{name: "dropped after a gap", prepare: func(p *pair) {
			p.follower.Receive(p.now, Frame{Kind: Changes, Term: 1, Sequence: 99, Newest: 99, Entries: []Entry{{Key: "k"}}})
		}, claim: Claim{2, 70}, read: 70, want: ErrIncomplete},
		{name: "last frame received long ago", prepare: func(p *pair) {
			p.now = p.now.Add(testTimeouts().Freshness + time.Second)
		}, claim: Claim{2, 70}, read: 71},
	} {
		p := followingPair(t)
		if c.prepare != nil {
			c.prepare(p)
		}
		p.follower.Claimed(c.claim)
		confirmed, err := p.follower.ConfirmCopy(p.now, c.read)
		if !errors.Is(err, c.want) || confirmed.Recent != c.recent {
			t.Errorf("%s: recent %v, error %v", c.name, confirmed.Recent, err)
		}
		if errors.Is(c.want, ErrBehindClaim) {
			if p.follower.State() != Confirming {
				t.Errorf("%s: follower %v, want still confirming", c.name, p.follower.State())
			}
			continue // the records have to be read again
		}
		if p.follower.State() != Active {
			t.Errorf("%s: follower %v after the decision, want active", c.name, p.follower.State())
		}
		if (len(confirmed.Entries) > 0) != (c.want == nil) {
			t.Errorf("%s: %d entries", c.name, len(confirmed.Entries))
		}
	}
}

// Frames of an earlier leader, such as one that was paused and resumes, change nothing once this
// controller has claimed a term or has received frames of a later leader. They would mix the states of
// two leaders.
func TestOldLeaderWakes(t *testing.T) {
	p := followingPair(t)
	p.follower.Claimed(Claim{2, 70})
	p.publishChanges(5)
	p.deliverFrames()
	if p.follower.State() != Confirming {
		t.Fatalf("follower %v after an earlier leader's frames, want confirming", p.follower.State())
	}
	if _, err := p.follower.ConfirmCopy(p.now, 70); err != nil {
		t.Fatal(err)
	}
	p.follower.TermEnded(2)
	if p.follower.State() != SteppedDown {
		t.Fatalf("follower %v after its term, want stepped down", p.follower.State())
	}
	old := p.publisher
	p.beginTerm(5)
	p.publishChanges(3)
	p.deliverFrames()
	at := p.follower.Position()
	if p.follower.State() != Following || at.Term != 5 {
		t.Fatalf("follower %v at %+v, want following in term 5", p.follower.State(), at)
	}
	old.Publish([]Entry{{Key: "late", Value: []byte("x")}})
	for f, ok := old.Next(p.now, "b"); ok; f, ok = old.Next(p.now, "b") {
		if outcome := p.follower.Receive(p.now, f); outcome != Ignored {
			t.Fatalf("a frame of an earlier term is %v", outcome)
		}
	}
	if p.follower.Position() != at {
		t.Fatal("the earlier leader's frames changed the copy")
	}
}

// The successor that a leader has named claims first, and a standby with a current copy claims before
// one without. A successor that never claims doesn't hold the others back for good. Otherwise takeovers
// would be cold although there is a copy, or wouldn't happen at all.
func TestWhoClaimsFirst(t *testing.T) {
	p := followingPair(t)
	lagging := New("c", testTimeouts())
	if p.follower.ClaimDelay(p.now) != 0 || lagging.ClaimDelay(p.now) != testTimeouts().ClaimDelay {
		t.Fatal("the lagging standby doesn't let the current one claim first")
	}
	other := New("d", testTimeouts())
	p.publisher.AddFollower("d", Position{})
	if named := p.publisher.ChooseSuccessor([]string{"b", "d", "x"}); named != "b" {
		t.Fatalf("%q is named as the successor, want b, the only one with the state", named)
	}
	for f, ok := p.publisher.Next(p.now, "d"); ok; f, ok = p.publisher.Next(p.now, "d") {
		other.Receive(p.now, f)
	}
	p.deliverFrames()
	if p.follower.ClaimDelay(p.now) != 0 || other.ClaimDelay(p.now) != testTimeouts().HandOverDelay {
		t.Fatalf("the successor waits %s, another standby %s", p.follower.ClaimDelay(p.now), other.ClaimDelay(p.now))
	}
	later := p.now.Add(testTimeouts().Freshness + time.Second)
	if other.ClaimDelay(later) != 0 {
		t.Fatal("a successor that never claims holds the others back for good")
	}
}

// A leader whose followers all lack its state names no successor. The others would wait for one that
// is no better prepared than they are.
func TestNoSuccessor(t *testing.T) {
	p := NewPublisher(4, testOptions())
	p.Publish([]Entry{{Key: "k", Value: []byte("v")}})
	p.AddFollower("b", Position{})
	if named := p.ChooseSuccessor([]string{"b", "c"}); named != "" {
		t.Fatalf("%q is named as the successor, but has no state", named)
	}
}
