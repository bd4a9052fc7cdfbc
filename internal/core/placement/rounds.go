package placement

import (
	"slices"
	"time"

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

// Round is a round of decisions that may take several goes.
type Round struct {
	resume string // the job it stopped before
}

// Resumes reports whether the next go continues a round.
func (r *Round) Resumes() bool { return r.resume != "" }

// Run goes through the jobs from where it last stopped until all were looked
// at or the budget is spent; it reports whether it came to the end.
func (r *Round) Run(b *Board) bool {
	from := 0
	if r.resume != "" {
		from = max(0, slices.IndexFunc(b.Queue, func(entry QueueEntry) bool { return entry.Job.Ref == r.resume }))
	}
	r.resume = ""
	if b.MaxReservations > 0 && from == 0 {
		b.FreeCapacity.Clear()
	}
	for _, entry := range b.Queue[from:] {
		j := entry.Job
		if b.Executor.Spent() {
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
