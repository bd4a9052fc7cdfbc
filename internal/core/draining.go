package core

// Drains of machines by operators (docs/draining.md). Package drain holds the plans, the budgets
// and the ledger of charges. Here machines are cordoned and work is evicted; a machine that has
// become empty is released like any other.

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
)

// draining is a leader's state of drains. A nil *draining means that drains are off.
type draining struct {
	coordinator      *drain.Coordinator
	replacements     replacements
	moving           movingTasks
	consolidating    consolidatingMachines
	chargesCheckedAt time.Time // when unused charges were last searched for
	lastMachine      string    // the highest name of a machine so far
}

func newDraining(now time.Time, e *Engine, stored drain.Stored) *draining {
	pageLimit := func() int { return e.cfg.MaxValueBytes }
	return &draining{
		coordinator:   drain.NewCoordinator(now, e.cfg.Drain, stored, e.numbers.nextPageName, pageLimit),
		replacements:  replacements{},
		moving:        movingTasks{},
		consolidating: consolidatingMachines{},
	}
}

// recoverCharges ends the charges of attempts that no record names any more: an earlier leader knew
// them to be gone. When they went isn't known, so the charges count as ended now. Charged jobs that
// no longer exist are marked as finished.
func (e *Engine) recoverCharges(now time.Time) {
	if e.drains == nil {
		return
	}
	ledger := e.drains.coordinator.Ledger
	for _, c := range ledger.OpenCharges() {
		if e.usage.find(fleet.TaskID{Ref: c.Job, Task: c.Task}, c.Attempt) == nil {
			ledger.AttemptGone(now, c.TaskKey, c.Attempt)
		}
	}
	for _, job := range ledger.ChargedJobs() {
		if e.jobs.get(job) == nil {
			ledger.JobFinished(job)
		}
	}
}

// drainMachineAdded applies the drain plans to a machine that is new to this leader: it may be
// cordoned already, or selected by a plan.
func (e *Engine) drainMachineAdded(now time.Time, m *fleet.Machine) {
	d := e.drains
	if d == nil {
		return
	}
	d.lastMachine = max(d.lastMachine, m.Name)
	d.coordinator.MachineAdded(drain.MachineInfo{Name: m.Name, Type: m.Type, Zone: m.Zone})
	e.applyCordon(m)
	if d.coordinator.Emptied(m.Name) {
		e.startDraining(now, m) // it was emptied, and its release may not have been carried out
	}
}

// applyCordon sets a machine's cordon flags as the plans say.
func (e *Engine) applyCordon(m *fleet.Machine) {
	c := e.drains.coordinator
	cordoned, planned := c.Cordoned(m.Name), c.Queued(m.Name)
	if !m.SetCordon(cordoned, planned) {
		return
	}
	if !cordoned {
		e.drains.replacements.forget(m.Name) // the machine stays, and its replacement becomes an ordinary one
	}
	e.capacityChanged(m)
}

// drainMachineRemoved removes a machine that no longer exists from the state of drains.
func (e *Engine) drainMachineRemoved(m *fleet.Machine) {
	d := e.drains
	if d == nil {
		return
	}
	d.coordinator.MachineRemoved(m.Name)
	d.replacements.forget(m.Name)
	d.consolidating.end(m)
}

// drainJobOver tells the ledger of charges that a job is over.
func (e *Engine) drainJobOver(ref string) {
	if e.drains != nil {
		e.drains.coordinator.Ledger.JobFinished(ref)
	}
}

// DrainPlanStored carries a plan's record as the state service holds it.
type DrainPlanStored struct{ Stored drain.StoredPlan }

func (s DrainPlanStored) apply(e *Engine, now time.Time) {
	d := e.drains
	if d == nil {
		return
	}
	uncordoned, needsMachines := d.coordinator.PlanStored(now, s.Stored)
	for _, name := range uncordoned {
		e.revokeEvictions(name)
	}
	if needsMachines {
		for m := range e.machines.all() {
			d.coordinator.MachineAdded(drain.MachineInfo{Name: m.Name, Type: m.Type, Zone: m.Zone})
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

// DrainStatus returns the state of drains for operators; nil if drains are off.
func (e *Engine) DrainStatus(now time.Time) *drain.Status {
	if e.drains == nil {
		return nil
	}
	s := e.drains.coordinator.Status(now)
	return &s
}

// addWrites adds writes of changed pages of machines and charges to a batch, ahead of all other
// writes: they are few, and evictions wait for them. They take no more than half of the batch, or
// one write.
func (d *draining) addWrites(now time.Time, b *batch) {
	if d == nil {
		return
	}
	limit := max(1, b.remaining/2)
	for _, w := range d.coordinator.MachinePageWrites(limit) {
		if w.Delete {
			b.add(DeleteDrainMachinePage{Name: w.Name, Version: w.Version})
		} else {
			b.add(PutDrainMachinePage{Name: w.Name, Version: w.Version, Record: w.Record})
		}
		limit--
	}
	for _, w := range d.coordinator.Ledger.Writes(now, limit) {
		if w.Delete {
			b.add(DeleteChargePage{Name: w.Name, Version: w.Version})
		} else {
			b.add(PutChargePage{Name: w.Name, Version: w.Version, Record: w.Record})
		}
	}
}

// pending reports whether an eviction or a cordon waits for a write.
func (d *draining) pending() bool { return d != nil && d.coordinator.Pending() }
