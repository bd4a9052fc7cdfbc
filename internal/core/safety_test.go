package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// A start is sent only once the store holds the record of the attempt: otherwise a later leader
// wouldn't know of it and could start the task a second time.
func TestStartOnlyAfterRecord(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	b.up("m-1")
	b.pass(6*time.Second, false)
	if s := starts(b.heartbeat("m-1", 2)); len(s) != 0 {
		t.Fatalf("started before the record was written: %v", s)
	}
	b.pass(time.Second, true)
	if s := starts(b.heartbeat("m-1", 2)); len(s) != 1 {
		t.Fatalf("not started once the record was written: %v", s)
	}
}

// A heartbeat without this term's fencing token may have been sent before an earlier
// leader's last start arrived, so it can't prove an inherited attempt absent.
func TestInheritedAttemptNeedsConfirmedHeartbeat(t *testing.T) {
	b := newHarness(t, 2, inheritedSnapshot())
	b.up("m-2")
	b.heartbeat("m-1", 1) // lists nothing, but was sent under term 1
	b.pass(6*time.Second, true)
	if s := starts(b.heartbeat("m-2", 2)); len(s) != 0 {
		t.Fatalf("placed again because of an unconfirmed heartbeat: %v", s)
	}
	b.heartbeat("m-1", 2)
	b.pass(time.Second, true)
	if s := append(starts(b.heartbeat("m-2", 2)), starts(b.heartbeat("m-1", 2))...); len(s) != 1 {
		t.Fatalf("not placed once proven gone: %v", s)
	}
}

// The tasks on record for a machine that sends no heartbeats count as running until its worker's
// lease has ended, counted from the takeover: an earlier leader may have answered the worker until
// then.
func TestInheritedAttemptUntilLeaseOver(t *testing.T) {
	b := newHarness(t, 2, inheritedSnapshot())
	start := b.now
	b.up("m-2")
	for {
		b.pass(3*time.Second, true)
		if len(starts(b.heartbeat("m-2", 2))) > 0 {
			break
		}
		if b.now.Sub(start) > time.Minute {
			t.Fatal("never placed again")
		}
	}
	if held := b.now.Sub(start); held <= testConfig().Lease {
		t.Fatalf("placed again after %s, within the lease", held)
	}
}

// Of several records that name a task, only the highest attempt can be current.
func TestHighestAttemptCounts(t *testing.T) {
	snap := inheritedSnapshot()
	snap.Pages = append(snap.Pages, page("1-0", "m-0", 1<<attemptBits-5))
	b := newHarness(t, 2, snap)
	b.heartbeat("m-1", 1)
	b.heartbeat("m-1", 2) // proves the attempt there gone; m-0 never sends a heartbeat
	b.pass(6*time.Second, true)
	if s := starts(b.heartbeat("m-1", 2)); len(s) != 1 {
		t.Fatalf("an outdated record keeps the task from being placed: %v", s)
	}
}

// An older heartbeat that arrives late, or a copy of the one that was answered with the start,
// doesn't prove that a started attempt is absent: the start may still be in flight.
func TestOldHeartbeatProvesNothing(t *testing.T) {
	b, c := withStartedTask(t)
	seq := b.sequences["m-1"]
	for _, old := range []uint64{seq - 1, seq} {
		if r := b.heartbeatNumbered("m-1", 2, old); r.OK {
			t.Fatalf("heartbeat %d after %d is answered with 200, and renews the lease", old, seq)
		}
	}
	if b.e.jobs.get("j-1").Tasks[0].Attempt != c.Attempt {
		t.Fatal("the task was requeued because of an old heartbeat")
	}
}

// A newer heartbeat without the attempt proves that the start was dropped. The task is started
// again with a new attempt number.
func TestDroppedStart(t *testing.T) {
	b, c := withStartedTask(t)
	b.heartbeat("m-1", 2)
	b.pass(undeliveredPause+time.Second, true)
	s := starts(b.heartbeat("m-1", 2))
	if len(s) != 1 || s[0].Attempt <= c.Attempt {
		t.Fatalf("after a dropped start: %v, before %v", s, c)
	}
}

