package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/drain"
)

// harness drives one engine, in either of two ways.
//
// By hand, a test sends each heartbeat itself (heartbeat, up, heartbeatOf) and lets time pass
// with rounds of decisions (pass), where it says whether the store takes what is written.
//
// In a small world (run, tick, step), machines that are brought up with bringUp send their
// heartbeats by themselves and obey what they are told, and a store keeps what the engine
// writes of starts and drains, so that a next leader can take over from it (takeOver).
type harness struct {
	t         *testing.T
	cfg       Config
	e         *Engine
	now       time.Time
	sequences map[string]uint64 // of each machine's newest heartbeat

	// The store of the small world.
	jobs      []StoredJob
	pages     []StoredPage
	stored    drain.Stored
	storeDown bool // it takes nothing

	// Its machines and its cloud.
	on        map[string][]fleet.TaskStatus // what runs on each machine
	evictions int                           // stops that machines were told
	requests  []ScaleOut
}

// testConfig is the settings of most tests.
func testConfig() Config {
	return Config{
		Teams: map[string]placement.Quota{"t": {}}, HeartbeatInterval: 3 * time.Second, Lease: 30 * time.Second,
		CancelWithin: 60 * time.Second, InstanceListLag: 4 * time.Second, RestartLimit: 3,
		BatchInterval: 2 * time.Second, MaxValueBytes: 4000, RoundBudget: 100, Weights: DefaultWeights(),
	}
}

// drainTestConfig is the settings of tests of drains: two teams, and disruption budgets.
func drainTestConfig(budgets map[drain.Scope]drain.Budget) Config {
	cfg := testConfig()
	cfg.Teams = map[string]placement.Quota{"t": {}, "u": {}}
	cfg.Drain = &drain.Policy{Budgets: budgets, FinishWait: time.Minute, Skew: 100 * time.Millisecond}
	return cfg
}

// testCatalog has the one type of machine of most tests.
func testCatalog() CatalogUpdated {
	return CatalogUpdated{placement.Catalog{"big": {
		Name: "big", CPUs: 8, MemGB: 32, CacheGB: 10, FetchGBPerS: 1, Hourly: 1,
		Boot: 20 * time.Second, Zones: []string{"a"},
	}}}
}

// newHarness makes a leader of a term with the settings of most tests.
func newHarness(t *testing.T, term uint64, snap Snapshot) *harness {
	return newHarnessWith(t, testConfig(), term, snap)
}

// newHarnessWith makes a leader of a term.
func newHarnessWith(t *testing.T, cfg Config, term uint64, snap Snapshot) *harness {
	h := &harness{
		t: t, cfg: cfg, now: time.Unix(5000, 0),
		sequences: map[string]uint64{}, on: map[string][]fleet.TaskStatus{},
	}
	h.lead(term, snap)
	return h
}

// newWorld makes a leader in a small world whose store holds some jobs.
func newWorld(t *testing.T, cfg Config, jobs ...StoredJob) *harness {
	h := newHarnessWith(t, cfg, 2, Snapshot{Jobs: jobs})
	h.jobs = jobs
	return h
}

// lead makes the leader of a term.
func (h *harness) lead(term uint64, snap Snapshot) {
	begin := time.Unix(5000, 0)
	h.e = New(begin, h.cfg, term, snap)
	h.e.Step(begin, testCatalog())
}

// heartbeat sends a heartbeat and returns its answer.
func (h *harness) heartbeat(machine string, token uint64, tasks ...fleet.TaskStatus) HeartbeatResponse {
	h.sequences[machine]++
	return h.heartbeatNumbered(machine, token, h.sequences[machine], tasks...)
}

// up brings a machine up that has not been heard of: only its second heartbeat,
// under this term's fencing token, is certainly no late copy.
func (h *harness) up(machine string) {
	h.heartbeat(machine, 0)
	h.heartbeat(machine, h.e.numbers.term)
}

// heartbeatNumbered sends a heartbeat with a sequence number and returns its answer, after a
// hold if there is one.
func (h *harness) heartbeatNumbered(machine string, token, seq uint64, tasks ...fleet.TaskStatus) HeartbeatResponse {
	r := heartbeatFrom(machine, token, seq)
	r.Tasks = tasks
	eff := h.e.Step(h.now, HeartbeatReceived{r})
	if eff.Deposed() && token == h.e.numbers.term {
		h.t.Fatalf("%s reports a token that it wasn't given: the test shows nothing", machine)
	}
	for eff.Response.Held {
		h.now = h.now.Add(250 * time.Millisecond)
		eff = h.e.Step(h.now, HeldResponseDue{r})
	}
	return *eff.Response
}

