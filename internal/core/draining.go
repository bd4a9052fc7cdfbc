package core

// How operators' drains are joined to the machines and attempts (docs/draining.md). Package
// drain holds the plans, the budgets and the ledger of charges; here machines are cordoned,
// work is evicted, and what has become empty takes the way of every machine that is given back.

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
)

// draining is a leader's part in drains. A nil one stands for none.
type draining struct {
	coordinator  *drain.Coordinator
	replacements replacements
	moving       movingTasks
	own          ownChoices
	voidedAt     time.Time // when charges were last looked for that won't be spent
	newest       string    // last name of a machine that is known
}

func newDraining(now time.Time, e *Engine, stored drain.Stored) *draining {
	pageLimit := func() int { return e.cfg.MaxValueBytes }
	return &draining{
		coordinator:  drain.NewCoordinator(now, e.cfg.Drain, stored, e.numbers.nextPageName, pageLimit),
		replacements: replacements{},
		moving:       movingTasks{},
		own:          ownChoices{},
	}
}

// recoverCharges ends the charges of attempts that no record names any more: an earlier
// leader knew them to be gone. When is not known, so they count from now on.
func (e *Engine) recoverCharges(now time.Time) {
	if e.drains == nil {
		return
	}
	ledger := e.drains.coordinator.Ledger
	for _, c := range ledger.OpenCharges() {
		if e.usage.find(fleet.TaskID{Ref: c.Job, Task: c.Task}, c.Attempt) == nil {
			ledger.End(now, c.TaskKey, c.Attempt)
		}
	}
	for _, job := range ledger.ChargedJobs() {
		if e.jobs.get(job) == nil {
			ledger.JobFinished(job)
		}
	}
}

// drainMachineKnown takes in a machine that is new here: it may be cordoned, or part of a plan.
func (e *Engine) drainMachineKnown(now time.Time, m *fleet.Machine) {
	d := e.drains
	if d == nil {
		return
	}
	d.newest = max(d.newest, m.Name)
	d.coordinator.MachineAdded(drain.MachineID{Name: m.Name, Type: m.Type, Zone: m.Zone})
	e.applyCordon(m)
	if d.coordinator.Emptied(m.Name) {
		e.startDraining(now, m) // it was emptied, and its release may not have been carried out
	}
}

// applyCordon brings a machine's flags in line with the plans.
func (e *Engine) applyCordon(m *fleet.Machine) {
	c := e.drains.coordinator
	cordoned, planned := c.Cordoned(m.Name), c.Queued(m.Name)
	if !m.SetCordon(cordoned, planned) {
		return
	}
	if !cordoned {
		e.drains.replacements.forget(m.Name) // it stays, so nothing is kept in its place
	}
	e.capacityChanged(m)
}

// drainMachineRemoved takes in that a machine is gone.
func (e *Engine) drainMachineRemoved(m *fleet.Machine) {
	d := e.drains
	if d == nil {
		return
	}
	d.coordinator.MachineRemoved(m.Name)
	d.replacements.forget(m.Name)
	d.own.end(m)
}

// drainJobOver takes in that a job is over.
func (e *Engine) drainJobOver(ref string) {
	if e.drains != nil {
		e.drains.coordinator.Ledger.JobFinished(ref)
	}
}

// DrainPlanStored brings a plan's record as the state service holds it.
type DrainPlanStored struct{ Stored drain.StoredPlan }

func (s DrainPlanStored) apply(e *Engine, now time.Time) {
	d := e.drains
	if d == nil {
		return
	}
	uncordoned, fresh := d.coordinator.PlanStored(now, s.Stored)
	for _, name := range uncordoned {
		e.revokeEvictions(name)
	}
	if fresh {
		for m := range e.machines.all() {
			d.coordinator.MachineAdded(drain.MachineID{Name: m.Name, Type: m.Type, Zone: m.Zone})
		}
	}
	for m := range e.machines.all() {
		e.applyCordon(m)
		dm := d.coordinator.Machine(m.Name)
		if s.Stored.Plan.Phase != drain.Running && dm != nil && dm.Plan == s.Stored.Plan.ID {
			e.revokeEvictions(m.Name)
		}
	}
	e.log(LogDrainPlanChanged, slog.String(logKeyPlan, s.Stored.Plan.ID),
		slog.String("phase", s.Stored.Plan.Phase.String()))
}

// DrainPlanWritten says that the write of a plan's record has ended.
type DrainPlanWritten struct {
	Write drain.PlanWrite
	OK    bool
}

func (w DrainPlanWritten) apply(e *Engine, now time.Time) {
	if e.drains != nil {
		e.drains.coordinator.PlanWritten(now, w.Write, w.OK)
	}
}

// DrainStatus is what operators are shown of drains; nil if they are off.
func (e *Engine) DrainStatus(now time.Time) *drain.Status {
	if e.drains == nil {
		return nil
	}
	s := e.drains.coordinator.Status(now)
	return &s
}

// addWrites adds pages of machines and charges that are to be written, before all else: they
// are few, and evictions wait for them. A part of the batch is left to the rest.
func (d *draining) addWrites(now time.Time, b *batch) {
	if d == nil {
		return
	}
	most := max(1, b.remaining/2)
	for _, w := range d.coordinator.MachinePageWrites(most) {
		if w.Delete {
			b.add(DeleteCordonPage{Name: w.Name, Version: w.Version})
		} else {
			b.add(PutCordonPage{Name: w.Name, Version: w.Version, Record: w.Record})
		}
		most--
	}
	for _, w := range d.coordinator.Ledger.Writes(now, most) {
		if w.Delete {
			b.add(DeleteChargePage{Name: w.Name, Version: w.Version})
		} else {
			b.add(PutChargePage{Name: w.Name, Version: w.Version, Record: w.Record})
		}
	}
}

// pending reports whether an eviction or a cordon waits for a write.
func (d *draining) pending() bool { return d != nil && d.coordinator.Pending() }
