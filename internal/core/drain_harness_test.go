package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/placement"
	"gingertally/internal/drain"
)

// drainBench is a bench whose store keeps what the engine writes of drains, so that a next
// leader can take over.
type drainBench struct {
	*bench
	cfg    Config
	stored drain.Stored
	down   bool // the store takes nothing
	pages  []StoredPage
	jobs   []StoredJob
	on     map[string][]fleet.TaskStatus // what runs on each machine
	evicts int                           // stops that machines were told
	rents  []ScaleOut
}

func drainConfig(budgets map[drain.Scope]drain.Budget) Config {
	cfg := config()
	cfg.Teams = map[string]placement.Quota{"t": {}, "u": {}}
	cfg.Drain = &drain.Policy{Budgets: budgets, FinishWait: time.Minute, Skew: 100 * time.Millisecond}
	return cfg
}

func newDrainBench(t *testing.T, cfg Config, jobs ...StoredJob) *drainBench {
	d := &drainBench{cfg: cfg, jobs: jobs, on: map[string][]fleet.TaskStatus{}}
	d.bench = newBenchWith(t, cfg, 2, Snapshot{Jobs: jobs})
	return d
}

// takeOver has the next leader begin, with what is stored.
func (d *drainBench) takeOver() {
	now, term := d.now, d.e.numbers.term+1
	seq := d.seq
	d.bench = newBenchWith(d.t, d.cfg, term, Snapshot{Jobs: d.jobs, Pages: d.pages, Drains: d.stored})
	d.now, d.seq = now, seq
	d.e.started = now
}

// run lets time pass: machines report every three seconds and do what they are told.
func (d *drainBench) run(length time.Duration) {
	d.t.Helper()
	for end := d.now.Add(length); d.now.Before(end); {
		d.tick(3 * time.Second)
		for _, name := range []string{"m-1", "m-2", "m-3"} {
			if _, up := d.on[name]; up {
				d.reports(name)
			}
		}
		var list []Instance
		for name := range d.on {
			list = append(list, Instance{Name: name, Type: "big", Zone: "a", Status: InstanceRunning})
		}
		d.step(InstancesListed{Instances: list})
	}
}

// tick lets time pass with rounds and writes.
func (d *drainBench) tick(passes time.Duration) {
	for end := d.now.Add(passes); d.now.Before(end); {
		d.now = d.now.Add(200 * time.Millisecond)
		d.step(Tick{})
		batch := d.e.Batch(d.now, 10)
		if len(batch) == 0 {
			continue
		}
		d.step(WritesStarted{batch})
		if d.down {
			d.step(WritesFinished{Batch: batch})
			continue
		}
		for _, w := range batch {
			d.store(w)
		}
		d.step(WritesFinished{Batch: batch, OK: true, Revision: 100})
	}
}

// step moves the engine on and carries out what it asks for.
func (d *drainBench) step(ev Event) Effects {
	effects := d.e.Step(d.now, ev)
	d.rents = append(d.rents, effects.ScaleOut...)
	for _, names := range effects.ScaleIn {
		for _, name := range names {
			delete(d.on, name)
			d.e.Step(d.now, ScaleInAnswered{Machines: []string{name}, OK: true})
		}
	}
	for _, w := range effects.Drains {
		d.plan(w.Plan)
		d.e.Step(d.now, DrainPlanWritten{Write: w, OK: true})
	}
	for _, direct := range effects.Direct {
		d.obey(direct.Machine, direct.Commands)
	}
	return effects
}

// store keeps a write.
func (d *drainBench) store(w Write) {
	switch w := w.(type) {
	case PutChargePage:
		d.stored.Charges = append(d.stored.Charges[:0:0], d.stored.Charges...)
		for i, p := range d.stored.Charges {
			if p.Name == w.Name {
				d.stored.Charges[i].Record = w.Record
				return
			}
		}
		d.stored.Charges = append(d.stored.Charges, drain.StoredCharges{Name: w.Name, Version: 100, Record: w.Record})
	case PutCordonPage:
		d.storeCordons(w.Name, w.Record)
	case DeleteCordonPage:
		d.storeCordons(w.Name, drain.MachinePage{})
	case PutStartLogPage:
		for i, p := range d.pages {
			if p.Name == w.Name {
				d.pages[i].Record = w.Record
				return
			}
		}
		d.pages = append(d.pages, StoredPage{Name: w.Name, Version: 100, Record: w.Record})
	}
}

