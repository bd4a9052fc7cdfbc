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

// testStandby is a node's part in the warm standby.
func testStandby(t *testing.T, name string, alter func(*operator.Standby)) *Node {
	t.Helper()
	settings := operator.Default().Standby
	settings.Enabled, settings.SnapshotInterval = true, time.Millisecond
	if alter != nil {
		alter(&settings)
	}
	return newNode(name, settings, time.Second, metrics.New().Standby)
}

// lead has a node claim a term and begin it.
func lead(t *testing.T, n *Node, term uint64) *core.WarmStart {
	t.Helper()
	n.LeaderLost()
	n.TermClaimed(leadership.Term{Number: term, Revision: 10 * term})
	if _, err := n.Confirm(leadership.Term{Number: term}, 10*term-1); !errors.Is(err, standby.ErrBehindClaim) {
		t.Fatalf("records from before the claim are taken: %v", err)
	}
	start, err := n.Confirm(leadership.Term{Number: term}, 10*term)
	if err != nil {
		t.Fatalf("records as of the claim aren't taken: %v", err)
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

// pumpFrames brings a follower what its leader has for it.
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

// A takeover goes on from the copy of the leader before, and tells its phases; a node whose
// term is over serves nobody any more.
func TestTakeoverFromTheCopy(t *testing.T) {
	a, b := testStandby(t, "a", nil), testStandby(t, "b", nil)
	if start := lead(t, a, 1); start != nil {
		t.Fatal("the first leader has a copy")
	}
	if _, err := a.Join("b", b.position()); err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		a.Publish(1, []core.WarmRecord{classRecord(i)})
	}
	a.Publish(7, []core.WarmRecord{classRecord(99)}) // of a term that isn't this one
	pumpFrames(t, a, b)
	if s := a.Status(time.Now()); s.State != "active" || s.Followers["b"] != 0 || s.Sequence != 50 {
		t.Fatalf("the leader's status: %+v", s)
	}
	if s := b.Status(time.Now()); s.State != "following" || s.Entries != 20 || s.LagChanges != 0 {
		t.Fatalf("the follower's status: %+v", s)
	}
	a.TermEnded(1)
	if _, _, err := a.Next("b"); !errors.Is(err, errNotLeading) {
		t.Fatalf("a node whose term is over: %v", err)
	}
	start := lead(t, b, 2)
	if start == nil || len(start.Records) != 20 || !start.Confirmed {
		t.Fatalf("the next leader starts from %+v", start)
	}
	b.PhaseReached(standby.FirstAnswer)
	b.PhaseReached(standby.FirstStart)
	taken := b.Status(time.Now()).LastTakeover
	if taken == nil || !taken.Warm || taken.Term != 2 || len(taken.Phases) != int(standby.FirstStart)+1 {
		t.Fatalf("the takeover's phases: %+v", taken)
	}
	a.TermEnded(1) // late news of the old term
	if s := b.Status(time.Now()); s.State != "active" {
		t.Fatalf("%s", s.State)
	}
}

// A hand-over names the follower that has the most, and waits for it to have all.
func TestNamesTheMostCurrent(t *testing.T) {
	a, b, c := testStandby(t, "a", nil), testStandby(t, "b", nil), testStandby(t, "c", nil)
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
		t.Fatalf("%q is to take over", named)
	}
	pumpFrames(t, a, b)
	pumpFrames(t, a, c)
	if !a.CaughtUp("c") || c.ClaimDelay() != 0 || b.ClaimDelay() == 0 {
		t.Fatalf("the successor waits %s, the other %s", c.ClaimDelay(), b.ClaimDelay())
	}
}

// The copy outlives the process where there is a disk, the leader's own and a follower's. A
// disk that fails is reported and done without.
func TestDecisionLogOutlivesTheProcess(t *testing.T) {
	directories := map[string]string{"a": t.TempDir(), "b": t.TempDir()}
	start := func(name string) *Node {
		return testStandby(t, name, func(s *operator.Standby) { s.LogDirectory = directories[name] })
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
	// What was taken off the queue last is written before the loop looks at ctx again.
	cancel()
	for range 2 {
		if err := <-written; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"a", "b"} {
		again := start(name)
		if at := again.position(); at.Term != 1 || at.Sequence == 0 || at.Sequence > 60 {
			t.Errorf("%s goes on from %+v", name, at)
		}
		if s := again.Status(time.Now()); s.Log != "ok" || s.State != "catching up" {
			t.Errorf("%s: %+v", name, s)
		}
	}
	broken := testStandby(t, "c", func(s *operator.Standby) { s.LogDirectory = "/does/not/exist" })
	if broken.log != nil || broken.position() != (standby.Position{}) {
		t.Error("a log that can't be opened is used")
	}
}

// A slow disk holds nothing up: what finds no room is left out, and the next write begins
// anew with the whole state.
func TestSlowDisk(t *testing.T) {
	n := testStandby(t, "a", func(s *operator.Standby) { s.LogDirectory = t.TempDir() })
	lead(t, n, 1)
	for i := range 5 * logQueue {
		n.Publish(1, []core.WarmRecord{classRecord(i)}) // nobody takes them off the queue
	}
	if len(n.log.queue) != cap(n.log.queue) {
		t.Fatalf("%d frames wait for the disk", len(n.log.queue))
	}
	n.log.offer(standby.Frame{Kind: standby.Changes, Term: 1})
	if !n.log.stale.Load() {
		t.Fatal("what was left out isn't made up for")
	}
	n.log.write(<-n.log.queue)
	if n.log.stale.Load() || n.log.broken.Load() || n.log.log.Full() {
		t.Fatal("no segment was begun")
	}
}

// waitUntil waits until something holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}
