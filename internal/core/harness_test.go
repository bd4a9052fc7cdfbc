package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/drain"
)

// harness drives one engine in one of two ways.
//
// By hand, a test sends each heartbeat itself (heartbeat, up, heartbeatOf) and lets time pass with
// rounds of decisions (pass), where it says whether the store accepts writes.
//
// In a simulated cluster (run, tick, step), machines that are brought up with bringUp send their
// own heartbeats and execute commands. A simulated store keeps what the engine writes about starts
// and drains, so that the next leader can take over from it (takeOver).
type harness struct {
	t         *testing.T
	cfg       Config
	e         *Engine
	now       time.Time
	sequences map[string]uint64 // sequence number of each machine's newest heartbeat

	// The store of the simulated cluster.
	jobs      []StoredJob
	pages     []StoredPage
	stored    drain.Stored
	storeDown bool // all writes fail

	// The machines and the cloud of the simulated cluster.
	on        map[string][]fleet.TaskStatus // tasks on each machine
	evictions int                           // number of tasks that were stopped
	requests  []ScaleOut                    // requests for machines so far
}

// testConfig returns the settings of most tests.
func testConfig() Config {
	return Config{
		Teams: map[string]placement.Quota{"t": {}}, HeartbeatInterval: 3 * time.Second, Lease: 30 * time.Second,
		CancelWithin: 60 * time.Second, InstanceListLag: 4 * time.Second, RestartLimit: 3,
		ProgressInterval: 2 * time.Second, MaxValueBytes: 4000, MaxRoundSteps: 100, Weights: DefaultWeights(),
	}
}

// drainTestConfig returns the settings of drain tests: two teams, and disruption budgets.
func drainTestConfig(budgets map[drain.Scope]drain.Budget) Config {
	cfg := testConfig()
	cfg.Teams = map[string]placement.Quota{"t": {}, "u": {}}
	cfg.Drain = &drain.Policy{Budgets: budgets, FinishWait: time.Minute, Skew: 100 * time.Millisecond}
	return cfg
}

// testCatalog returns a catalog with the one machine type of most tests.
func testCatalog() CatalogUpdated {
	return CatalogUpdated{placement.Catalog{"big": {
		Name: "big", CPUs: 8, MemGB: 32, CacheGB: 10, FetchGBPerS: 1, HourlyPrice: 1,
		Boot: 20 * time.Second, Zones: []string{"a"},
	}}}
}

// newHarness returns a harness for a leader with the settings of most tests.
func newHarness(t *testing.T, term uint64, snap Snapshot) *harness {
	return newHarnessWith(t, testConfig(), term, snap)
}

// newHarnessWith returns a harness for a leader with these settings.
func newHarnessWith(t *testing.T, cfg Config, term uint64, snap Snapshot) *harness {
	h := &harness{
		t: t, cfg: cfg, now: time.Unix(5000, 0),
		sequences: map[string]uint64{}, on: map[string][]fleet.TaskStatus{},
	}
	h.startLeader(term, snap)
	return h
}

// newSimulatedCluster returns a harness for a simulated cluster whose store holds some jobs.
func newSimulatedCluster(t *testing.T, cfg Config, jobs ...StoredJob) *harness {
	h := newHarnessWith(t, cfg, 2, Snapshot{Jobs: jobs})
	h.jobs = jobs
	return h
}

// startLeader replaces the engine by that of a new leader with this term.
func (h *harness) startLeader(term uint64, snap Snapshot) {
	begin := time.Unix(5000, 0)
	h.e = New(begin, h.cfg, term, snap)
	h.e.Step(begin, testCatalog())
}

// heartbeat sends a heartbeat and returns its answer.
func (h *harness) heartbeat(machine string, token uint64, tasks ...fleet.TaskStatus) HeartbeatResponse {
	h.sequences[machine]++
	return h.heartbeatNumbered(machine, token, h.sequences[machine], tasks...)
}

// up sends the first two heartbeats of a machine. Only the second, with this term's fencing token,
// is certainly no late copy.
func (h *harness) up(machine string) {
	h.heartbeat(machine, 0)
	h.heartbeat(machine, h.e.numbers.term)
}

