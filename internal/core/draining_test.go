package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/drain"
)

// A drained machine is emptied and released, and its tasks run on elsewhere.
func TestMachineIsDrained(t *testing.T) {
	d := busyAndFree(t, drainTestConfig(nil), longJob("j-1", "t", 3))
	d.drainMachine("m-1")
	d.run(60 * time.Second)
	if _, there := d.on["m-1"]; there || d.runsOn("m-2") != 3 || d.evictions != 3 {
		t.Fatalf("%v, %d evictions, %+v", d.on, d.evictions, d.e.DrainStatus(d.now))
	}
	if s := d.e.DrainStatus(d.now); s.Plans[0].Phase != drain.Completed || s.Scopes[0].Voluntary != 3 {
		t.Errorf("%+v", s)
	}
}

// Nothing is evicted while the store doesn't hold its charge: the next leader wouldn't know of the
// interruption. Once the store takes charges, the machine is emptied.
func TestNoEvictionWithoutStoredCharge(t *testing.T) {
	d := busyAndFree(t, drainTestConfig(nil), longJob("j-1", "t", 2))
	d.drainMachine("m-1")
	for i := 0; len(d.stored.Machines) == 0 && i < 100; i++ {
		d.tick(200 * time.Millisecond)
	}
	if len(d.stored.Machines) != 1 || len(d.stored.Charges) != 0 {
		t.Fatalf("%d pages of machines, %d of charges", len(d.stored.Machines), len(d.stored.Charges))
	}
	d.storeDown = true
	d.run(60 * time.Second)
	if d.evictions != 0 {
		t.Fatalf("%d evictions while the store takes no charge", d.evictions)
	}
	d.storeDown = false
	d.bringUp("m-3") // m-2 has been released, since it was idle
	d.run(60 * time.Second)
	if _, there := d.on["m-1"]; there {
		t.Errorf("not emptied once the store is back: %+v", d.e.DrainStatus(d.now))
	}
}

// A leader ends between storing a charge and sending the stop. The next one carries the eviction
// out, and must not charge it a second time.
func TestNextLeaderSpendsTheCharge(t *testing.T) {
	budgets := map[drain.Scope]drain.Budget{{Team: "t"}: budgetWith(func(b *drain.Budget) { b.TaskInterruptions = 1 })}
	d := busyAndFree(t, drainTestConfig(budgets), longJob("j-1", "t", 1))
	d.drainMachine("m-1")
	for i := 0; len(d.stored.Charges) == 0 && i < 100; i++ {
		d.tick(200 * time.Millisecond) // no heartbeat comes meanwhile, so nothing is told to stop
	}
	if len(d.stored.Charges) != 1 || d.evictions != 0 {
		t.Fatalf("%d pages of charges, %d evictions", len(d.stored.Charges), d.evictions)
	}
	d.takeOver()
	d.run(60 * time.Second)
	if _, there := d.on["m-1"]; there || d.evictions != 1 || d.runsOn("m-2") != 1 {
		t.Fatalf("%v, %d evictions, %+v", d.on, d.evictions, d.e.DrainStatus(d.now))
	}
	if s := d.e.DrainStatus(d.now); s.Scopes[0].Voluntary != 1 {
		t.Errorf("charged %d times", s.Scopes[0].Voluntary)
	}
	d.drainMachine("m-2") // the only interruption is used up
	d.bringUp("m-3")
	d.run(120 * time.Second)
	if d.evictions != 1 {
		t.Errorf("%d evictions, one allowed", d.evictions)
	}
}

