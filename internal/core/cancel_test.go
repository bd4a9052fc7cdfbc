package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// From before a cancellation's transaction is sent, each answer stops the job's tasks and
// none starts any: another node may read it in the store, and tell its user, before this
// one hears of it. Once it certainly wasn't carried out, the job goes on.
func TestCancelAskedStopsFirst(t *testing.T) {
	b, c := started(t)
	b.heartbeat("m-1", 2, running(c))
	eff := b.e.Step(b.now, CancelRequested{"j-1"})
	if len(eff.Direct) != 1 || eff.Direct[0].Commands[0].Kind != fleet.Stop {
		t.Fatalf("effects before the transaction: %+v", eff)
	}
	if r := b.heartbeat("m-1", 2, running(c)); stops(r) != 1 {
		t.Fatalf("a 200 without the stop: %+v", r)
	}
	stopped := exited(c, fleet.CauseStopped)
	b.heartbeat("m-1", 2, stopped)
	b.pass(5*time.Second, true)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 0 {
		t.Fatalf("started while the cancellation is under way: %+v", r)
	}
	b.e.Step(b.now, CancelUndecided{Ref: "j-1"})
	b.pass(3*time.Second, true)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 1 {
		t.Fatalf("a job that wasn't cancelled doesn't go on: %+v", r)
	}
}

// A cancellation without an answer may be carried out later, against the version that it
// read: until the record is past that, nothing of the job starts, whatever this node
// took its version for, and also if it hadn't heard of the job.
func TestCancelWithoutAnswer(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	b.up("m-1")
	b.e.Step(b.now, CancelRequested{"j-1"})
	b.e.Step(b.now, CancelUndecided{Ref: "j-1", Unknown: true, Version: 7})
	b.e.Step(b.now, JobStored{job("j-1", 1)}) // version 5, heard of late
	if _, ok := b.e.Lookup("j-1"); ok {
		t.Fatal("told from memory")
	}
	b.pass(6*time.Second, false)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 0 {
		t.Fatalf("started while the outcome is unknown: %+v", r)
	}
	b.pass(3*time.Second, true) // the record is written anew
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 1 {
		t.Fatalf("not started once the outcome is known: %+v", r)
	}
}

// A new leader's first answer already stops what an earlier one's cancelled jobs have on
// machines: it renews their leases, and may be the last.
func TestFirstAnswerStopsCancelled(t *testing.T) {
	snap := inherited()
	snap.Jobs[0].Record.Phase, snap.Jobs[0].Record.CancelledMS = pipeline.Cancelled, 4_990_000
	b := newHarness(t, 2, snap)
	c := fleet.Command{Ref: "j-1", Attempt: 1 << attemptBits}
	if r := b.heartbeat("m-1", 1, running(c)); !r.OK || stops(r) != 1 {
		t.Fatalf("first answer: %+v", r)
	}
}

// The arithmetic of docs/design.md, "The bound of a cancellation", over settings.
func TestCancelBound(t *testing.T) {
	for _, c := range []struct {
		lease, cancel time.Duration
		kept          bool
	}{
		{45 * time.Second, 65 * time.Second, true},
		{32 * time.Second, 62 * time.Second, true},
		{12 * time.Second, 37 * time.Second, true},
		{60 * time.Second, 60 * time.Second, false},
		{64 * time.Second, 65 * time.Second, false}, // the drift of clocks and the steps of timers
	} {
		cfg := Config{Lease: c.lease, CancelWithin: c.cancel}
		if cfg.CancelKept() != c.kept {
			t.Errorf("lease %s, cancel %s: kept %v, bound %s", c.lease, c.cancel, cfg.CancelKept(), cfg.CancelBound())
		}
	}
}

// Where the bound can't be kept, the job's tasks are stopped and stay so, and the
// cancellation is confirmed once none may be on a machine.
func TestCancelPutOff(t *testing.T) {
	b, c := started(t)
	b.heartbeat("m-1", 2, running(c))
	b.e.Step(b.now, CancelRequested{"j-1"})
	if !b.e.MayBeOnMachines("j-1") {
		t.Fatal("a running task counts as gone")
	}
	b.e.Step(b.now, CancelUndecided{Ref: "j-1", Deferred: true})
	b.heartbeat("m-1", 2, exited(c, fleet.CauseStopped))
	b.pass(10*time.Second, true)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 0 || b.e.MayBeOnMachines("j-1") {
		t.Fatalf("started again before its user has asked again: %+v", r)
	}
	if _, ok := b.e.Lookup("j-1"); !ok {
		t.Fatal("its user isn't told that it waits")
	}
	b.pass(testConfig().CancelWithin, true) // its user has given up
	b.up("m-1")
	b.pass(3*time.Second, true)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 1 {
		t.Fatalf("a job that wasn't cancelled doesn't go on: %+v", r)
	}
}

// A pending cancellation is undecided while a transaction is under way, and after one
// without an answer until the record is past the version that it was meant for.
func TestPendingCancellation(t *testing.T) {
	c := newCancellations()
	if c.undecided("j-1", 0) || c.inTransaction("j-1") {
		t.Fatal("undecided without a cancellation")
	}
	c.begin("j-1")
	c.begin("j-1")
	p := c.pending["j-1"]
	if !c.inTransaction("j-1") || !c.undecided("j-1", 9) || p.transactions != 2 {
		t.Fatalf("under way: %+v", p)
	}
	p.transactions, p.unknownVersion = 0, 7
	if c.inTransaction("j-1") || !c.undecided("j-1", 7) || !c.undecided("j-1", 0) {
		t.Fatalf("decided before the record is past the version: %+v", p)
	}
	if c.undecided("j-1", 8) || c.pending["j-1"] != nil {
		t.Fatal("not forgotten once it is decided")
	}
	now := time.Unix(5000, 0)
	c.begin("j-1")
	p = c.pending["j-1"]
	p.transactions, p.deferredUntil = 0, now.Add(time.Second)
	if c.undecided("j-1", 1) || !c.deferred(now, "j-1") {
		t.Fatalf("a deferred cancellation is forgotten early: %+v", p)
	}
	if c.deferred(now.Add(time.Second), "j-1") || c.pending["j-1"] != nil {
		t.Fatal("a deferred cancellation is kept too long")
	}
}
