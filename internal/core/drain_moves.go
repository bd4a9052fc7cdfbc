package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// movingTasks are the tasks that are being evicted and aren't placed elsewhere yet.
type movingTasks map[fleet.TaskID]*movingTask

// movingTask is one of them, with the attempt that was evicted.
type movingTask struct {
	job     *pipeline.Job
	task    int
	attempt uint64
}

// add notes that an attempt of a job is evicted.
func (t movingTasks) add(j *pipeline.Job, a *fleet.Attempt) {
	t[a.TaskID] = &movingTask{job: j, task: a.Task, attempt: a.Number}
}

// sorted lists the tasks by job and number.
func (t movingTasks) sorted() []*movingTask {
	if len(t) == 0 {
		return nil
	}
	out := slices.AppendSeq(make([]*movingTask, 0, len(t)), maps.Values(t)) // there may be thousands
	slices.SortFunc(out, func(a, b *movingTask) int {
		if c := cmp.Compare(a.job.Ref, b.job.Ref); c != 0 {
			return c
		}
		return cmp.Compare(a.task, b.task)
	})
	return out
}

// forgetPlaced forgets tasks that have been placed elsewhere, or are over.
func (t movingTasks) forgetPlaced() {
	maps.DeleteFunc(t, func(id fleet.TaskID, moving *movingTask) bool {
		task := &moving.job.Tasks[id.Task]
		elsewhere := task.State() == pipeline.Assigned && task.Attempt != moving.attempt
		return elsewhere || task.State() == pipeline.Finished || moving.job.Over()
	})
}

// ownChoices are the machines that the scheduler empties by its own choice, under budgets, and
// since when.
type ownChoices map[*fleet.Machine]time.Time

// begin notes that a machine is being emptied.
func (o ownChoices) begin(now time.Time, m *fleet.Machine) { o[m] = now }

// end notes that a machine is empty, gone, or kept after all.
func (o ownChoices) end(m *fleet.Machine) { delete(o, m) }

// since is for how long a machine has been emptied.
func (o ownChoices) since(now time.Time, m *fleet.Machine) time.Duration { return now.Sub(o[m]) }

// sorted lists the machines by name.
func (o ownChoices) sorted() []*fleet.Machine {
	if len(o) == 0 {
		return nil // asked with every round
	}
	return slices.SortedFunc(maps.Keys(o), func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) })
}