// Two teams have tasks on one machine, and a service of one of them has no interruption left, so
// the machine can't be emptied. No task of the other team is interrupted in vain, the machine goes
// on getting work, and the status says whose budget forbids the drain.
func TestConflictingBudgets(t *testing.T) {
	budgets := map[drain.Scope]drain.Budget{{Team: "u"}: budgetWith(func(b *drain.Budget) { b.TaskInterruptions = 0 })}
	stuck := longJob("j-2", "u", 1)
	stuck.Record.Spec.Shape = pipeline.Service
	d := busyAndFree(t, drainTestConfig(budgets), longJob("j-1", "t", 2), stuck)
	d.drainMachine("m-1")
	d.run(60 * time.Second)
	if d.evictions != 0 || d.runsOn("m-1") != 3 {
		t.Fatalf("%d evictions, %d run on", d.evictions, d.runsOn("m-1"))
	}
	if m := d.e.machines.get("m-1"); m.Cordoned() || !m.CordonPlanned() {
		t.Errorf("cordoned %v, planned %v", m.Cordoned(), m.CordonPlanned())
	}
	waiting := d.e.DrainStatus(d.now).Plans[0].Waiting
	if want := "a task has no interruption left (budget of u) for j-2"; len(waiting) != 1 || waiting[0].Reason != want {
		t.Errorf("%+v", waiting)
	}
}

// A task may not be interrupted and won't end before the plan's deadline. Then no other task on its
// machine is interrupted in vain.
func TestDeadlineProtectsWork(t *testing.T) {
	budgets := map[drain.Scope]drain.Budget{{Team: "u"}: budgetWith(func(b *drain.Budget) { b.TaskInterruptions = 0 })}
	for _, deadline := range []time.Duration{time.Minute, 0} {
		d := busyAndFree(t, drainTestConfig(budgets), longJob("j-1", "t", 2), longJob("j-2", "u", 1))
		p := drainPlan("p", d.now, "m-1")
		p.Deadline = deadline
		d.storePlan(p)
		d.run(30 * time.Second)
		want := 2
		if deadline > 0 {
			want = 0
		}
		if d.evictions != want {
			t.Errorf("deadline %s: %d evictions, %d expected; %+v", deadline, d.evictions, want, d.e.DrainStatus(d.now).Plans)
		}
	}
}

// Two tasks on one machine have closed windows that together cover the whole day. Each is evicted
// outside its own window.
func TestNightAndDay(t *testing.T) {
	every := [7]bool{true, true, true, true, true, true, true}
	begin := time.Unix(5000, 0).UTC()
	midnight := begin.Truncate(24 * time.Hour)
	offset := begin.Sub(midnight).Truncate(time.Second)
	early := drain.ClosedWindow{Days: every, From: 0, To: offset + 60*time.Second, Location: time.UTC}
	late := drain.ClosedWindow{Days: every, From: offset + 60*time.Second, To: 24 * time.Hour, Location: time.UTC}
	budgets := map[drain.Scope]drain.Budget{
		{Team: "t"}: budgetWith(func(b *drain.Budget) { b.Closed = []drain.ClosedWindow{early} }),
		{Team: "u"}: budgetWith(func(b *drain.Budget) { b.Closed = []drain.ClosedWindow{late} }),
	}
	d := busyAndFree(t, drainTestConfig(budgets), longJob("j-1", "t", 1), longJob("j-2", "u", 1))
	d.drainMachine("m-1")
	for d.now.Before(begin.Add(55 * time.Second)) {
		d.run(3 * time.Second)
	}
	if d.evictions != 1 || d.runsOn("m-1") != 1 || d.on["m-1"][0].Ref != "j-1" {
		t.Fatalf("in the first window: %d evictions, %v, %+v", d.evictions, d.on, d.e.DrainStatus(d.now))
	}
	d.run(60 * time.Second)
	if _, there := d.on["m-1"]; there || d.evictions != 2 {
		t.Errorf("in the second window: %d evictions, %v", d.evictions, d.on)
	}
}

