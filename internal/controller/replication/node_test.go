package replication

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gingertally/internal/controller/metrics"
	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/operator"
	"gingertally/internal/standby"
)

// newTestNode returns a Node with default settings, except that the warm standby is enabled,
// snapshots may follow each other at once, and alter, unless nil, changes further settings.
func newTestNode(t *testing.T, name string, alter func(*operator.Standby)) *Node {
	t.Helper()
	settings := operator.Default().Standby
	settings.Enabled, settings.SnapshotInterval = true, time.Millisecond
	if alter != nil {
		alter(&settings)
	}
	return newNode(name, settings, time.Second, metrics.New().Standby)
}

// lead has a node claim a term and confirm its copy, and returns what its engine would start from.
// It checks that records read before the claim are rejected.
func lead(t *testing.T, n *Node, term uint64) *core.WarmStart {
	t.Helper()
	n.LeaderLost()
	n.TermClaimed(leadership.Term{Number: term, Revision: 10 * term})
	if _, err := n.ConfirmCopy(leadership.Term{Number: term}, 10*term-1); !errors.Is(err, standby.ErrBehindClaim) {
		t.Fatalf("records read before the claim: error %v, want ErrBehindClaim", err)
	}
	start, err := n.ConfirmCopy(leadership.Term{Number: term}, 10*term)
	if err != nil {
		t.Fatalf("records read as of the claim: error %v, want none", err)
	}
	return start
}

func classRecord(i int) core.WarmRecord {
	name := fmt.Sprint("class-", i%20)
	return core.WarmRecord{
		Key:   core.WarmKey{Kind: core.WarmClassKind, Name: name},
		Class: &core.WarmClass{Name: name, Ratio: 1, Runs: i},
	}
}

// pumpFrames passes all frames that a leader has for a follower to it, and its acknowledgements
// back.
func pumpFrames(t *testing.T, leader, follower *Node) {
	t.Helper()
	for {
		f, ok, err := leader.Next(follower.self)
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return
		}
		received := follower.receive(f)
		leader.Acknowledge(follower.self, received.At, received.Resync)
	}
}

// Guards against followers without a copy: the takeover of a term that was over made its node publish
// that term's warm state, and drop what the present term published.
func TestFormerTakeoverPublishesNothing(t *testing.T) {
	n := newTestNode(t, "a", nil)
	n.TermClaimed(leadership.Term{Number: 1, Revision: 10})
	n.TermEnded(1)
	lead(t, n, 2)
	if _, err := n.ConfirmCopy(leadership.Term{Number: 1, Revision: 10}, 20); !errors.Is(err, ErrTermOver) {
		t.Errorf("takeover of a term that is over: error %v, want ErrTermOver", err)
	}
	n.TermEnded(1)
	n.Publish(2, []core.WarmRecord{classRecord(1)})
	if s := n.Status(time.Now()); s.State != "active" || s.Sequence != 1 {
		t.Errorf("status %+v; want active at change 1", s)
	}
}

// A new leader starts from its copy of the previous leader's warm state, and its status shows when
// each phase of the takeover was reached. A node whose term is over sends no more frames, and
// ending that term again doesn't affect the new leader. Otherwise takeovers would be slow, or
// followers would copy the state of a deposed leader.
func TestTakeoverFromTheCopy(t *testing.T) {
	a, b := newTestNode(t, "a", nil), newTestNode(t, "b", nil)
	if start := lead(t, a, 1); start != nil {
		t.Fatal("the first leader starts from a copy, though there was no leader before")
	}
	if _, err := a.Join("b", b.position()); err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		a.Publish(1, []core.WarmRecord{classRecord(i)})
	}
	a.Publish(7, []core.WarmRecord{classRecord(99)}) // ignored: the current term is 1
	pumpFrames(t, a, b)
	if s := a.Status(time.Now()); s.State != "active" || s.Followers["b"] != 0 || s.Sequence != 50 {
		t.Fatalf("leader's status: %+v; want active at change 50 with no lag of b", s)
	}
	if s := b.Status(time.Now()); s.State != "following" || s.Entries != 20 || s.LagChanges != 0 {
		t.Fatalf("follower's status: %+v; want following with 20 entries and no lag", s)
	}
	a.TermEnded(1)
	if _, _, err := a.Next("b"); !errors.Is(err, errNotLeading) {
		t.Fatalf("next frame of a node whose term is over: error %v, want errNotLeading", err)
	}
	start := lead(t, b, 2)
	if start == nil || len(start.Records) != 20 || !start.Confirmed {
		t.Fatalf("the next leader starts from %+v, want 20 confirmed records", start)
	}
	b.PhaseReached(standby.FirstAnswer)
	b.PhaseReached(standby.FirstStart)
	taken := b.Status(time.Now()).LastTakeover
	if taken == nil || !taken.Warm || taken.Term != 2 || len(taken.Phases) != int(standby.FirstStart)+1 {
		t.Fatalf("last takeover: %+v; want a warm one of term 2 with all phases", taken)
	}
	a.TermEnded(1) // ending the old term again doesn't affect the new leader
	if s := b.Status(time.Now()); s.State != "active" {
		t.Fatalf("new leader's state after the old term ended again: %s, want active", s.State)
	}
}