// A worker may be told to forget a result only once the store holds it, or the result could be
// lost.
func TestForgetOnlyAfterWritten(t *testing.T) {
	b, c := withStartedTask(t)
	b.heartbeat("m-1", 2, running(c))
	done := exited(c, fleet.CauseDone)
	for range 3 {
		if r := b.heartbeat("m-1", 2, done); len(r.Commands) != 0 {
			t.Fatalf("commands before the result is written: %v", r.Commands)
		}
		if v, ok := b.e.Lookup("j-1"); ok && v.Phase == pipeline.Done {
			t.Fatal("the job is reported as done before the result is written")
		}
		b.pass(time.Second, false)
	}
	b.pass(time.Second, true)
	if r := b.heartbeat("m-1", 2, done); len(r.Commands) != 1 || r.Commands[0].Kind != fleet.Forget {
		t.Fatalf("commands after the result is written: %v", r.Commands)
	}
	if v, ok := b.e.Lookup("j-1"); !ok || v.Phase != pipeline.Done {
		t.Fatalf("view after the result is written: %v, %v", v, ok)
	}
}

// While a final entry is being written, or a cancellation is in progress or its outcome unknown,
// this node must not report the job as active: another node may already have read a newer state in
// the store.
func TestNoAnswerWhileOutcomeUnknown(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	if _, ok := b.e.Lookup("j-1"); !ok {
		t.Fatal("an active job isn't known")
	}
	b.e.Step(b.now, CancelRequested{"j-1"})
	if v, ok := b.e.Lookup("j-1"); ok {
		t.Fatalf("answered while a cancellation is in progress: %v", v)
	}
	b.e.Step(b.now, CancelUndecided{Ref: "j-1", Unknown: true, Version: 5})
	if v, ok := b.e.Lookup("j-1"); ok {
		t.Fatalf("answered while the outcome is unknown: %v", v)
	}
	b.pass(5*time.Second, true) // the record is written again
	if _, ok := b.e.Lookup("j-1"); !ok {
		t.Fatal("outcome still unknown after the record was written again")
	}
}

// A cancelled job's tasks are stopped at once, and a machine that stays unresponsive with one of
// them is released within CancelWithin.
func TestCancelIsFinalAndInTime(t *testing.T) {
	b, c := withStartedTask(t)
	b.e.cfg.Lease = 2 * b.e.cfg.CancelWithin // the lease proves the task gone too late
	b.heartbeat("m-1", 2, running(c))
	at := b.now
	cancelled := job("j-1", 1)
	cancelled.Version, cancelled.Record.Phase, cancelled.Record.CancelledMS = 200, pipeline.Cancelled, at.UnixMilli()
	eff := b.e.Step(b.now, JobStored{cancelled})
	if len(eff.DirectCommands) != 1 || eff.DirectCommands[0].Commands[0].Kind != fleet.Stop || eff.DirectCommands[0].Commands[0].Grace != 0 {
		t.Fatalf("effects of a cancellation: %+v", eff)
	}
	for b.now.Sub(at) < testConfig().CancelWithin {
		b.now = b.now.Add(time.Second)
		if eff := b.e.Step(b.now, Tick{}); len(eff.ScaleIn) > 0 {
			return
		}
	}
	t.Fatal("the unresponsive machine wasn't released in time")
}

// A heartbeat with a higher fencing token means that another leader has taken over.
func TestHigherTokenDeposes(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	eff := b.e.Step(b.now, HeartbeatReceived{heartbeatFrom("m-1", 3, 1)})
	if !eff.Deposed() || eff.Response.OK {
		t.Fatalf("effects: %+v", eff)
	}
}