// Two machines with tasks of one gang are drained. The gang is evicted once, and charged once for
// each of its tasks.
func TestGangIsChargedWhole(t *testing.T) {
	gang := longJob("j-1", "t", 2)
	gang.Record.Spec.Shape, gang.Record.Spec.CPUs = pipeline.Gang, 5
	d := newSimulatedCluster(t, drainTestConfig(nil), gang)
	d.bringUp("m-1", "m-2")
	d.run(15 * time.Second)
	if d.runsOn("m-1") != 1 || d.runsOn("m-2") != 1 {
		t.Fatalf("unexpected placement: %v", d.on)
	}
	d.storePlan(drain.Plan{ID: "p", Selector: drain.Selector{All: true}, MaxAtOnce: 2, CreatedMS: d.now.UnixMilli()})
	d.run(15 * time.Second)
	if d.evictions != 0 {
		t.Fatalf("%d evictions without room elsewhere", d.evictions)
	}
	d.bringUp("m-3", "m-4")
	d.run(6 * time.Second)
	if s := d.e.DrainStatus(d.now); d.evictions != 2 || s.Scopes[0].Voluntary != 2 {
		t.Errorf("%d tasks evicted, %d charged", d.evictions, s.Scopes[0].Voluntary)
	}
}

// A cordoned machine gets no starts, neither under this leader nor under the next. A drained
// machine that turns up again, in an old list or with a late heartbeat, gets none either.
func TestNoStartOnDrainedMachine(t *testing.T) {
	d := newSimulatedCluster(t, drainTestConfig(nil), longJob("j-1", "t", 1))
	d.bringUp("m-1")
	d.run(12 * time.Second)
	d.drainMachine("m-1")
	d.run(6 * time.Second) // its task has no room elsewhere, and stays
	d.takeOver()
	more := longJob("j-2", "t", 2)
	d.jobs = append(d.jobs, more)
	d.step(JobStored{Job: more})
	d.run(30 * time.Second)
	if len(d.on["m-1"]) != 1 {
		t.Fatalf("started on a cordoned machine: %v", d.on)
	}
	d.bringUp("m-2")
	d.run(60 * time.Second)
	if _, there := d.on["m-1"]; there || d.runsOn("m-2") != 3 {
		t.Fatalf("not emptied: %v", d.on)
	}
	d.takeOver()
	d.on["m-1"] = nil // it is listed and sends heartbeats as if it had never been drained
	d.bringUp("m-1")
	d.jobs = append(d.jobs, longJob("j-3", "t", 8))
	d.step(JobStored{Job: d.jobs[2]})
	for range 10 {
		d.tick(time.Second)
		d.heartbeat("m-1", d.tokenOf("m-1"))
		if got := starts(d.heartbeat("m-1", d.tokenOf("m-1"))); len(got) > 0 {
			t.Fatalf("a drained machine that returned got %v", got)
		}
		if d.e.machines.get("m-1") == nil {
			return // it was released again
		}
	}
}

// A response with an eviction is lost. The eviction is judged and sent again, with the charge that
// it already has.
func TestLostEvictionIsJudgedAgain(t *testing.T) {
	d := busyAndFree(t, drainTestConfig(nil), longJob("j-1", "t", 1))
	d.drainMachine("m-1")
	told := 0
	for range 20 {
		d.tick(3 * time.Second)
		for _, c := range d.heartbeat("m-1", d.e.numbers.term, d.on["m-1"]...).Commands {
			if c.Kind == fleet.Stop {
				told++ // this response is lost
			}
		}
		d.exchange("m-2")
	}
	if s := d.e.DrainStatus(d.now); told < 3 || s.Scopes[0].Voluntary != 1 {
		t.Errorf("told %d times, charged %d times", told, s.Scopes[0].Voluntary)
	}
}

// A plan is cancelled between charge and stop. Its charge won't be used, and must be withdrawn so
// that it doesn't count as an interruption.
func TestUnspentChargeIsVoid(t *testing.T) {
	d := busyAndFree(t, drainTestConfig(nil), longJob("j-1", "t", 1))
	d.drainMachine("m-1")
	for i := 0; len(d.stored.Charges) == 0 && i < 100; i++ {
		d.tick(200 * time.Millisecond)
	}
	p := d.stored.Plans[0].Plan
	p.Phase = drain.Cancelled
	d.storePlan(p)
	d.run(60 * time.Second)
	if s := d.e.DrainStatus(d.now); d.evictions != 0 || s.Scopes[0].Voluntary != 0 || d.e.machines.get("m-1").Cordoned() {
		t.Errorf("%d evictions, %+v", d.evictions, s)
	}
}