// storeCordons keeps a page of cordons.
func (d *drainBench) storeCordons(name string, record drain.MachinePage) {
	for i, p := range d.stored.Machines {
		if p.Name == name {
			d.stored.Machines[i].Record = record
			return
		}
	}
	d.stored.Machines = append(d.stored.Machines, drain.StoredMachines{Name: name, Version: 100, Record: record})
}

// plan stores a plan and tells the leader.
func (d *drainBench) plan(p drain.Plan) {
	version := uint64(len(d.stored.Plans) + 1)
	for i, known := range d.stored.Plans {
		if known.Plan.ID == p.ID {
			version = known.Version + 100
			d.stored.Plans = append(d.stored.Plans[:i:i], d.stored.Plans[i+1:]...)
			break
		}
	}
	stored := drain.StoredPlan{Plan: p, Version: version}
	d.stored.Plans = append(d.stored.Plans, stored)
	d.step(DrainPlanStored{Stored: stored})
}

// drainMachine asks for one machine to be drained.
func (d *drainBench) drainMachine(name string) {
	d.plan(drain.Plan{ID: "p-" + name, Selector: drain.Selector{Machines: []string{name}}, MaxAtOnce: 1, CreatedMS: d.now.UnixMilli()})
}

// reports has a machine report what runs there and carry out the answer.
func (d *drainBench) reports(name string) {
	reply := d.report(name, d.tokenOf(name), d.on[name]...)
	d.obey(name, reply.Commands)
}

func (d *drainBench) tokenOf(name string) uint64 {
	if m := d.e.machines.get(name); m != nil && m.FencingTokenSent() {
		return d.e.numbers.term
	}
	return d.e.numbers.term - 1
}

// obey carries commands out at a machine: what is stopped has exited, with its progress saved.
func (d *drainBench) obey(name string, commands []fleet.Command) {
	for _, c := range commands {
		switch c.Kind {
		case fleet.Start:
			d.on[name] = append(d.on[name], running(c))
		case fleet.Stop:
			for i := range d.on[name] {
				if r := &d.on[name][i]; r.Ref == c.Ref && r.Task == c.Task && r.Attempt == c.Attempt && r.State != fleet.Exited {
					r.State, r.Cause, r.Checkpointed = fleet.Exited, fleet.CauseStopped, true
					d.evicts++
				}
			}
		case fleet.Forget:
			kept := d.on[name][:0]
			for _, r := range d.on[name] {
				if r.Ref != c.Ref || r.Task != c.Task || r.Attempt != c.Attempt {
					kept = append(kept, r)
				}
			}
			d.on[name] = kept
		}
	}
}

// runsOn counts what runs on a machine.
func (d *drainBench) runsOn(name string) int {
	n := 0
	for _, r := range d.on[name] {
		if r.State == fleet.Running {
			n++
		}
	}
	return n
}

// there brings a machine up.
func (d *drainBench) there(names ...string) {
	for _, name := range names {
		d.on[name] = []fleet.TaskStatus{}
		d.up(name)
	}
}

// longJob is a job of a team that doesn't end and saves.
func longJob(ref, team string, tasks int) StoredJob {
	j := job(ref, tasks)
	j.Record.Spec.Team, j.Record.Spec.CheckpointInterval, j.Record.Spec.CheckpointTime, j.Record.Spec.Estimate = team, time.Second, time.Second, time.Hour
	return j
}

func limit(change func(*drain.Budget)) drain.Budget {
	b := drain.NewBudget()
	change(&b)
	return b
}

// busyAndFree is a bench with all jobs running on m-1, and m-2 free.
func busyAndFree(t *testing.T, cfg Config, jobs ...StoredJob) *drainBench {
	t.Helper()
	d := newDrainBench(t, cfg, jobs...)
	d.there("m-1")
	d.run(12 * time.Second)
	d.there("m-2")
	d.run(9 * time.Second)
	return d
}