// If several jobs fail on a machine, the machine is taken for faulty and quarantined, not the jobs.
// The jobs, and starts that wait for the machine, continue elsewhere.
func TestFaultyMachineIsQuarantined(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1), job("j-2", 1)}})
	b.up("m-1")
	b.pass(6*time.Second, true)
	var failed []fleet.TaskStatus
	for _, c := range starts(b.heartbeat("m-1", 2)) {
		failed = append(failed, exited(c, fleet.CauseError))
	}
	if len(failed) != 2 {
		t.Fatalf("%d starts", len(failed))
	}
	b.heartbeat("m-1", 2, failed...)
	b.e.Step(b.now, JobStored{job("j-3", 1)})
	b.pass(5*time.Second, true)
	if s := starts(b.heartbeat("m-1", 2)); len(s) != 0 {
		t.Fatalf("a quarantined machine got starts: %v", s)
	}
	b.up("m-2")
	b.pass(5*time.Second, true)
	if s := starts(b.heartbeat("m-2", 2)); len(s) != 3 {
		t.Fatalf("the jobs don't continue elsewhere: %v", s)
	}
}

// Attempts of a finished job that are still on machines count against its team's limit. Randomized
// tests once found a team above its limit.
func TestQuotaCountsJobsThatAreOver(t *testing.T) {
	gang := job("j-1", 2)
	gang.Record.Spec.Shape, gang.Record.Spec.CPUs = pipeline.Gang, 8
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{gang}})
	if b.e.HasLiveMachines() {
		t.Fatal("live machines before any heartbeat")
	}
	b.up("m-1")
	b.up("m-2")
	b.pass(6*time.Second, true)
	one, two := starts(b.heartbeat("m-1", 2)), starts(b.heartbeat("m-2", 2))
	if len(one) != 1 || len(two) != 1 || one[0].Attempt != two[0].Attempt {
		t.Fatalf("starts %v and %v", one, two)
	}
	b.heartbeat("m-2", 2, running(two[0]))
	b.heartbeat("m-1", 2, exited(one[0], fleet.CauseDone))
	b.pass(time.Second, true)
	if v, ok := b.e.Lookup("j-1"); !ok || v.Phase != pipeline.Done {
		t.Fatalf("view %v, %v", v, ok)
	}
	if u := b.e.usage.ofTeam("t"); u.CPUs != 8 {
		t.Fatalf("%g CPUs counted while one task is still on a machine", u.CPUs)
	}
}

// An idle machine is released within a minute, however cheap it is. A longer wait once failed the
// users' acceptance check.
func TestIdleMachineIsGivenBack(t *testing.T) {
	b, c := withStartedTask(t)
	b.heartbeat("m-1", 2, running(c))
	done := exited(c, fleet.CauseDone)
	b.heartbeat("m-1", 2, done)
	b.pass(time.Second, true)
	b.heartbeat("m-1", 2, done)
	b.heartbeat("m-1", 2)
	idle := b.now
	for b.now.Sub(idle) < time.Minute {
		b.now = b.now.Add(time.Second)
		b.heartbeat("m-1", 2)
		if eff := b.e.Step(b.now, Tick{}); len(eff.ScaleIn) > 0 {
			return
		}
	}
	t.Fatal("an idle machine is kept for a minute")
}

// After a worker's restart, a new leader may receive a late copy of an earlier heartbeat with a
// higher sequence number than the worker has now. The copy must not prove an attempt gone, which
// once made a task run twice, and it must not make the leader ignore the worker's own heartbeats.
func TestCopyFromFormerIncarnation(t *testing.T) {
	b := newHarness(t, 3, inheritedSnapshot())
	here := running(fleet.Command{Ref: "j-1", Attempt: 1 << attemptBits})
	b.heartbeatOf("m-1", 2, 1, 4, here)
	b.heartbeatOf("m-1", 3, 1, 5, here)
	if r := b.heartbeatOf("m-1", 1, 1, 900); r.OK || b.e.jobs.get("j-1").Tasks[0].Attempt != 1<<attemptBits {
		t.Fatalf("a copy with an older token is applied: %+v", r)
	}
	b = newHarness(t, 3, inheritedSnapshot())
	b.heartbeatOf("m-1", 1, 2, 900)
	if r := b.heartbeatOf("m-1", 2, 1, 4, here); !r.OK || b.e.machines.get("m-1").Sequence() != 4 {
		t.Fatalf("the worker's heartbeat is ignored because of a copy: %+v", r)
	}
}

