package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// planEvery returns the interval at which scaling out and in is planned, and capacity is reserved
// or freed by preemption for waiting jobs. Since this goes through all machines, the interval grows
// with their number, up to a second.
func (e *Engine) planEvery() time.Duration {
	return min(time.Duration(e.capacity.free.Size())*planPausePerMachine, time.Second)
}

// planPausePerMachine is the part of the interval between plans that each machine adds.
const planPausePerMachine = 4 * time.Millisecond

// settled reports whether a new leader knows enough to place tasks
// (recovery.Reconciler.MayPlace).
func (e *Engine) settled(now time.Time) bool {
	return e.recovery.MayPlace(now, e.machines.everListed())
}

// reservationsPerRound bounds the number of jobs for which a round reserves or frees capacity.
const reservationsPerRound = 30

// decide runs a pass of a round of decisions, if one is due. At the end of a round it plans
// scaling, if that is due too.
func (e *Engine) decide(now time.Time, spent func() bool) {
	if len(e.catalog) == 0 || !e.settled(now) || !e.rounds.due(now) {
		return
	}
	if e.numbers.attemptsUsedUp() {
		e.out.AttemptNumbersExhausted = true
		return
	}
	e.rounds.begin(now)
	e.updateFreeCapacity(now)
	plan := e.rounds.planDue(now, e.planEvery())
	board := e.newBoard(now, spent)
	if plan {
		board.MaxReservations = reservationsPerRound
	}
	if !e.rounds.run(board) || !plan {
		return
	}
	e.rounds.planned(now)
	demand := e.rounds.demand
	e.scaleOut(now, demand)
	e.scaleInIdle(now, demand)
	if len(demand) == 0 {
		e.consolidate(now)
	}
}

// newBoard returns the input of one pass of a round. It allows no reservations.
func (e *Engine) newBoard(now time.Time, spent func() bool) *placement.Board {
	adapter := e.newPlacementAdapter(now, spent)
	return &placement.Board{
		Scorer: placement.Scorer{
			Now:                  now,
			SecondsPerDollarHour: e.cfg.Weights.SecondsPerDollarHour,
			HeartbeatInterval:    e.cfg.HeartbeatInterval,
			LargeGPUWork:         e.largeGPUWork(now),
		},
		Queue:        e.priorityOrder(now),
		FreeCapacity: &e.capacity.free,
		Cluster:      adapter,
		Executor:     adapter,
		GangSlack:    max(0, e.cfg.GangWait-e.cfg.HeartbeatInterval*5/4),
	}
}

// updateFreeCapacity updates the free capacity with the machines that have changed.
func (e *Engine) updateFreeCapacity(now time.Time) {
	e.capacity.update(now, e.catalog, e.slowBootAfter)
}

// largeGPUWork returns, for each machine type with GPUs, the largest task that fits it of the job
// classes that need GPUs and were seen recently.
func (e *Engine) largeGPUWork(now time.Time) map[*placement.Type]*pipeline.Spec {
	byType := map[*placement.Type]*pipeline.Spec{}
	for _, t := range e.catalog {
		if t.GPUs == 0 {
			continue
		}
		for _, c := range e.classes {
			recent := c.spec != nil && c.spec.GPUs > 0 && now.Sub(c.lastAt) <= recentClassWindow
			if !recent || !c.spec.AllowsType(t.Name) || !t.Fits(c.spec) {
				continue
			}
			if large := byType[t]; large == nil || larger(t, c.spec, large) {
				byType[t] = c.spec
			}
		}
	}
	return byType
}

// larger reports whether a task takes a larger share of a machine than another; job names break
// ties.
func larger(t *placement.Type, a, b *pipeline.Spec) bool {
	if x, y := placement.Share(t, a), placement.Share(t, b); x != y {
		return x > y
	}
	return a.Ref < b.Ref
}

// runningWork returns the lowest urgency (Job.Urgency) among the jobs that may have attempts on
// machines, and how many teams these jobs belong to.
func (e *Engine) runningWork() (lowest pipeline.Priority, teams int) {
	seen := map[string]bool{}
	for _, j := range e.jobs.inOrder() {
		if e.usage.ofJob(j.Ref).active() > 0 {
			lowest, seen[j.Team] = max(lowest, j.Urgency), true
		}
	}
	return lowest, len(seen)
}

// slowBootAfter returns for how long a booting machine of a type counts as upcoming capacity.
func (e *Engine) slowBootAfter(t *placement.Type) time.Duration {
	return 2*t.Boot + e.cfg.HeartbeatInterval
}

// place applies a placement decision. The start is sent once the store holds the record that the
// attempt may be on the machine.
func (e *Engine) place(now time.Time, d placement.Decision) {
	j := d.Job
	n := e.numbers.nextAttempt()
	if j.Shape == pipeline.Gang && d.Task > 0 {
		n = j.Tasks[0].Attempt // the tasks of a gang share the number to find each other
	}
	a := &fleet.Attempt{
		TaskID: fleet.TaskID{Ref: j.Ref, Task: d.Task}, Number: n,
		CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Image: j.Image,
		NotBefore: now.Add(d.Delay),
	}
	e.attach(now, d.Slot.Machine, a, fleet.Intended)
	e.startLog.addAttempt(a)
	j.Assign(d.Task, d.Slot.Machine.Name, n)
	e.debug(LogTaskPlaced, logJob(j), slog.Int(logKeyTask, d.Task), logMachine(d.Slot.Machine),
		slog.String("type", d.Slot.Machine.Type))
}
