package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Board holds the inputs of a round of decisions, and the interfaces through which the round asks
// about the cluster and has its decisions carried out.
type Board struct {
	Scorer
	Queue        []QueueEntry // in the order in which the jobs are placed
	FreeCapacity *FreeCapacity
	Cluster      Cluster
	Executor     Executor
	// GangSlack is the tolerated difference between the ends of the image fetches of a gang's tasks.
	GangSlack time.Duration
	// MaxReservations is the number of jobs without room for which this round may reserve capacity or
	// preempt attempts. If it is 0, the reservations of earlier rounds stay in force; else a new round
	// begins by clearing them.
	MaxReservations int
}

// Cluster tells a round about quotas and about what is on machines, besides the free capacity. It
// reflects what the round's Executor has carried out so far.
type Cluster interface {
	// Quota returns a team's guarantee and limit.
	Quota(team string) Quota
	// Usage returns the resources of a team's attempts that may be on machines.
	Usage(team string) fleet.Amount
	// Zones returns the number of a job's attempts that may be on machines, by zone.
	Zones(ref string) map[string]int
	// ActiveAttempts returns the number of a job's attempts that may be on machines.
	ActiveAttempts(ref string) int
	// ExpectedEnd returns when an attempt is expected to leave its machine.
	ExpectedEnd(a *fleet.Attempt) time.Time
	// NeedsCapacityBy returns when a job must start to meet its next objective.
	NeedsCapacityBy(j *pipeline.Job) time.Time
	// StartBy returns when a job's tasks must have started for its next objective on starting; zero
	// if there is none that it can still meet.
	StartBy(j *pipeline.Job) time.Time
	// MayPreempt reports whether PreemptionCost is worth calling for a job; it is false if no attempt
	// at all may be stopped for it.
	MayPreempt(by *pipeline.Job) bool
	// PreemptionCost reports whether an attempt may be stopped for a job, and at what cost in
	// seconds.
	PreemptionCost(by *pipeline.Job, a *fleet.Attempt) (cost float64, ok bool)
}

// Executor carries out the decisions of a round, and limits its work.
type Executor interface {
	// Commit assigns a task to a machine.
	Commit(d Decision)
	// Unplaced records that the given number of a job's tasks have found no room.
	Unplaced(j *pipeline.Job, tasks int)
	// Preempt stops an attempt to make room.
	Preempt(a *fleet.Attempt)
	// BudgetSpent reports whether the budget of this pass is used up. Run calls it once before each
	// entry of the queue, so that an Executor may count the calls.
	BudgetSpent() bool
}
