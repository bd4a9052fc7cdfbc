package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// A start leaves only once the store holds that the attempt may be there:
// otherwise a later leader wouldn't know of it.
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
	b := newHarness(t, 2, inherited())
	b.up("m-2")
	b.heartbeat("m-1", 1) // lists nothing, but was sent under term 1
	b.pass(6*time.Second, true)
	if s := starts(b.heartbeat("m-2", 2)); len(s) != 0 {
		t.Fatalf("placed again on the word of an unconfirmed heartbeat: %v", s)
	}
	b.heartbeat("m-1", 2)
	b.pass(time.Second, true)
	if s := append(starts(b.heartbeat("m-2", 2)), starts(b.heartbeat("m-1", 2))...); len(s) != 1 {
		t.Fatalf("not placed once proven gone: %v", s)
	}
}

// An unheard machine holds its tasks until its worker's lease has ended, counted
// from the takeover: an earlier leader may have answered it until then.
func TestInheritedAttemptUntilLeaseOver(t *testing.T) {
	b := newHarness(t, 2, inherited())
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
	snap := inherited()
	snap.Pages = append(snap.Pages, page("1-0", "m-0", 1<<attemptBits-5))
	b := newHarness(t, 2, snap)
	b.heartbeat("m-1", 1)
	b.heartbeat("m-1", 2) // proves the attempt there gone; m-0 is never heard
	b.pass(6*time.Second, true)
	if s := starts(b.heartbeat("m-1", 2)); len(s) != 1 {
		t.Fatalf("an outdated record keeps the task from being placed: %v", s)
	}
}

// A start still in flight isn't absent: an older heartbeat that arrives late, or a
// copy of the one that was answered with the start, proves nothing.
func TestOldHeartbeatProvesNothing(t *testing.T) {
	b, c := started(t)
	seq := b.sequences["m-1"]
	for _, old := range []uint64{seq - 1, seq} {
		if r := b.heartbeatNumbered("m-1", 2, old); r.OK {
			t.Fatalf("heartbeat %d after %d is answered with 200, and renews the lease", old, seq)
		}
	}
	if b.e.jobs.get("j-1").Tasks[0].Attempt != c.Attempt {
		t.Fatal("an old heartbeat made the task free to be placed again")
	}
}

// The next heartbeat without the attempt proves that the start was dropped, and the
// task starts anew under a new number.
func TestDroppedStart(t *testing.T) {
	b, c := started(t)
	b.heartbeat("m-1", 2)
	b.pass(undeliveredPause+time.Second, true)
	s := starts(b.heartbeat("m-1", 2))
	if len(s) != 1 || s[0].Attempt <= c.Attempt {
		t.Fatalf("after a dropped start: %v, before %v", s, c)
	}
}

