package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// planEvery is how often scaling out and in is planned, and room is kept or made for what
// waits: a look at all machines, so less often the more there are.
func (e *Engine) planEvery() time.Duration {
	return min(time.Duration(e.capacity.free.Size())*planEach, time.Second)
}

// planEach is the pause between plans for each machine.
const planEach = 4 * time.Millisecond

// settled reports whether a new leader knows enough to place (recovery.Reconciler.MayPlace).
func (e *Engine) settled(now time.Time) bool {
	return e.recovery.MayPlace(now, e.machines.everListed())
}

// reservationsPerRound is for how many jobs a round keeps or makes room.
const reservationsPerRound = 30

// decide runs a round of decisions, or goes on with one, and at its end plans scaling.
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

// newBoard makes the board of one go of a round, which reserves nothing.
func (e *Engine) newBoard(now time.Time, spent func() bool) *placement.Board {
	joined := e.newRoundBoard(now, spent)
	return &placement.Board{
		Scorer: placement.Scorer{
			Now:                  now,
			SecondsPerDollarHour: e.cfg.Weights.SecondsPerDollarHour,
			HeartbeatInterval:    e.cfg.HeartbeatInterval,
			LargeGPUWork:         e.largeGPUWork(now),
		},
		Queue:        e.priorityOrder(now),
		FreeCapacity: &e.capacity.free,
		Cluster:      joined,
		Executor:     joined,
		GangSlack:    max(0, e.cfg.GangWait-e.cfg.HeartbeatInterval*5/4),
	}
}

// updateFreeCapacity brings the free capacity up to date with the machines that have changed.
func (e *Engine) updateFreeCapacity(now time.Time) { e.capacity.update(now, e.catalog, e.slowBoot) }

// largeGPUWork finds the largest task of the recent classes that need GPUs, by type.
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

// slowBoot is after how long a machine that boots no longer counts as coming.
func (e *Engine) slowBoot(t *placement.Type) time.Duration { return 2*t.Boot + e.cfg.HeartbeatInterval }

// place notes a decision: the start goes out once the store holds that the
// attempt may be on the machine.
func (e *Engine) place(now time.Time, d placement.Decision) {
	j := d.Job
	n := e.numbers.nextAttempt()
	if j.Shape == pipeline.Gang && d.Task > 0 {
		n = j.Tasks[0].Attempt // the tasks of a gang find each other by it
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
