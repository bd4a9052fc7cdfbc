package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// undeliveredStop returns a leader whose stop of a running task on m-1 didn't arrive, and the
// status that m-1 still reports for the task.
func undeliveredStop(t *testing.T) (*harness, fleet.TaskStatus) {
	t.Helper()
	b, c := withStartedTask(t)
	b.heartbeat("m-1", 2, running(c))
	b.e.Step(b.now, CancelRequested{Ref: c.Ref})
	b.heartbeat("m-1", 2, running(c)) // answered with the stop
	return b, running(c)
}

// Heartbeats that a network partition has held up arrive together, and none of them can show an
// effect of the answer to the first. They count as one undelivered answer: 27 machines of a zone
// were once released for counting each.
func TestHeartbeatsDeliveredTogether(t *testing.T) {
	b, task := undeliveredStop(t)
	for range 4 {
		b.heartbeat("m-1", 2, task)
	}
	if n := b.e.machines.get("m-1").OneWayLoss.Undelivered(); n > 1 {
		t.Fatalf("%d answers counted as undelivered within a moment", n)
	}
}

// A leader on a node that has become several times slower answers too late, and workers drop late
// answers. Up to 117 healthy machines were once released as unreachable for that.
func TestSlowLeaderReleasesNone(t *testing.T) {
	b, task := undeliveredStop(t)
	for range 10 {
		b.now = b.now.Add(2 * time.Second) // the next tick is late
		b.e.Step(b.now, Tick{})
		b.heartbeat("m-1", 2, task)
	}
	if n := b.e.machines.get("m-1").OneWayLoss.Undelivered(); n > 0 {
		t.Fatalf("%d answers counted as undelivered though the leader itself is slow", n)
	}
}

// A machine whose heartbeats arrive but that receives no answers would be sent start after start in
// vain. It must get no more starts after a few and be released.
func TestOneWayLoss(t *testing.T) {
	b, _ := withStartedTask(t)
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
				t.Fatal("its task isn't free to be placed elsewhere")
			}
			return
		}
	}
	t.Fatal("a machine that receives no answers is kept")
}

// A machine that seemed unreachable but keeps its incarnation for longer than a lease must have
// received answers, and is used again. Six such idle machines were once kept and never used again.
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

// When all machines seem to receive no answers, the fault is with this node. Releasing the machines
// would end all work.
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
