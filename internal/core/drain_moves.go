package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// movingTasks holds the tasks that are being evicted and aren't placed elsewhere yet.
type movingTasks map[fleet.TaskID]*movingTask

// movingTask is a task that is being evicted, with the number of its evicted attempt.
type movingTask struct {
	job     *pipeline.Job
	task    int
	attempt uint64
}

// add records that an attempt of a job is evicted.
func (t movingTasks) add(j *pipeline.Job, a *fleet.Attempt) {
	t[a.TaskID] = &movingTask{job: j, task: a.Task, attempt: a.Number}
}

// sorted returns the tasks by job and number.
func (t movingTasks) sorted() []*movingTask {
	if len(t) == 0 {
		return nil
	}
	out := slices.AppendSeq(make([]*movingTask, 0, len(t)), maps.Values(t)) // allocated once: there may be thousands
	slices.SortFunc(out, func(a, b *movingTask) int {
		if c := cmp.Compare(a.job.Ref, b.job.Ref); c != 0 {
			return c
		}
		return cmp.Compare(a.task, b.task)
	})
	return out
}

// forgetPlaced removes the tasks that have been placed elsewhere or have finished, and those of
// jobs that are over.
func (t movingTasks) forgetPlaced() {
	maps.DeleteFunc(t, func(id fleet.TaskID, moving *movingTask) bool {
		task := &moving.job.Tasks[id.Task]
		elsewhere := task.State() == pipeline.Assigned && task.Attempt != moving.attempt
		return elsewhere || task.State() == pipeline.Finished || moving.job.Over()
	})
}

// consolidatingMachines holds since when consolidation has been emptying each machine with tasks
// under disruption budgets.
type consolidatingMachines map[*fleet.Machine]time.Time

// begin records that a machine is being emptied.
func (c consolidatingMachines) begin(now time.Time, m *fleet.Machine) { c[m] = now }

// end removes a machine that is empty, gone, or kept after all.
func (c consolidatingMachines) end(m *fleet.Machine) { delete(c, m) }

// elapsed returns for how long a machine has been emptied.
func (c consolidatingMachines) elapsed(now time.Time, m *fleet.Machine) time.Duration {
	return now.Sub(c[m])
}

// sorted returns the machines by name.
func (c consolidatingMachines) sorted() []*fleet.Machine {
	if len(c) == 0 {
		return nil // usual; this is called in every round
	}
	return slices.SortedFunc(maps.Keys(c), func(a, b *fleet.Machine) int { return cmp.Compare(a.Name, b.Name) })
}
