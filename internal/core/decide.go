package core

import (
	"fmt"
	"log/slog"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// decideEvery bounds how often a round of decisions is begun without need.
const decideEvery = time.Second

// planEvery is how often rentals and returns are thought about, and room is kept
// or made for what waits: a look at all machines, so less often the more there are.
func (e *Engine) planEvery() time.Duration {
	return min(time.Duration(e.freeCapacity.Size())*planEach, time.Second)
}

const planEach = 4 * time.Millisecond

// settled tells whether a new leader knows enough to place (recovery.Reconciler.MayPlace).
func (e *Engine) settled(now time.Time) bool {
	return e.recovery.MayPlace(now, e.machines.everListed())
}

// reservationsPerRound is for how many jobs a round keeps or makes room.
const reservationsPerRound = 30

// decide runs a round of decisions, then plans what to rent and scales down.
func (e *Engine) decide(now time.Time, spent func() bool) {
	if len(e.catalog) == 0 || !e.settled(now) || (!e.replan && now.Sub(e.placedAt) < decideEvery) {
		return
	}
	if e.attemptsUsedUp() {
		e.out.AttemptNumbersExhausted = true
		return
	}
	e.replan, e.placedAt = false, now
	e.updateFreeCapacity(now)
	plan := now.Sub(e.plannedAt) >= e.planEvery()
	if !e.round.Resumes() {
		e.demand = nil
	}
	looked := 0
	lowest, teams := e.runningWork()
	b := &placement.Board{
		Now: now, Queue: e.priorityOrder(now), FreeCapacity: &e.freeCapacity, SecondsPerDollarHour: e.cfg.Weights.SecondsPerDollarHour, HeartbeatInterval: e.cfg.HeartbeatInterval, GangSlack: max(0, e.cfg.GangWait-e.cfg.HeartbeatInterval*5/4),
		Quota:   func(name string) placement.Quota { return e.cfg.Teams[name] },
		Usage:   func(team string) fleet.Amount { return e.usage.ofTeam(team) },
		InZones: func(ref string) map[string]int { return e.usage.ofJob(ref).zones },
		Busy:    func(ref string) int { return e.usage.ofJob(ref).active() },
		Commit:  func(d placement.Decision) { looked++; e.place(now, d) },
		Unplaced: func(j *pipeline.Job, n int) {
			e.demand = append(e.demand, capacity.Demand{Job: j, Tasks: n, Zones: e.usage.ofJob(j.Ref).zones})
		},
		EndOf:        func(a *fleet.Attempt) time.Time { return e.endOf(now, a) },
		Due:          func(j *pipeline.Job) time.Time { return e.needsCapacityBy(now, j) },
		StartBy:      func(j *pipeline.Job) time.Time { return e.startBy(now, j) },
		MayStop:      func(by *pipeline.Job, a *fleet.Attempt) (float64, bool) { return e.preemptionCost(now, by, a) },
		Stop:         func(a *fleet.Attempt) { e.preempt(now, a) },
		Preempts:     func(by *pipeline.Job) bool { return by.Urgency < lowest || teams > 1 },
		LargeGPUWork: e.largeGPUWork(now),
		Spent: func() bool {
			looked++
			return looked > e.cfg.RoundBudget || (spent != nil && spent())
		},
	}
	if plan {
		b.MaxReservations = reservationsPerRound
	}
	if !e.round.Run(b) {
		e.replan = true
		return
	}
	if !plan {
		return
	}
	e.plannedAt = now
	e.scaleOut(now, e.demand)
	e.scaleInIdle(now, e.demand)
	if len(e.demand) == 0 {
		e.consolidate(now)
	}
}

// largeGPUWork finds the largest task of the recent classes that need GuaranteedGPUs, by type.
func (e *Engine) largeGPUWork(now time.Time) func(t *placement.Type) *pipeline.Spec {
	byType := map[*placement.Type]*pipeline.Spec{}
	for _, t := range e.catalog {
		if t.GPUs == 0 {
			continue
		}
		for _, c := range e.classes {
			if c.spec == nil || c.spec.GPUs == 0 || now.Sub(c.lastAt) > recentClass || !c.spec.AllowsType(t.Name) || !t.Fits(c.spec) {
				continue
			}
			if large := byType[t]; large == nil || larger(t, c.spec, large) {
				byType[t] = c.spec
			}
		}
	}
	return func(t *placement.Type) *pipeline.Spec { return byType[t] }
}

// larger orders tasks by the part of a machine that they take, and then by job.
func larger(t *placement.Type, a, b *pipeline.Spec) bool {
	if x, y := placement.Share(t, a), placement.Share(t, b); x != y {
		return x > y
	}
	return a.Ref < b.Ref
}

// runningWork is the lowest priority of which anything may be on a machine, and
// how many teams have work there.
func (e *Engine) runningWork() (lowest pipeline.Priority, teams int) {
	seen := map[string]bool{}
	for _, j := range e.jobs.inOrder() {
		if e.usage.ofJob(j.Ref).active() > 0 {
			lowest, seen[j.Team] = max(lowest, j.Urgency), true
		}
	}
	return lowest, len(seen)
}

// updateFreeCapacity brings the free capacity up to date with the machines that have changed.
func (e *Engine) updateFreeCapacity(now time.Time) {
	for m := range e.changed {
		delete(e.changed, m)
		t := e.catalog[m.Type]
		switch {
		case t == nil || m.StartBlock().Withdraws():
			e.freeCapacity.Remove(m)
		case m.State() == fleet.Booting && m.ExistenceVerified() && now.Sub(m.FirstSeen()) <= e.slowBoot(t):
			e.freeCapacity.Set(m, t, true)
		case m.State() == fleet.Live && m.TermConfirmed() && m.ExistenceVerified() && !m.HasUnrecorded(), m.HeartbeatExpected():
			e.freeCapacity.Set(m, t, false)
		default:
			e.freeCapacity.Remove(m)
		}
	}
}

// slowBoot is after how long a machine that boots no longer counts as coming.
func (e *Engine) slowBoot(t *placement.Type) time.Duration { return 2*t.Boot + e.cfg.HeartbeatInterval }

// place notes a decision: the start goes out once the store holds that the
// attempt may be on the machine.
func (e *Engine) place(now time.Time, d placement.Decision) {
	j := d.Job
	n := e.nextAttempt()
	if j.Shape == pipeline.Gang && d.Task > 0 {
		n = j.Tasks[0].Attempt // the tasks of a gang find each other by it
	}
	a := &fleet.Attempt{TaskID: fleet.TaskID{Ref: j.Ref, Task: d.Task}, Number: n, CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Image: j.Image,
		NotBefore: now.Add(d.Delay)}
	e.attach(now, d.Slot.Machine, a, fleet.Intended)
	e.startLog.addAttempt(a)
	j.Assign(d.Task, d.Slot.Machine.Name, n)
	e.debug(LogTaskPlaced, logJob(j), slog.Int(logKeyTask, d.Task), logMachine(d.Slot.Machine), slog.String("type", d.Slot.Machine.Type))
}

// scaleOut asks for machines for work that nothing has room for.
func (e *Engine) scaleOut(now time.Time, demand []capacity.Demand) {
	if now.Sub(e.started) < e.cfg.HeartbeatInterval*5/4 {
		return // machines may be there that haven't been heard of yet
	}
	e.recovery.Pacer().Take(true) // bulk starts wait for it, not the other way round
	for _, o := range e.plan.Choose(now, demand, &e.freeCapacity, e.catalog) {
		e.counter++
		e.plan.Requested(o.Offer, o.Count)
		e.out.ScaleOut = append(e.out.ScaleOut, ScaleOut{Name: fmt.Sprintf("r-%d-%d", e.term, e.counter), Type: o.Offer.Type,
			Zone: o.Offer.Zone, Spot: o.Offer.Spot, Count: o.Count})
	}
}