// Preemption and lost machines aren't forbidden by a budget, but count against it: after a machine
// is lost, a drain finds that the only interruption is used up.
func TestInvoluntaryTakesFromTheBudget(t *testing.T) {
	budgets := map[drain.Scope]drain.Budget{{Team: "t"}: budgetWith(func(b *drain.Budget) { b.TaskInterruptions = 1 })}
	d := busyAndFree(t, drainTestConfig(budgets), longJob("j-1", "t", 1))
	delete(d.on, "m-1") // it dies
	d.run(60 * time.Second)
	if d.runsOn("m-2") != 1 {
		t.Fatalf("not placed again: %v", d.on)
	}
	d.bringUp("m-3")
	d.drainMachine("m-2")
	d.run(60 * time.Second)
	s := d.e.DrainStatus(d.now)
	if d.evictions != 0 || s.Scopes[0].Involuntary != 1 || s.Scopes[0].Voluntary != 0 {
		t.Errorf("%d evictions, %+v", d.evictions, s.Scopes)
	}
}

// An attempt of a gang was given up for lost, and turns up again on a machine that hung. When it is
// gone, the attempt that took its place must run on.
func TestOldAttemptOfAGangEndsAlone(t *testing.T) {
	gang := longJob("j-1", "t", 2)
	gang.Record.Spec.Shape = pipeline.Gang
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{gang}})
	b.up("m-1")
	b.pass(6*time.Second, true)
	on := startedTasks(b.heartbeat("m-1", 2))
	if len(on) != 2 {
		t.Fatalf("unexpected placement: %v", on)
	}
	b.heartbeat("m-1", 2, on...)
	b.up("m-2")
	old := fleet.TaskStatus{Ref: "j-1", Task: 0, Attempt: 1 << attemptBits, State: fleet.Running}
	b.heartbeat("m-2", 2, old)
	b.heartbeat("m-2", 2) // it is gone
	for _, c := range b.heartbeat("m-1", 2, on...).Commands {
		if c.Kind == fleet.Stop {
			t.Errorf("the present attempt is stopped: %+v", c)
		}
	}
}

// A machine that is about to be drained is used only if nothing else has room, since what is placed
// there would have to move again.
func TestPlannedMachineIsUsedLast(t *testing.T) {
	d := newSimulatedCluster(t, drainTestConfig(nil), longJob("j-1", "t", 1))
	d.bringUp("m-1")
	d.run(12 * time.Second)
	d.bringUp("m-2")
	p := drainPlan("p", d.now, "m-1")
	p.Through, p.Phase = "m-9", drain.Paused
	d.storePlan(p)
	if m := d.e.machines.get("m-1"); !m.CordonPlanned() || m.Cordoned() {
		t.Fatalf("planned %v, cordoned %v", m.CordonPlanned(), m.Cordoned())
	}
	more := longJob("j-2", "t", 8)
	d.step(JobStored{Job: more})
	d.run(9 * time.Second)
	if d.runsOn("m-1") != 1 || d.runsOn("m-2") != 8 {
		t.Errorf("%d on the one to be drained, %d on the other", d.runsOn("m-1"), d.runsOn("m-2"))
	}
	rest := longJob("j-3", "t", 2)
	d.step(JobStored{Job: rest})
	d.run(9 * time.Second)
	if d.runsOn("m-1") != 3 {
		t.Errorf("%d on the one to be drained, though nothing else has room", d.runsOn("m-1"))
	}
}