// A leader that hands over names the follower with the most changes as its successor. Once the
// successor has caught up, it may claim at once while the others wait, so that no less current node
// wins the claim.
func TestNamesTheMostCurrent(t *testing.T) {
	a, b, c := newTestNode(t, "a", nil), newTestNode(t, "b", nil), newTestNode(t, "c", nil)
	lead(t, a, 1)
	for _, n := range []*Node{b, c} {
		if _, err := a.Join(n.self, n.position()); err != nil {
			t.Fatal(err)
		}
		a.Publish(1, []core.WarmRecord{classRecord(1)})
		pumpFrames(t, a, n)
	}
	a.Publish(1, []core.WarmRecord{classRecord(2)})
	pumpFrames(t, a, c)
	if named := a.NameSuccessor([]string{"b", "c"}); named != "c" {
		t.Fatalf("successor %q, want \"c\"", named)
	}
	pumpFrames(t, a, b)
	pumpFrames(t, a, c)
	if !a.CaughtUp("c") || c.ClaimDelay() != 0 || b.ClaimDelay() == 0 {
		t.Fatalf("successor not caught up, or wrong claim delays: successor %s, other %s", c.ClaimDelay(), b.ClaimDelay())
	}
}

// After a restart, a leader and a follower restore their copies from their decision logs. A
// directory that can't be opened doesn't keep a node from starting: it then runs without a log.
func TestDecisionLogOutlivesTheProcess(t *testing.T) {
	directories := map[string]string{"a": t.TempDir(), "b": t.TempDir()}
	start := func(name string) *Node {
		return newTestNode(t, name, func(s *operator.Standby) { s.LogDirectory = directories[name] })
	}
	a, b := start("a"), start("b")
	lead(t, a, 1)
	if _, err := a.Join("b", b.position()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	written := make(chan error, 2)
	for _, n := range []*Node{a, b} {
		go func() { written <- n.log.run(ctx) }()
	}
	for i := range 60 {
		a.Publish(1, []core.WarmRecord{classRecord(i)})
		pumpFrames(t, a, b)
	}
	waitUntil(t, "both logs written", func() bool { return len(a.log.queue) == 0 && len(b.log.queue) == 0 })
	// run writes the frame that it took off the queue last before it checks ctx again.
	cancel()
	for range 2 {
		if err := <-written; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"a", "b"} {
		restarted := start(name)
		if at := restarted.position(); at.Term != 1 || at.Sequence == 0 || at.Sequence > 60 {
			t.Errorf("%s restored position %+v, want term 1 and sequence 1 to 60", name, at)
		}
		if s := restarted.Status(time.Now()); s.Log != "ok" || s.State != "catching up" {
			t.Errorf("%s after its restart: status %+v, want log ok and state catching up", name, s)
		}
	}
	withoutLog := newTestNode(t, "c", func(s *operator.Standby) { s.LogDirectory = "/does/not/exist" })
	if withoutLog.log != nil || withoutLog.position() != (standby.Position{}) {
		t.Error("a log that can't be opened is used, or a copy is restored from it")
	}
}

// A slow disk must not block replication: when the queue of the decision log is full, frames are
// dropped, and the next write begins a segment with a snapshot of the whole state. Without the
// snapshot, the log would lack the dropped changes.
func TestSlowDisk(t *testing.T) {
	n := newTestNode(t, "a", func(s *operator.Standby) { s.LogDirectory = t.TempDir() })
	lead(t, n, 1)
	for i := range 5 * logQueueSize {
		n.Publish(1, []core.WarmRecord{classRecord(i)}) // run isn't started, so nothing takes frames off the queue
	}
	if len(n.log.queue) != cap(n.log.queue) {
		t.Fatalf("%d frames are queued, want a full queue", len(n.log.queue))
	}
	n.log.offer(standby.Frame{Kind: standby.Changes, Term: 1})
	if !n.log.needsSnapshot.Load() {
		t.Fatal("a dropped frame doesn't make the next write a snapshot")
	}
	n.log.write(<-n.log.queue)
	if n.log.needsSnapshot.Load() || n.log.failed.Load() || n.log.log.Full() {
		t.Fatal("the write didn't begin a new segment")
	}
}

// waitUntil waits until a condition holds, for 20 s at most.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within 20 s: %s", what)
}