// A result is forgotten by the worker only once the store holds it.
func TestForgetOnlyAfterWritten(t *testing.T) {
	b, c := started(t)
	b.heartbeat("m-1", 2, running(c))
	done := exited(c, fleet.CauseDone)
	for range 3 {
		if r := b.heartbeat("m-1", 2, done); len(r.Commands) != 0 {
			t.Fatalf("commands before the result is written: %v", r.Commands)
		}
		if v, ok := b.e.Lookup("j-1"); ok && v.Phase == pipeline.Done {
			t.Fatal("told as done before it is written")
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

// While a final entry is on its way, or a cancellation's fate is unknown, this
// node must not call the job active: another may have read better in the store.
func TestNoAnswerWhileOutcomeUnknown(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	if _, ok := b.e.Lookup("j-1"); !ok {
		t.Fatal("an active job isn't known")
	}
	b.e.Step(b.now, CancelRequested{"j-1"})
	if v, ok := b.e.Lookup("j-1"); ok {
		t.Fatalf("answered while a cancellation is on its way: %v", v)
	}
	b.e.Step(b.now, CancelUndecided{Ref: "j-1", Unknown: true, Version: 5})
	if v, ok := b.e.Lookup("j-1"); ok {
		t.Fatalf("answered while the outcome is unknown: %v", v)
	}
	b.pass(5*time.Second, true) // the record is written anew
	if _, ok := b.e.Lookup("j-1"); !ok {
		t.Fatal("outcome still unknown after the record was written again")
	}
}

// A cancelled job's tasks are stopped at once, nothing starts afterwards, and a
// machine that stays unresponsive with one of them is released in time.
func TestCancelIsFinalAndInTime(t *testing.T) {
	b, c := started(t)
	b.e.cfg.Lease = 2 * b.e.cfg.CancelWithin // the lease proves the task gone too late
	b.heartbeat("m-1", 2, running(c))
	at := b.now
	cancelled := job("j-1", 1)
	cancelled.Version, cancelled.Record.Phase, cancelled.Record.CancelledMS = 200, pipeline.Cancelled, at.UnixMilli()
	eff := b.e.Step(b.now, JobStored{cancelled})
	if len(eff.Direct) != 1 || eff.Direct[0].Commands[0].Kind != fleet.Stop || eff.Direct[0].Commands[0].Grace != 0 {
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

// A heartbeat with a higher fencing token means that somebody else has taken over.
func TestHigherTokenDeposes(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	eff := b.e.Step(b.now, HeartbeatReceived{heartbeatFrom("m-1", 3, 1)})
	if !eff.Deposed() || eff.Response.OK {
		t.Fatalf("effects: %+v", eff)
	}
}

// A machine on which several jobs fail is blamed, not the jobs; what waits there
// unsent goes elsewhere.
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
		t.Fatalf("the jobs don't go on elsewhere: %v", s)
	}
}

// What a finished job still has on machines counts against its team's limit:
// the random tests once found a team above it.
func TestQuotaCountsJobsThatAreOver(t *testing.T) {
	gang := job("j-1", 2)
	gang.Record.Spec.Shape, gang.Record.Spec.CPUs = pipeline.Gang, 8
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{gang}})
	if b.e.HasLiveMachines() {
		t.Fatal("machines are believed up that nobody has heard of")
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
		t.Fatalf("%g CPUs counted while one task is still there", u.CPUs)
	}
}

// A machine that nothing needs is released within a minute, however cheap it
// is: a longer wait once failed the users' check of that.
func TestIdleMachineIsGivenBack(t *testing.T) {
	b, c := started(t)
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
	t.Fatal("kept for a minute with nothing to do")
}

// A new leader may hear a late copy from before a machine's worker restarted,
// with a higher count than the worker has now. It once believed the copy that an
// attempt was gone, and the task ran twice; nor may the worker be ignored.
func TestCopyFromFormerIncarnation(t *testing.T) {
	b := newHarness(t, 3, inherited())
	here := running(fleet.Command{Ref: "j-1", Attempt: 1 << attemptBits})
	b.heartbeatOf("m-1", 2, 1, 4, here)
	b.heartbeatOf("m-1", 3, 1, 5, here)
	if r := b.heartbeatOf("m-1", 1, 1, 900); r.OK || b.e.jobs.get("j-1").Tasks[0].Attempt != 1<<attemptBits {
		t.Fatalf("a copy with an older token is believed: %+v", r)
	}
	b = newHarness(t, 3, inherited())
	b.heartbeatOf("m-1", 1, 2, 900)
	if r := b.heartbeatOf("m-1", 2, 1, 4, here); !r.OK || b.e.machines.get("m-1").Sequence() != 4 {
		t.Fatalf("the worker is ignored for a copy's sake: %+v", r)
	}
}

// What a late copy lists that the start log doesn't name is nowhere any more.
func TestCopyRevivesNothing(t *testing.T) {
	b := newHarness(t, 3, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	b.heartbeatOf("m-9", 2, 1, 7, running(fleet.Command{Ref: "j-1", Attempt: 5}))
	if n := b.e.jobs.get("j-1").Count(pipeline.Waiting); n != 1 {
		t.Fatal("a copy of a heartbeat of long ago has the task taken for running")
	}
	b.pass(6*time.Second, true)
	if b.e.machines.get("m-9").ActiveAttempts() > 0 {
		t.Fatal("placed on a machine of which only an old copy speaks")
	}
}

// A worker that restarts within a term can't be told from copies of its old
// heartbeats; it isn't ignored for good but released.
func TestWorkerRestarts(t *testing.T) {
	b, c := started(t)
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
			t.Fatal("taken for gone on the word of what may be copies")
		}
		if b.e.machines.get("m-1").State() == fleet.ScalingIn {
			return
		}
	}
	t.Fatal("ignored until its lease is over")
}

// A new leader needn't wait for the last of the machines on record: what it
// places on is proven free, and a dead machine would hold up all others.
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
				t.Errorf("%s is started although it may be on the machine that isn't heard", c.Ref)
			}
		}
	}
	if n != 1 {
		t.Fatalf("%d starts while one machine isn't heard", n)
	}
}

// A job that failed on the only machine that fits it is started there again within 90 s of
// the end of what made it fail, as the users' check of a day's end demands.
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
		b.e.machines.get("m-1").ClearFailures() // other work goes well there
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