// heartbeatNumbered sends a heartbeat with a sequence number and returns the answer to it, also if
// that is held first.
func (h *harness) heartbeatNumbered(machine string, token, seq uint64, tasks ...fleet.TaskStatus) HeartbeatResponse {
	r := heartbeatFrom(machine, token, seq)
	r.Tasks = tasks
	eff := h.e.Step(h.now, HeartbeatReceived{r})
	if eff.Deposed() && token == h.e.numbers.term {
		h.t.Fatalf("error in the test: %s reports a fencing token that it hasn't received", machine)
	}
	for eff.Response.Hold {
		h.now = h.now.Add(250 * time.Millisecond)
		eff = h.e.Step(h.now, HeldResponseDue{r})
	}
	return *eff.Response
}

// pass lets time pass, with rounds of decisions. written says whether the store accepts the
// engine's writes.
func (h *harness) pass(d time.Duration, written bool) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(200 * time.Millisecond)
		h.e.Step(h.now, Tick{})
		if batch := h.e.Batch(h.now, 10); written && len(batch) > 0 {
			h.e.Step(h.now, WritesStarted{batch})
			h.e.Step(h.now, WritesFinished{Batch: batch, OK: true, Revision: 100})
		}
	}
}

// heartbeatOf sends a heartbeat with an incarnation and a sequence number, and returns the first
// answer even if that is held.
func (h *harness) heartbeatOf(
	machine string, token, incarnation, seq uint64, tasks ...fleet.TaskStatus,
) HeartbeatResponse {
	r := heartbeatFrom(machine, token, seq)
	r.Incarnation, r.Tasks = incarnation, tasks
	return *h.e.Step(h.now, HeartbeatReceived{r}).Response
}

// finish sends a heartbeat that reports the success of a started task.
func (h *harness) finish(machine string, c fleet.Command) HeartbeatResponse {
	return h.heartbeat(machine, h.e.numbers.term, exited(c, fleet.CauseDone))
}

// finalEntry returns a job's final entry if the engine asks for it to be written now.
func (h *harness) finalEntry(ref string) (f pipeline.Final, ok bool) {
	for _, w := range h.e.Batch(h.now, 50) {
		if final, ok := w.(PutFinal); ok && final.Ref == ref {
			return final.Final, true
		}
	}
	return f, false
}

// listInstances sends a list from the cloud with these machines.
func (h *harness) listInstances(machines ...string) {
	var listed []Instance
	for _, name := range machines {
		listed = append(listed, Instance{Name: name, Addr: name, Type: "big", Zone: "a", Status: InstanceRunning})
	}
	h.e.Step(h.now, InstancesListed{Instances: listed})
}

// takeOver starts the next leader with the contents of the store.
func (h *harness) takeOver() {
	h.startLeader(h.e.numbers.term+1, Snapshot{Jobs: h.jobs, Pages: h.pages, Drains: h.stored})
	h.e.started = h.now
}

// run lets time pass. Every three seconds the machines send heartbeats and execute the commands in
// the answers.
func (h *harness) run(length time.Duration) {
	h.t.Helper()
	for end := h.now.Add(length); h.now.Before(end); {
		h.tick(3 * time.Second)
		for _, name := range []string{"m-1", "m-2", "m-3"} {
			if _, up := h.on[name]; up {
				h.exchange(name)
			}
		}
		var list []Instance
		for name := range h.on {
			list = append(list, Instance{Name: name, Type: "big", Zone: "a", Status: InstanceRunning})
		}
		h.step(InstancesListed{Instances: list})
	}
}

// tick lets time pass with rounds and writes.
func (h *harness) tick(passes time.Duration) {
	for end := h.now.Add(passes); h.now.Before(end); {
		h.now = h.now.Add(200 * time.Millisecond)
		h.step(Tick{})
		batch := h.e.Batch(h.now, 10)
		if len(batch) == 0 {
			continue
		}
		h.step(WritesStarted{batch})
		if h.storeDown {
			h.step(WritesFinished{Batch: batch})
			continue
		}
		for _, w := range batch {
			h.store(w)
		}
		h.step(WritesFinished{Batch: batch, OK: true, Revision: 100})
	}
}

// step applies an event to the engine and carries out the effects.
func (h *harness) step(ev Event) Effects {
	effects := h.e.Step(h.now, ev)
	h.requests = append(h.requests, effects.ScaleOut...)
	for _, names := range effects.ScaleIn {
		for _, name := range names {
			delete(h.on, name)
			h.e.Step(h.now, ScaleInAnswered{Machines: []string{name}, OK: true})
		}
	}
	for _, w := range effects.Drains {
		h.storePlan(w.Plan)
		h.e.Step(h.now, DrainPlanWritten{Write: w, OK: true})
	}
	for _, direct := range effects.DirectCommands {
		h.execute(direct.Machine, direct.Commands)
	}
	return effects
}

