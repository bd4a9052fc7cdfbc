package core

import (
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// placementAdapter connects one pass of a round of decisions to the engine: as placement.Cluster it
// gives the round the state of the cluster, as placement.Executor it carries out the decisions.
type placementAdapter struct {
	engine *Engine
	now    time.Time
	spent  func() bool // whether the time budget is used up; nil if there is none
	steps  int         // jobs considered and tasks placed in this pass

	// The work on machines, which decides whether preemption can help a job at all.
	lowest pipeline.Priority // lowest urgency of the jobs that may have attempts on machines
	teams  int               // number of teams of these jobs
}

var (
	_ placement.Cluster  = (*placementAdapter)(nil)
	_ placement.Executor = (*placementAdapter)(nil)
)

func (e *Engine) newPlacementAdapter(now time.Time, spent func() bool) *placementAdapter {
	b := &placementAdapter{engine: e, now: now, spent: spent}
	b.lowest, b.teams = e.runningWork()
	return b
}

// Quota implements placement.Cluster.
func (b *placementAdapter) Quota(team string) placement.Quota { return b.engine.cfg.Teams[team] }

// Usage implements placement.Cluster.
func (b *placementAdapter) Usage(team string) fleet.Amount { return b.engine.usage.ofTeam(team) }

// Zones implements placement.Cluster.
func (b *placementAdapter) Zones(ref string) map[string]int { return b.engine.usage.ofJob(ref).zones }

// ActiveAttempts implements placement.Cluster.
func (b *placementAdapter) ActiveAttempts(ref string) int { return b.engine.usage.ofJob(ref).active() }

// ExpectedEnd implements placement.Cluster.
func (b *placementAdapter) ExpectedEnd(a *fleet.Attempt) time.Time {
	return b.engine.expectedEnd(b.now, a)
}

// NeedsCapacityBy implements placement.Cluster.
func (b *placementAdapter) NeedsCapacityBy(j *pipeline.Job) time.Time {
	return b.engine.needsCapacityBy(b.now, j)
}

// StartBy implements placement.Cluster.
func (b *placementAdapter) StartBy(j *pipeline.Job) time.Time { return b.engine.startBy(b.now, j) }

// MayPreempt implements placement.Cluster.
func (b *placementAdapter) MayPreempt(by *pipeline.Job) bool {
	return by.Urgency < b.lowest || b.teams > 1
}

// PreemptionCost implements placement.Cluster.
func (b *placementAdapter) PreemptionCost(by *pipeline.Job, a *fleet.Attempt) (cost float64, ok bool) {
	return b.engine.preemptionCost(b.now, by, a)
}

// Commit implements placement.Executor.
func (b *placementAdapter) Commit(d placement.Decision) {
	b.steps++
	b.engine.place(b.now, d)
}

// Unplaced implements placement.Executor. The demand shares the job's map of zones, and so includes
// tasks of the job that are placed later.
func (b *placementAdapter) Unplaced(j *pipeline.Job, tasks int) {
	zones := b.engine.usage.ofJob(j.Ref).zones
	b.engine.rounds.addDemand(capacity.Demand{Job: j, Tasks: tasks, Zones: zones})
}

// Preempt implements placement.Executor.
func (b *placementAdapter) Preempt(a *fleet.Attempt) { b.engine.preempt(b.now, a) }

// BudgetSpent implements placement.Executor.
func (b *placementAdapter) BudgetSpent() bool {
	b.steps++
	return b.steps > b.engine.cfg.MaxRoundSteps || (b.spent != nil && b.spent())
}
