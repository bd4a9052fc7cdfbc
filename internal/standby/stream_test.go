package standby

import (
	"fmt"
	"testing"
	"time"
)

// With frames lost, duplicated and reordered, and with changes of term, the copy always equals the
// leader's state at the copy's position or isn't complete, snapshots keep their interval, and the
// follower catches up once the stream is reliable. A takeover would use a copy that differs unnoticed.
func TestLossyStream(t *testing.T) {
	gaps := uint64(0)
	for seed := range uint64(300) {
		p := newPair(t, seed)
		p.stream.loss, p.stream.reorder = float64(seed%4)/10, seed%2 == 0
		for range 120 {
			p.step()
			p.deliverFrames()
		}
		gaps += p.follower.Counts().Gaps
		for i := 1; i < len(p.snapshots); i++ {
			if interval := p.snapshots[i].Sub(p.snapshots[i-1]); interval < testOptions().SnapshotInterval {
				t.Fatalf("seed %d: only %s between two snapshots", seed, interval)
			}
		}
		p.stream.loss, p.stream.reorder = 0, false
		for range 40 {
			p.now = p.now.Add(400 * time.Millisecond)
			p.deliverFrames()
			if p.follower.State() != Following && p.follower.MayResync(p.now) {
				p.publisher.AddFollower("b", p.follower.Position())
			}
		}
		newest := Position{p.publisher.term, p.publisher.newest}
		if p.follower.State() != Following || p.follower.Position() != newest || !p.publisher.CaughtUp("b") {
			t.Fatalf("seed %d: follower %v at %+v, leader at %d", seed, p.follower.State(), p.follower.Position(), newest.Sequence)
		}
	}
	if gaps < 300 {
		t.Errorf("only %d gaps: the streams lost too few frames for this test to prove anything", gaps)
	}
}

// A follower that keeps falling behind is sent snapshots no more often than the interval allows, and
// the leader keeps no more changes than its bound. Otherwise a slow follower could use up the leader's
// memory and network.
func TestSnapshotsArePaced(t *testing.T) {
	p := newPair(t, 1)
	p.publishChanges(5)
	p.deliverFrames()
	first := p.publisher.Snapshots("b")
	for range 20 {
		p.now = p.now.Add(100 * time.Millisecond)
		p.publishChanges(testOptions().QueueBound * 2)
		if kept := len(p.publisher.recent); kept > testOptions().QueueBound {
			t.Fatalf("the leader keeps %d changes", kept)
		}
		p.deliverFrames()
	}
	if n := p.publisher.Snapshots("b") - first; n < 1 || n > 3 {
		t.Fatalf("%d snapshots within 2 s, want 1 to 3", n)
	}
}

// A copy that differs from the leader's state although no change is missing is detected by the digest
// and dropped. Otherwise a takeover would use it.
func TestDigestFindsADifference(t *testing.T) {
	p := newPair(t, 2)
	p.publishChanges(20)
	p.deliverFrames()
	p.follower.replica.state.set(Entry{Key: "k1", Value: []byte("flipped")})
	p.now = p.now.Add(time.Second)
	f, ok := p.publisher.Next(p.now, "b")
	if !ok || !f.HasDigest {
		t.Fatalf("no digest after a second without changes: %+v", f)
	}
	outcome := p.follower.Receive(p.now, f)
	if outcome != Mismatch || p.follower.State() != CatchingUp || p.follower.Position() != (Position{}) {
		t.Fatalf("outcome %v, follower %v, with a digest that differs", outcome, p.follower.State())
	}
}

// An incomplete snapshot doesn't count as a copy, and a missing part is noticed. A takeover would treat
// the missing records as deleted.
func TestSnapshotCutMidway(t *testing.T) {
	p := newPair(t, 3)
	big := make([]byte, maxFrameBytes/2+1)
	for i := range 9 {
		p.publisher.Publish([]Entry{{Key: fmt.Sprint("big", i), Value: append([]byte{byte(i)}, big...)}})
		p.recordDigest()
	}
	p.publisher.AddFollower("b", Position{})
	var parts []Frame
	for f, ok := p.publisher.Next(p.now, "b"); ok; f, ok = p.publisher.Next(p.now, "b") {
		parts = append(parts, f)
	}
	if len(parts) < 5 {
		t.Fatalf("the snapshot has %d parts, want at least 5", len(parts))
	}
	for _, f := range parts[:3] {
		p.follower.Receive(p.now, f)
	}
	if p.follower.Position() != (Position{}) || p.follower.State() == Following {
		t.Fatal("an incomplete snapshot counts as a copy")
	}
	if outcome := p.follower.Receive(p.now, parts[4]); !outcome.NeedsSnapshot() {
		t.Fatalf("a frame after a missing part is %v", outcome)
	}
	for _, f := range parts {
		p.follower.Receive(p.now, f)
	}
	if p.follower.State() != Following || p.follower.replica.state.digest != p.publisher.state.digest {
		t.Fatalf("follower %v after the whole snapshot, or its digest differs", p.follower.State())
	}
}