// While a plan is paused nothing more is evicted, and cordoned machines stay cordoned. Once it is
// resumed, its machine is emptied.
func TestPausedPlan(t *testing.T) {
	d := newSimulatedCluster(t, drainTestConfig(nil), longJob("j-1", "t", 2))
	d.bringUp("m-1")
	d.run(12 * time.Second)
	d.drainMachine("m-1")
	d.run(6 * time.Second)
	p := d.stored.Plans[0].Plan
	p.Phase = drain.Paused
	d.storePlan(p)
	d.bringUp("m-2")
	d.run(60 * time.Second)
	if d.evictions != 0 || !d.e.machines.get("m-1").Cordoned() {
		t.Fatalf("%d evictions, cordoned %v", d.evictions, d.e.machines.get("m-1").Cordoned())
	}
	p.Phase = drain.Running
	d.storePlan(p)
	d.bringUp("m-3")
	d.run(60 * time.Second)
	if _, there := d.on["m-1"]; there {
		t.Errorf("not emptied after it was resumed: %+v", d.e.DrainStatus(d.now))
	}
}

// Where no other machine has room, a machine like the drained one is requested first. It isn't
// released for being idle while the drained one still exists.
func TestReplacementIsRequested(t *testing.T) {
	d := newSimulatedCluster(t, drainTestConfig(nil), longJob("j-1", "t", 2))
	d.bringUp("m-1")
	d.run(12 * time.Second)
	d.storePlan(drain.Plan{ID: "p", Selector: drain.Selector{All: true}, MaxAtOnce: 1, Surge: 1, CreatedMS: d.now.UnixMilli()})
	for i := 0; len(d.requests) == 0 && i < 20; i++ {
		d.run(3 * time.Second)
	}
	requested := d.requests
	if len(requested) != 1 || requested[0].Type != "big" || requested[0].Zone != "a" || requested[0].Count != 1 || d.evictions != 0 {
		t.Fatalf("requested %+v, %d evictions", requested, d.evictions)
	}
	d.step(ScaleOutAnswered{Request: requested[0], Machines: []string{"m-2"}})
	d.bringUp("m-2")
	d.run(60 * time.Second)
	if _, there := d.on["m-1"]; there || d.runsOn("m-2") != 2 {
		t.Errorf("not replaced: %v, %+v", d.on, d.e.DrainStatus(d.now))
	}
}

// While a large part of the fleet sends no heartbeats, drains interrupt nothing.
func TestLostMachinesPauseDrains(t *testing.T) {
	d := newSimulatedCluster(t, drainTestConfig(nil), longJob("j-1", "t", 2))
	d.bringUp("m-1")
	d.run(12 * time.Second)
	d.bringUp("m-2", "m-3")
	d.run(3 * time.Second)
	lost := []string{"m-4", "m-5"}
	for _, name := range lost {
		d.up(name) // it sends no further heartbeats
	}
	d.run(15 * time.Second)
	d.drainMachine("m-1")
	d.run(9 * time.Second)
	if d.evictions != 0 || d.e.machines.inState(fleet.Unresponsive) != len(lost) {
		t.Errorf("%d evictions with %d machines unresponsive", d.evictions, d.e.machines.inState(fleet.Unresponsive))
	}
}

// Consolidation doesn't move a replica to a zone that may take no more replicas of its service.
func TestNoMoveToAFullZone(t *testing.T) {
	service := longJob("j-1", "t", 2)
	service.Record.Spec.Shape, service.Record.Spec.Spread = pipeline.Service, true
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{service}})
	for name, zone := range map[string]string{"m-1": "a", "m-2": "b"} {
		for seq := uint64(1); seq <= 2; seq++ {
			r := heartbeatFrom(name, 2*(seq-1), seq)
			r.Zone = zone
			b.e.Step(b.now, HeartbeatReceived{r})
		}
	}
	b.pass(6*time.Second, true)
	if u := b.e.usage.ofJob("j-1"); u.zones["a"] != 1 || u.zones["b"] != 1 {
		t.Fatalf("unexpected placement: %v", u.zones)
	}
	b.e.updateFreeCapacity(b.now)
	plan := newConsolidation(b.now, b.e, &placement.Scorer{Now: b.now})
	for _, p := range b.e.capacity.free.Pools {
		for _, from := range p.Slots {
			if to := plan.bestTarget(b.e.jobs.get("j-1"), from); to != nil {
				t.Errorf("from %s in zone %s to %s in zone %s", from.Machine.Name, from.Zone, to.Machine.Name, to.Zone)
			}
		}
	}
}
