package standby

import (
	"errors"
	"testing"
	"time"
)

// followingPair returns a leader with a follower that has all changes.
func followingPair(t *testing.T) *pair {
	p := newPair(t, 7)
	p.change(30)
	p.pump()
	if p.follower.State() != Following {
		t.Fatalf("%v after %d changes", p.follower.State(), 30)
	}
	return p
}

// A takeover uses the copy only if the claim is of the very next term, the records were read as of
// the claim and no change is missing; else it goes on without. A copy that is used though another
// leader has acted since would place tasks by a state that isn't true any more.
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
		{name: "another leader in between", claim: Claim{3, 70}, read: 70, want: ErrOtherTerm},
		{name: "changes known to be missing", prepare: func(p *pair) {
			p.change(10)
			p.follower.Receive(p.now, Frame{Kind: Heartbeat, Term: 1, Sequence: p.publisher.newest, Newest: p.publisher.newest})
		}, claim: Claim{2, 70}, read: 70, want: ErrIncomplete},
		{name: "dropped after a gap", prepare: func(p *pair) {
			p.follower.Receive(p.now, Frame{Kind: Changes, Term: 1, Sequence: 99, Newest: 99, Entries: []Entry{{Key: "k"}}})
		}, claim: Claim{2, 70}, read: 70, want: ErrIncomplete},
		{name: "the leader's last frame long ago", prepare: func(p *pair) {
			p.now = p.now.Add(testTimeouts().Recent + time.Second)
		}, claim: Claim{2, 70}, read: 71},
	} {
		p := followingPair(t)
		if c.prepare != nil {
			c.prepare(p)
		}
		p.follower.Claimed(c.claim)
		view, err := p.follower.ConfirmCopy(p.now, c.read)
		if !errors.Is(err, c.want) || view.Recent != c.recent {
			t.Errorf("%s: recent %v, %v", c.name, view.Recent, err)
		}
		if errors.Is(c.want, ErrBehindClaim) {
			if p.follower.State() != Confirming {
				t.Errorf("%s: %v", c.name, p.follower.State())
			}
			continue // it reads again
		}
		if p.follower.State() != Active {
			t.Errorf("%s: %v after the confirmation", c.name, p.follower.State())
		}
		if (len(view.Entries) > 0) != (c.want == nil) {
			t.Errorf("%s: %d entries", c.name, len(view.Entries))
		}
	}
}

// Frames of an earlier leader, such as one that was paused and goes on, change nothing once this
// controller has claimed a term or has received frames of a later leader: they would mix two
// leaders' states.
func TestOldLeaderWakes(t *testing.T) {
	p := followingPair(t)
	p.follower.Claimed(Claim{2, 70})
	p.change(5)
	p.pump()
	if p.follower.State() != Confirming {
		t.Fatalf("%v after an earlier leader's frames, want confirming", p.follower.State())
	}
	if _, err := p.follower.ConfirmCopy(p.now, 70); err != nil {
		t.Fatal(err)
	}
	p.follower.TermEnded(2)
	if p.follower.State() != SteppedDown {
		t.Fatalf("%v after the term", p.follower.State())
	}
	old := p.publisher
	p.lead(5)
	p.change(3)
	p.pump()
	at := p.follower.Position()
	if p.follower.State() != Following || at.Term != 5 {
		t.Fatalf("%v at %+v", p.follower.State(), at)
	}
	old.Publish([]Entry{{Key: "late", Value: []byte("x")}})
	for f, ok := old.Next(p.now, "b"); ok; f, ok = old.Next(p.now, "b") {
		if outcome := p.follower.Receive(p.now, f); outcome != Ignored {
			t.Fatalf("a frame of the older term is %v", outcome)
		}
	}
	if p.follower.Position() != at {
		t.Fatal("the older leader moved the copy")
	}
}

// The successor that a leader has named claims first, and a standby with a current copy before one
// without; a successor that doesn't claim doesn't hold the others back for good. Otherwise takeovers
// would be cold though a copy is there, or not come about at all.
func TestWhoClaimsFirst(t *testing.T) {
	p := followingPair(t)
	lagging := New("c", testTimeouts())
	if p.follower.ClaimDelay(p.now) != 0 || lagging.ClaimDelay(p.now) != testTimeouts().ClaimDelay {
		t.Fatal("the lagging standby doesn't let the current one claim first")
	}
	other := New("d", testTimeouts())
	p.publisher.Follow("d", Position{})
	if named := p.publisher.HandOver([]string{"b", "d", "x"}); named != "b" {
		t.Fatalf("%q is named, want b, the only one with the state", named)
	}
	for f, ok := p.publisher.Next(p.now, "d"); ok; f, ok = p.publisher.Next(p.now, "d") {
		other.Receive(p.now, f)
	}
	p.pump()
	if p.follower.ClaimDelay(p.now) != 0 || other.ClaimDelay(p.now) != testTimeouts().HandOver {
		t.Fatalf("successor waits %s, another %s", p.follower.ClaimDelay(p.now), other.ClaimDelay(p.now))
	}
	later := p.now.Add(testTimeouts().Recent + time.Second)
	if other.ClaimDelay(later) != 0 {
		t.Fatal("a successor that never came holds the others back for good")
	}
}

// A leader whose followers all lack its state names no successor: the others would let one claim first
// that is no better than they are.
func TestNoSuccessor(t *testing.T) {
	p := NewPublisher(4, testOptions())
	p.Publish([]Entry{{Key: "k", Value: []byte("v")}})
	p.Follow("b", Position{})
	if named := p.HandOver([]string{"b", "c"}); named != "" {
		t.Fatalf("%q is named, and has no state", named)
	}
}