// A task that is listed only in a late copy of a heartbeat, and not in the start log, is gone. It
// must not be taken for running, and nothing may be placed on the machine.
func TestCopyRevivesNothing(t *testing.T) {
	b := newHarness(t, 3, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	b.heartbeatOf("m-9", 2, 1, 7, running(fleet.Command{Ref: "j-1", Attempt: 5}))
	if n := b.e.jobs.get("j-1").Count(pipeline.Waiting); n != 1 {
		t.Fatal("the task counts as running because of a copy of an old heartbeat")
	}
	b.pass(6*time.Second, true)
	if b.e.machines.get("m-9").ActiveAttempts() > 0 {
		t.Fatal("placed on a machine that is known only from a copy of an old heartbeat")
	}
}

// The heartbeats of a worker that restarts within a term can't be told from copies of its old ones.
// The worker must not be ignored forever: its machine is released.
func TestWorkerRestarts(t *testing.T) {
	b, c := withStartedTask(t)
	b.heartbeat("m-1", 2, running(c))
	for seq := uint64(1); seq < uint64(testConfig().Lease/(2*time.Second)); seq++ {
		b.heartbeatOf("m-1", 0, 1, seq)
		for range 10 {
			b.now = b.now.Add(200 * time.Millisecond)
			if eff := b.e.Step(b.now, Tick{}); len(eff.ScaleIn) > 0 {
				return
			}
		}
		if b.e.jobs.get("j-1").Count(pipeline.Waiting) > 0 {
			t.Fatal("the task counts as gone because of heartbeats that may be copies")
		}
		if b.e.machines.get("m-1").State() == fleet.ScalingIn {
			return
		}
	}
	t.Fatal("a restarted worker is ignored until its lease has ended")
}

// A new leader doesn't wait for heartbeats from all machines on record, since a dead machine would
// delay everything. It places tasks on machines that are proven free, but not the task that may
// still be on the dead machine.
func TestPlacesBeforeAllAreHeard(t *testing.T) {
	snap := Snapshot{Jobs: []StoredJob{job("j-1", 1), job("j-2", 1)}}
	snap.Pages = append(snap.Pages, page("1-1", "m-dead", 1<<attemptBits))
	b := newHarness(t, 2, snap)
	for _, m := range []string{"m-1", "m-2", "m-3", "m-4", "m-5"} {
		b.up(m)
	}
	b.e.Step(b.now, InstancesListed{})
	b.pass(time.Second, true)
	n := 0
	for _, m := range []string{"m-1", "m-2", "m-3", "m-4", "m-5"} {
		for _, c := range starts(b.heartbeat(m, 2)) {
			n++
			if c.Ref != "j-2" {
				t.Errorf("%s is started although it may be on the machine without heartbeats", c.Ref)
			}
		}
	}
	if n != 1 {
		t.Fatalf("%d starts while one machine sends no heartbeats", n)
	}
}

// A job that failed on the only machine that fits it is started there again within 90 s after the
// cause of the failure has ended, as the users' check at the end of a day demands.
func TestFailedMachineIsTriedAgain(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1), job("j-2", 1)}})
	b.up("m-1")
	b.pass(6*time.Second, true)
	var c, busy fleet.Command
	for _, s := range starts(b.heartbeat("m-1", 2)) {
		if s.Ref == "j-1" {
			c = s
		} else {
			busy = s // keeps the machine in use
		}
	}
	for range 9 { // past the restart limit
		b.heartbeat("m-1", 2, running(busy), exited(c, fleet.CauseError))
		b.e.machines.get("m-1").ClearFailures() // as if another task had succeeded there
		failed := b.now
		for s := starts(b.heartbeat("m-1", 2, running(busy))); ; s = starts(b.heartbeat("m-1", 2, running(busy))) {
			if len(s) > 0 {
				c = s[0]
				break
			}
			if b.pass(time.Second, true); b.now.Sub(failed) > 85*time.Second {
				t.Fatal("not started again within 85 s, though its machine has room")
			}
		}
	}
}