// pass lets time pass, with rounds of decisions; written says whether the
// store takes what the engine wants written.
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

// heartbeatOf sends a heartbeat of an incarnation, with a sequence number; it isn't held.
func (h *harness) heartbeatOf(
	machine string, token, incarnation, seq uint64, tasks ...fleet.TaskStatus,
) HeartbeatResponse {
	r := heartbeatFrom(machine, token, seq)
	r.Incarnation, r.Tasks = incarnation, tasks
	return *h.e.Step(h.now, HeartbeatReceived{r}).Response
}

// finish has a machine report the end of what it was told to start.
func (h *harness) finish(machine string, c fleet.Command) HeartbeatResponse {
	return h.heartbeat(machine, h.e.numbers.term, exited(c, fleet.CauseDone))
}

// ended tells how a job ended, if its final entry is to be written now.
func (h *harness) ended(ref string) (f pipeline.Final, ok bool) {
	for _, w := range h.e.Batch(h.now, 50) {
		if final, ok := w.(PutFinal); ok && final.Ref == ref {
			return final.Final, true
		}
	}
	return f, false
}

// list has the cloud list machines.
func (h *harness) list(machines ...string) {
	var listed []Instance
	for _, name := range machines {
		listed = append(listed, Instance{Name: name, Addr: name, Type: "big", Zone: "a", Status: InstanceRunning})
	}
	h.e.Step(h.now, InstancesListed{Instances: listed})
}

// takeOver has the next leader begin, with what is stored.
func (h *harness) takeOver() {
	h.lead(h.e.numbers.term+1, Snapshot{Jobs: h.jobs, Pages: h.pages, Drains: h.stored})
	h.e.started = h.now
}

// run lets time pass: machines send heartbeats every three seconds and do what they are told.
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

// step moves the engine on and carries out what it asks for.
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
		h.plan(w.Plan)
		h.e.Step(h.now, DrainPlanWritten{Write: w, OK: true})
	}
	for _, direct := range effects.Direct {
		h.obey(direct.Machine, direct.Commands)
	}
	return effects
}

// store keeps a write.
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
		h.stored.Charges = append(h.stored.Charges, drain.StoredCharges{Name: w.Name, Version: 100, Record: w.Record})
	case PutCordonPage:
		h.storeCordons(w.Name, w.Record)
	case DeleteCordonPage:
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

// storeCordons keeps a page of cordons.
func (h *harness) storeCordons(name string, record drain.MachinePage) {
	for i, p := range h.stored.Machines {
		if p.Name == name {
			h.stored.Machines[i].Record = record
			return
		}
	}
	h.stored.Machines = append(h.stored.Machines, drain.StoredMachines{Name: name, Version: 100, Record: record})
}

// plan stores a plan and tells the leader.
func (h *harness) plan(p drain.Plan) {
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

// drainMachine asks for one machine to be drained.
func (h *harness) drainMachine(name string) {
	h.plan(drainPlan("p-"+name, h.now, name))
}

// exchange has a machine send a heartbeat with what runs there, and carry out the answer.
func (h *harness) exchange(name string) {
	response := h.heartbeat(name, h.tokenOf(name), h.on[name]...)
	h.obey(name, response.Commands)
}

// tokenOf is the fencing token that a machine's worker has.
func (h *harness) tokenOf(name string) uint64 {
	if m := h.e.machines.get(name); m != nil && m.FencingTokenSent() {
		return h.e.numbers.term
	}
	return h.e.numbers.term - 1
}

// obey carries commands out at a machine: what is stopped has exited, with its progress saved.
func (h *harness) obey(name string, commands []fleet.Command) {
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

// runsOn counts what runs on a machine.
func (h *harness) runsOn(name string) int {
	n := 0
	for _, r := range h.on[name] {
		if r.State == fleet.Running {
			n++
		}
	}
	return n
}

// bringUp brings machines up.
func (h *harness) bringUp(names ...string) {
	for _, name := range names {
		h.on[name] = []fleet.TaskStatus{}
		h.up(name)
	}
}
