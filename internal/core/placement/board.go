package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Board is what a round decides on, with whom to ask about the cluster and who carries the
// decisions out.
type Board struct {
	Scorer
	Queue        []QueueEntry // in the order in which the jobs may choose
	FreeCapacity *FreeCapacity
	Cluster      Cluster
	Executor     Executor
	// GangSlack is by how much the fetches of a gang's tasks may differ.
	GangSlack time.Duration
	// MaxReservations is for how many jobs that have no room this round keeps or makes some;
	// without any, what the last such round kept stays so.
	MaxReservations int
}

// Cluster tells a round of quotas and of what is on machines, besides the free capacity. What
// the round's Executor has carried out counts at once.
type Cluster interface {
	// Quota is a team's guarantee and limit.
	Quota(team string) Quota
	// Usage is what may be on machines of a team.
	Usage(team string) fleet.Amount
	// Zones counts the attempts of a job that may be on machines by zone.
	Zones(ref string) map[string]int
	// ActiveAttempts counts the attempts of a job that may be on machines.
	ActiveAttempts(ref string) int
	// EndOf is when an attempt is expected to leave its machine.
	EndOf(a *fleet.Attempt) time.Time
	// NeedsCapacityBy is when a job must start to keep its next objective.
	NeedsCapacityBy(j *pipeline.Job) time.Time
	// StartBy is when a job's tasks must have started for its next objective on starting; zero
	// if there is none that it can still keep.
	StartBy(j *pipeline.Job) time.Time
	// MayPreempt reports whether it is worth asking for PreemptionCost on behalf of a job.
	MayPreempt(by *pipeline.Job) bool
	// PreemptionCost reports whether an attempt may be stopped for a job, and what that would
	// cost in seconds.
	PreemptionCost(by *pipeline.Job, a *fleet.Attempt) (cost float64, ok bool)
}

// Executor carries out what a round decides, and says when it has to stop.
type Executor interface {
	// Commit puts a task on a machine.
	Commit(d Decision)
	// Unplaced notes that so many tasks of a job have found no room.
	Unplaced(j *pipeline.Job, tasks int)
	// Preempt stops an attempt to make room.
	Preempt(a *fleet.Attempt)
	// Spent reports whether the budget of this go is used up.
	Spent() bool
}
