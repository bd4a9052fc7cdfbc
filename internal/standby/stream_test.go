package standby

import (
	"fmt"
	"testing"
	"time"
)

// Over streams that lose, duplicate and reorder frames, with changes of the term, the copy is at any
// time the leader's state at the copy's position or none, snapshots keep their interval, and the
// follower catches up once the stream is sound. A copy that differs unnoticed would be used by a
// takeover.
func TestLossyStream(t *testing.T) {
	gaps := uint64(0)
	for seed := range uint64(300) {
		p := newPair(t, seed)
		p.stream.loss, p.stream.mixed = float64(seed%4)/10, seed%2 == 0
		for range 120 {
			p.step()
			p.pump()
		}
		gaps += p.follower.Counts().Gaps
		for i := 1; i < len(p.snapshots); i++ {
			if interval := p.snapshots[i].Sub(p.snapshots[i-1]); interval < testOptions().SnapshotInterval {
				t.Fatalf("seed %d: snapshots %s apart", seed, interval)
			}
		}
		p.stream.loss, p.stream.mixed = 0, false
		for range 40 {
			p.now = p.now.Add(400 * time.Millisecond)
			p.pump()
			if p.follower.State() != Following && p.follower.MayResync(p.now) {
				p.publisher.Follow("b", p.follower.Position())
			}
		}
		newest := Position{p.publisher.term, p.publisher.newest}
		if p.follower.State() != Following || p.follower.Position() != newest || !p.publisher.CaughtUp("b") {
			t.Fatalf("seed %d: %v at %+v, the leader at %d", seed, p.follower.State(), p.follower.Position(), newest.Sequence)
		}
	}
	if gaps < 300 {
		t.Errorf("only %d gaps: the streams lost too little to prove anything", gaps)
	}
}

// A follower that keeps falling behind is sent a snapshot no more often than the interval allows, and
// the leader keeps no more changes than its bound. Otherwise a slow follower would take the leader's
// memory and network.
func TestSnapshotsArePaced(t *testing.T) {
	p := newPair(t, 1)
	p.change(5)
	p.pump()
	first := p.publisher.Snapshots("b")
	for range 20 {
		p.now = p.now.Add(100 * time.Millisecond)
		p.change(testOptions().QueueBound * 2)
		if kept := len(p.publisher.recent); kept > testOptions().QueueBound {
			t.Fatalf("the leader keeps %d changes", kept)
		}
		p.pump()
	}
	if n := p.publisher.Snapshots("b") - first; n < 1 || n > 3 {
		t.Fatalf("%d snapshots within 2 s", n)
	}
}

// A copy that differs from the leader's state, though no change is missing, is found by the digest and
// dropped, before a takeover could use it.
func TestDigestFindsADifference(t *testing.T) {
	p := newPair(t, 2)
	p.change(20)
	p.pump()
	p.follower.replica.state.set(Entry{Key: "k1", Value: []byte("flipped")})
	p.now = p.now.Add(time.Second)
	f, ok := p.publisher.Next(p.now, "b")
	if !ok || !f.HasDigest {
		t.Fatalf("no digest after a second without changes: %+v", f)
	}
	outcome := p.follower.Receive(p.now, f)
	if outcome != Mismatch || p.follower.State() != CatchingUp || p.follower.Position() != (Position{}) {
		t.Fatalf("%v, %v", outcome, p.follower.State())
	}
}

// A part of a snapshot doesn't count as a copy, and a missing part is noticed: a takeover would take
// what is missing for deleted.
func TestSnapshotCutMidway(t *testing.T) {
	p := newPair(t, 3)
	big := make([]byte, maxFrameBytes/2+1)
	for i := range 9 {
		p.publisher.Publish([]Entry{{Key: fmt.Sprint("big", i), Value: append([]byte{byte(i)}, big...)}})
		p.note()
	}
	p.publisher.Follow("b", Position{})
	var parts []Frame
	for f, ok := p.publisher.Next(p.now, "b"); ok; f, ok = p.publisher.Next(p.now, "b") {
		parts = append(parts, f)
	}
	if len(parts) < 5 {
		t.Fatalf("%d parts", len(parts))
	}
	for _, f := range parts[:3] {
		p.follower.Receive(p.now, f)
	}
	if p.follower.Position() != (Position{}) || p.follower.State() == Following {
		t.Fatal("half a snapshot counts as a copy")
	}
	if outcome := p.follower.Receive(p.now, parts[4]); !outcome.NeedsSnapshot() {
		t.Fatalf("a missing part isn't noticed: %v", outcome)
	}
	for _, f := range parts {
		p.follower.Receive(p.now, f)
	}
	if p.follower.State() != Following || p.follower.replica.state.digest != p.publisher.state.digest {
		t.Fatalf("%v after the whole snapshot", p.follower.State())
	}
}
