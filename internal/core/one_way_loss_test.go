package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// hearNothing has a machine with a task that was told to stop send heartbeats as if it hadn't been.
func hearNothing(t *testing.T) (*harness, fleet.TaskStatus) {
	t.Helper()
	b, c := started(t)
	b.heartbeat("m-1", 2, running(c))
	b.e.Step(b.now, CancelRequested{Ref: c.Ref})
	b.heartbeat("m-1", 2, running(c)) // answered with the stop
	return b, running(c)
}

// Heartbeats that a cut has held back come together, and none of them can show what the first
// was answered with. 27 machines of a zone were once released for that.
func TestHeartbeatsDeliveredTogether(t *testing.T) {
	b, task := hearNothing(t)
	for range 4 {
		b.heartbeat("m-1", 2, task)
	}
	if n := b.e.machines.get("m-1").OneWayLoss.Undelivered(); n > 1 {
		t.Fatalf("%d answers counted as undelivered within a moment", n)
	}
}

// A leader that computes several times slower answers too late, and workers drop what comes
// late: up to 117 healthy machines were once released as hearing nothing.
func TestSlowLeaderReleasesNone(t *testing.T) {
	b, task := hearNothing(t)
	for range 10 {
		b.now = b.now.Add(2 * time.Second) // the next tick is as late
		b.e.Step(b.now, Tick{})
		b.heartbeat("m-1", 2, task)
	}
	if n := b.e.machines.get("m-1").OneWayLoss.Undelivered(); n > 0 {
		t.Fatalf("%d answers counted as undelivered by a leader that is slow itself", n)
	}
}

// Starts on a machine whose heartbeats arrive but that receives no answers come to nothing
// again and again: it gets no more of them and is released.
func TestOneWayLoss(t *testing.T) {
	b, _ := started(t)
	at := b.now
	sent := 0
	for b.now.Sub(at) < testConfig().Lease {
		b.pass(3*time.Second, true)
		sent += len(starts(b.heartbeat("m-1", 2)))
		if b.e.machines.get("m-1").State() == fleet.ScalingIn {
			if sent > 2 {
				t.Fatalf("%d starts sent to a machine that receives nothing", sent)
			}
			if b.e.jobs.get("j-1").Count(pipeline.Waiting) != 1 {
				t.Fatal("its task isn't free to go elsewhere")
			}
			return
		}
	}
	t.Fatal("kept although it receives nothing")
}

// A machine that seemed unreachable and keeps its incarnation for longer than a lease must
// have had answers: six such machines, idle, were once kept and never used again.
func TestOneWayLossEnds(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	names := []string{"m-1", "m-2", "m-3", "m-4"}
	for _, m := range names {
		b.up(m)
		for range 2 { // so many machines that none is released
			b.e.machines.answerUndelivered(b.now, b.e.machines.get(m))
		}
	}
	b.e.Step(b.now, JobStored{job("j-2", 32)})
	used := map[string]bool{}
	for range 25 {
		b.pass(3*time.Second, true)
		for _, m := range names {
			used[m] = used[m] || len(starts(b.heartbeat(m, 2))) > 0
		}
	}
	for _, m := range names {
		if !used[m] {
			t.Errorf("%s is never used again", m)
		}
	}
}

// When all machines seem to hear nothing, it is this node that isn't heard, and
// giving the machines back would end all work.
func TestOneWayLossOfAllIsOurs(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 40)}})
	names := []string{"m-1", "m-2", "m-3", "m-4", "m-5"}
	for _, m := range names {
		b.up(m)
	}
	for range 12 {
		b.pass(3*time.Second, true)
		for _, m := range names {
			b.heartbeat(m, 2)
		}
	}
	for _, m := range names {
		if s := b.e.machines.get(m); s.State() == fleet.ScalingIn {
			t.Fatalf("%s is released", m)
		}
	}
}
