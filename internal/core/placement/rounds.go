package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Decision puts a task of a job on a machine.
type Decision struct {
	Job   *pipeline.Job
	Task  int
	Slot  *Slot
	Delay time.Duration // how long to put its start off
}

// QueueEntry is a job's place in the queue of a round, how many of its tasks it may place there, and
// whether only where its image is there already or soon.
type QueueEntry struct {
	Job             *pipeline.Job
	Most            int
	ImageCachedOnly bool
}

// Board is what a round decides on.
type Board struct {
	Now          time.Time
	Queue        []QueueEntry // in ready order
	FreeCapacity *FreeCapacity
	Quota        func(name string) Quota
	Usage        func(team string) fleet.Amount
	InZones      func(ref string) map[string]int // what of a job may be on machines
	Busy         func(ref string) int
	Commit       func(Decision)
	Unplaced     func(j *pipeline.Job, tasks int)
	EndOf        func(a *fleet.Attempt) time.Time // when an attempt is expected to leave
	Due          func(j *pipeline.Job) time.Time  // when a job must start to keep its next aim
	StartBy      func(j *pipeline.Job) time.Time  // when its tasks must have started for its next aim on starting
	// MayStop tells whether an attempt may be stopped for a job, and what that
	// would cost in seconds; Stop stops it. Preempts tells whether it is worth
	// asking.
	MayStop  func(by *pipeline.Job, a *fleet.Attempt) (cost float64, ok bool)
	Stop     func(a *fleet.Attempt)
	Preempts func(by *pipeline.Job) bool
	// LargeGPUWork is the largest task of recent work that needs GuaranteedGPUs of a type; nil: none.
	LargeGPUWork func(t *Type) *pipeline.Spec
	// SecondsPerDollarHour weighs a dearer place against time lost on fetching.
	SecondsPerDollarHour float64
	HeartbeatInterval    time.Duration
	// GangSlack is by how much the fetches of a gang's tasks may differ.
	GangSlack time.Duration
	// MaxReservations is for how many jobs that have no room this round keeps or makes some;
	// without any, what the last such round kept stays so.
	MaxReservations int
	Spent           func() bool
}

// Round is a round of decisions that may take several goes.
type Round struct {
	resume string // the job it stopped before
}

// Resumes tells whether the next go continues a round.
func (r *Round) Resumes() bool { return r.resume != "" }

// Run goes through the jobs from where it last stopped until all were looked
// at or the budget is spent; it tells whether it came to the end.
func (r *Round) Run(b *Board) bool {
	from := 0
	if r.resume != "" {
		for i, t := range b.Queue {
			if t.Job.Ref == r.resume {
				from = i
				break
			}
		}
	}
	r.resume = ""
	if b.MaxReservations > 0 && from == 0 {
		b.FreeCapacity.Clear()
	}
	for _, t := range b.Queue[from:] {
		j := t.Job
		if b.Spent != nil && b.Spent() {
			r.resume = j.Ref
			return false
		}
		if j.Phase() != pipeline.Active || j.Count(pipeline.Waiting) == 0 {
			continue
		}
		switch j.Shape {
		case pipeline.Gang:
			b.placeGang(j)
		case pipeline.Service:
			b.placeReplicas(t)
		default:
			b.placeTasks(t)
		}
	}
	return true
}
