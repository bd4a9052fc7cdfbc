package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// From before a cancellation's transaction is sent, every answer to a worker must stop the job's
// tasks and none may start one: another node may read the cancellation in the store, and confirm it
// to the user, before this node learns of it. If the transaction certainly wasn't carried out, the
// job continues.
func TestCancelAskedStopsFirst(t *testing.T) {
	b, c := withStartedTask(t)
	b.heartbeat("m-1", 2, running(c))
	eff := b.e.Step(b.now, CancelRequested{"j-1"})
	if len(eff.DirectCommands) != 1 || eff.DirectCommands[0].Commands[0].Kind != fleet.Stop {
		t.Fatalf("effects before the transaction: %+v", eff)
	}
	if r := b.heartbeat("m-1", 2, running(c)); stops(r) != 1 {
		t.Fatalf("answer without the stop: %+v", r)
	}
	stopped := exited(c, fleet.CauseStopped)
	b.heartbeat("m-1", 2, stopped)
	b.pass(5*time.Second, true)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 0 {
		t.Fatalf("task started while the cancellation is in progress: %+v", r)
	}
	b.e.Step(b.now, CancelUndecided{Ref: "j-1"})
	b.pass(3*time.Second, true)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 1 {
		t.Fatalf("a job that wasn't cancelled doesn't continue: %+v", r)
	}
}

// A cancellation whose transaction got no answer may still be carried out, on the version of the
// record that it read. Until the record has a later version, no task of the job may start, even if
// this node knew an older version or didn't know the job.
func TestCancelWithoutAnswer(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	b.up("m-1")
	b.e.Step(b.now, CancelRequested{"j-1"})
	b.e.Step(b.now, CancelUndecided{Ref: "j-1", Unknown: true, Version: 7})
	b.e.Step(b.now, JobStored{job("j-1", 1)}) // version 5, which arrives late
	if _, ok := b.e.Lookup("j-1"); ok {
		t.Fatal("the job's state is answered from memory")
	}
	b.pass(6*time.Second, false)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 0 {
		t.Fatalf("task started while the outcome is unknown: %+v", r)
	}
	b.pass(3*time.Second, true) // the record is written again
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 1 {
		t.Fatalf("task not started once the outcome is known: %+v", r)
	}
}

// A new leader's first answer to a machine must already stop the tasks of jobs that were cancelled
// before its term: the answer renews the worker's lease, and may be the last one that arrives.
func TestFirstAnswerStopsCancelled(t *testing.T) {
	snap := inheritedSnapshot()
	snap.Jobs[0].Record.Phase, snap.Jobs[0].Record.CancelledMS = pipeline.Cancelled, 4_990_000
	b := newHarness(t, 2, snap)
	c := fleet.Command{Ref: "j-1", Attempt: 1 << attemptBits}
	if r := b.heartbeat("m-1", 1, running(c)); !r.OK || stops(r) != 1 {
		t.Fatalf("first answer: %+v", r)
	}
}

// Checks for several settings whether CancelBound is within CancelWithin (docs/design.md, "The
// bound of a cancellation").
func TestCancelBound(t *testing.T) {
	for _, c := range []struct {
		lease, cancel time.Duration
		met           bool
	}{
		{45 * time.Second, 65 * time.Second, true},
		{32 * time.Second, 62 * time.Second, true},
		{12 * time.Second, 37 * time.Second, true},
		{60 * time.Second, 60 * time.Second, false},
		{64 * time.Second, 65 * time.Second, false}, // fails only because of the allowances for clock drift and timers
	} {
		cfg := Config{Lease: c.lease, CancelWithin: c.cancel}
		if cfg.CancelBoundMet() != c.met {
			t.Errorf("lease %s, cancel %s: met %v, bound %s", c.lease, c.cancel, cfg.CancelBoundMet(), cfg.CancelBound())
		}
	}
}

// If the settings can't keep the bound of a cancellation, it is deferred: the job's tasks are
// stopped and not started again until the user retries or gives up, and MayHaveAttempts tells when
// the cancellation may be sent.
func TestCancelPutOff(t *testing.T) {
	b, c := withStartedTask(t)
	b.heartbeat("m-1", 2, running(c))
	b.e.Step(b.now, CancelRequested{"j-1"})
	if !b.e.MayHaveAttempts("j-1") {
		t.Fatal("MayHaveAttempts is false for a running task")
	}
	b.e.Step(b.now, CancelUndecided{Ref: "j-1", Deferred: true})
	b.heartbeat("m-1", 2, exited(c, fleet.CauseStopped))
	b.pass(10*time.Second, true)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 0 || b.e.MayHaveAttempts("j-1") {
		t.Fatalf("task started again, or still on a machine, before the user retried: %+v", r)
	}
	if _, ok := b.e.Lookup("j-1"); !ok {
		t.Fatal("the state of a job with a deferred cancellation is unknown")
	}
	b.pass(testConfig().CancelWithin, true) // the user has given up
	b.up("m-1")
	b.pass(3*time.Second, true)
	if r := b.heartbeat("m-1", 2); len(starts(r)) != 1 {
		t.Fatalf("a job that wasn't cancelled doesn't continue: %+v", r)
	}
}

// A pending cancellation is undecided while a transaction is in progress, and after a transaction
// without an answer until the record has a later version than the one that it changes.
func TestPendingCancellation(t *testing.T) {
	c := newCancellations()
	if c.undecided("j-1", 0) || c.inTransaction("j-1") {
		t.Fatal("undecided without a cancellation")
	}
	c.begin("j-1")
	c.begin("j-1")
	p := c.pending["j-1"]
	if !c.inTransaction("j-1") || !c.undecided("j-1", 9) || p.transactions != 2 {
		t.Fatalf("two transactions in progress: %+v", p)
	}
	p.transactions, p.unknownVersion = 0, 7
	if c.inTransaction("j-1") || !c.undecided("j-1", 7) || !c.undecided("j-1", 0) {
		t.Fatalf("decided before the record has a later version: %+v", p)
	}
	if c.undecided("j-1", 8) || c.pending["j-1"] != nil {
		t.Fatal("still undecided or kept, though the record has a later version")
	}
	now := time.Unix(5000, 0)
	c.begin("j-1")
	p = c.pending["j-1"]
	p.transactions, p.deferredUntil = 0, now.Add(time.Second)
	if c.undecided("j-1", 1) || !c.deferred(now, "j-1") {
		t.Fatalf("a deferred cancellation is undecided or dropped early: %+v", p)
	}
	if c.deferred(now.Add(time.Second), "j-1") || c.pending["j-1"] != nil {
		t.Fatal("a deferred cancellation is kept too long")
	}
}
