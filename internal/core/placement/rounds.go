package placement

import (
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// Decision assigns a task of a job to a machine.
type Decision struct {
	Job   *pipeline.Job
	Task  int
	Slot  *Slot
	Delay time.Duration // by which its start is delayed
}

// QueueEntry is the entry of a job in the queue of a round. A job may have several.
type QueueEntry struct {
	Job             *pipeline.Job
	MaxTasks        int  // most tasks to place for this entry; ignored for gangs
	ImageCachedOnly bool // of an array: only on machines that have its image within cachedWithin
}

// Round is a round of decisions, which may take several passes, each a call of Run.
type Round struct {
	resume string // the job at which the next pass resumes; empty: it begins a new round
}

// Resumes reports whether the next pass continues a round.
func (r *Round) Resumes() bool { return r.resume != "" }

// Run carries out a pass: it goes through the queue from where the last pass stopped, until its end or
// until the budget is spent. It reports whether it has reached the end.
func (r *Round) Run(b *Board) bool {
	from := 0
	if r.resume != "" {
		from = max(0, slices.IndexFunc(b.Queue, func(entry QueueEntry) bool { return entry.Job.Ref == r.resume }))
	}
	r.resume = ""
	if b.MaxReservations > 0 && from == 0 {
		b.FreeCapacity.ClearReservations()
	}
	for _, entry := range b.Queue[from:] {
		j := entry.Job
		if b.Executor.BudgetSpent() {
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
			b.placeReplicas(entry)
		default:
			b.placeTasks(entry)
		}
	}
	return true
}
