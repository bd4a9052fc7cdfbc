package core

import (
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// roundBoard joins one go of a round of decisions to the engine: it tells the round of the
// cluster, as placement.Cluster, and carries out what the round decides, as placement.Executor.
type roundBoard struct {
	engine *Engine
	now    time.Time
	spent  func() bool // whether the time budget is used up; nil: never
	looked int         // jobs looked at and tasks placed

	// Whether preemption may help a job at all depends on what runs.
	lowest pipeline.Priority // of which anything may be on a machine
	teams  int               // that have work on machines
}

var (
	_ placement.Cluster  = (*roundBoard)(nil)
	_ placement.Executor = (*roundBoard)(nil)
)

func (e *Engine) newRoundBoard(now time.Time, spent func() bool) *roundBoard {
	b := &roundBoard{engine: e, now: now, spent: spent}
	b.lowest, b.teams = e.runningWork()
	return b
}

// Quota implements placement.Cluster.
func (b *roundBoard) Quota(team string) placement.Quota { return b.engine.cfg.Teams[team] }

// Usage implements placement.Cluster.
func (b *roundBoard) Usage(team string) fleet.Amount { return b.engine.usage.ofTeam(team) }

// Zones implements placement.Cluster.
func (b *roundBoard) Zones(ref string) map[string]int { return b.engine.usage.ofJob(ref).zones }

// ActiveAttempts implements placement.Cluster.
func (b *roundBoard) ActiveAttempts(ref string) int { return b.engine.usage.ofJob(ref).active() }

// EndOf implements placement.Cluster.
func (b *roundBoard) EndOf(a *fleet.Attempt) time.Time { return b.engine.expectedEnd(b.now, a) }

// NeedsCapacityBy implements placement.Cluster.
func (b *roundBoard) NeedsCapacityBy(j *pipeline.Job) time.Time {
	return b.engine.needsCapacityBy(b.now, j)
}

// StartBy implements placement.Cluster.
func (b *roundBoard) StartBy(j *pipeline.Job) time.Time { return b.engine.startBy(b.now, j) }

// MayPreempt implements placement.Cluster.
func (b *roundBoard) MayPreempt(by *pipeline.Job) bool { return by.Urgency < b.lowest || b.teams > 1 }

// PreemptionCost implements placement.Cluster.
func (b *roundBoard) PreemptionCost(by *pipeline.Job, a *fleet.Attempt) (cost float64, ok bool) {
	return b.engine.preemptionCost(b.now, by, a)
}

// Commit implements placement.Executor.
func (b *roundBoard) Commit(d placement.Decision) {
	b.looked++
	b.engine.place(b.now, d)
}

// Unplaced implements placement.Executor. The demand sees it when more of the job is placed.
func (b *roundBoard) Unplaced(j *pipeline.Job, tasks int) {
	zones := b.engine.usage.ofJob(j.Ref).zones
	b.engine.rounds.addDemand(capacity.Demand{Job: j, Tasks: tasks, Zones: zones})
}

// Preempt implements placement.Executor.
func (b *roundBoard) Preempt(a *fleet.Attempt) { b.engine.preempt(b.now, a) }

// Spent implements placement.Executor.
func (b *roundBoard) Spent() bool {
	b.looked++
	return b.looked > b.engine.cfg.RoundBudget || (b.spent != nil && b.spent())
}