// store applies a write to the store.
func (h *harness) store(w Write) {
	switch w := w.(type) {
	case PutChargePage:
		h.stored.Charges = append(h.stored.Charges[:0:0], h.stored.Charges...)
		for i, p := range h.stored.Charges {
			if p.Name == w.Name {
				h.stored.Charges[i].Record = w.Record
				return
			}
		}
		h.stored.Charges = append(h.stored.Charges, drain.StoredChargePage{Name: w.Name, Version: 100, Record: w.Record})
	case PutDrainMachinePage:
		h.storeCordons(w.Name, w.Record)
	case DeleteDrainMachinePage:
		h.storeCordons(w.Name, drain.MachinePage{})
	case PutStartLogPage:
		for i, p := range h.pages {
			if p.Name == w.Name {
				h.pages[i].Record = w.Record
				return
			}
		}
		h.pages = append(h.pages, StoredPage{Name: w.Name, Version: 100, Record: w.Record})
	}
}

// storeCordons applies the write of a page of cordons.
func (h *harness) storeCordons(name string, record drain.MachinePage) {
	for i, p := range h.stored.Machines {
		if p.Name == name {
			h.stored.Machines[i].Record = record
			return
		}
	}
	h.stored.Machines = append(h.stored.Machines, drain.StoredMachinePage{Name: name, Version: 100, Record: record})
}

// storePlan stores a drain plan and tells the leader.
func (h *harness) storePlan(p drain.Plan) {
	version := uint64(len(h.stored.Plans) + 1)
	for i, known := range h.stored.Plans {
		if known.Plan.ID == p.ID {
			version = known.Version + 100
			h.stored.Plans = append(h.stored.Plans[:i:i], h.stored.Plans[i+1:]...)
			break
		}
	}
	stored := drain.StoredPlan{Plan: p, Version: version}
	h.stored.Plans = append(h.stored.Plans, stored)
	h.step(DrainPlanStored{Stored: stored})
}

// drainMachine stores a plan that drains one machine.
func (h *harness) drainMachine(name string) {
	h.storePlan(drainPlan("p-"+name, h.now, name))
}

// exchange sends a machine's heartbeat with its tasks, and executes the commands in the answer.
func (h *harness) exchange(name string) {
	response := h.heartbeat(name, h.tokenOf(name), h.on[name]...)
	h.execute(name, response.Commands)
}

// tokenOf returns the fencing token that a machine's worker has.
func (h *harness) tokenOf(name string) uint64 {
	if m := h.e.machines.get(name); m != nil && m.FencingTokenSent() {
		return h.e.numbers.term
	}
	return h.e.numbers.term - 1
}

// execute carries out commands on a machine. A stopped task exits at once, after a checkpoint.
func (h *harness) execute(name string, commands []fleet.Command) {
	for _, c := range commands {
		switch c.Kind {
		case fleet.Start:
			h.on[name] = append(h.on[name], running(c))
		case fleet.Stop:
			for i := range h.on[name] {
				r := &h.on[name][i]
				if r.Ref == c.Ref && r.Task == c.Task && r.Attempt == c.Attempt && r.State != fleet.Exited {
					r.State, r.Cause, r.Checkpointed = fleet.Exited, fleet.CauseStopped, true
					h.evictions++
				}
			}
		case fleet.Forget:
			kept := h.on[name][:0]
			for _, r := range h.on[name] {
				if r.Ref != c.Ref || r.Task != c.Task || r.Attempt != c.Attempt {
					kept = append(kept, r)
				}
			}
			h.on[name] = kept
		}
	}
}

// runsOn counts the running tasks on a machine.
func (h *harness) runsOn(name string) int {
	n := 0
	for _, r := range h.on[name] {
		if r.State == fleet.Running {
			n++
		}
	}
	return n
}

// bringUp adds empty machines to the simulated cluster and sends their first heartbeats.
func (h *harness) bringUp(names ...string) {
	for _, name := range names {
		h.on[name] = []fleet.TaskStatus{}
		h.up(name)
	}
}
