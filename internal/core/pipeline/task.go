package pipeline

import (
	"math"
	"time"
)

// TaskState is the state of a task from its job's point of view. The state of an attempt on its
// machine is fleet.AttemptState.
type TaskState uint8

// States of a task.
const (
	Waiting  TaskState = iota // waits to be placed
	Assigned                  // an attempt is, or may be, on a machine
	Finished                  // its result is known; final

	taskStates = iota // number of states
)

// Task is one task of a job.
type Task struct {
	state    TaskState
	restarts uint16    // exits with an error
	Attempt  uint64    // while assigned: the number of the attempt
	Machine  string    // while assigned: the machine of the attempt
	NotUntil time.Time // not placed before this time: back-off after an exit
}

// State returns the task's state.
func (t *Task) State() TaskState { return t.state }

// Restarts returns how often the task exited with an error.
func (t *Task) Restarts() int { return int(t.restarts) }

// setTaskState changes the state of a task, unless the task is finished. No other function changes it.
func (j *Job) setTaskState(i int, to TaskState) {
	t := &j.Tasks[i]
	if t.state == to || t.state == Finished {
		return
	}
	j.counts[t.state]--
	t.state = to
	j.counts[to]++
	switch to {
	case Waiting:
		t.Machine, t.Attempt = "", 0
		j.firstOpenTask = min(j.firstOpenTask, i)
	case Finished:
		t.Machine, t.Attempt = "", 0
		j.done.dirty[i/ChunkTasks] = true
	}
}

// Assign records that an attempt of a waiting task is, or may be, on a machine.
func (j *Job) Assign(i int, machine string, attempt uint64) {
	j.setTaskState(i, Assigned)
	j.Tasks[i].Machine, j.Tasks[i].Attempt = machine, attempt
}

// Requeue records that the attempt of an assigned task is gone without a result: the task waits again.
func (j *Job) Requeue(i int) {
	if j.Tasks[i].state == Assigned {
		j.setTaskState(i, Waiting)
	}
}

// Finish records that the result of a task is known. All tasks of a gang finish together.
func (j *Job) Finish(i int) {
	if j.Shape != Gang {
		j.setTaskState(i, Finished)
		return
	}
	for k := range j.Tasks {
		j.setTaskState(k, Finished)
	}
}

// Count returns how many tasks are in a state.
func (j *Job) Count(s TaskState) int { return j.counts[s] }

// NextWaiting returns the first task at or after from that waits and isn't held back now; -1 if there
// is none.
func (j *Job) NextWaiting(now time.Time, from int) int {
	from = max(from, j.firstOpenTask)
	onlyFinished := true // so far no waiting task was held back, so that firstOpenTask may advance
	for i := from; i < len(j.Tasks); i++ {
		t := &j.Tasks[i]
		if t.state == Waiting {
			if !t.NotUntil.After(now) {
				return i
			}
			onlyFinished = false
		} else if onlyFinished && i == j.firstOpenTask && t.state == Finished {
			j.firstOpenTask = i + 1
		}
	}
	return -1
}

// How long a task is held back after an exit with an error, and how long its job avoids the machine.
const (
	minRetryDelay  = time.Second     // up to the restart limit
	slowRetryDelay = 5 * time.Second // past the limit: doubled with each exit, the first included
	maxDoublings   = 6
	maxRetryDelay  = time.Minute
	// avoidFor is how long a job avoids a machine on which one of its tasks failed. By then the cause
	// of the failure may be gone.
	avoidFor = time.Minute
)

// TaskFailed counts an exit with an error against the task's restart limit, and holds the task back
// for a while. Past the limit the task doesn't fail permanently but is retried at growing intervals.
// They are bounded so that it runs again within a minute and a half once the cause of its failures
// is gone (TestFailedMachineIsTriedAgain).
func (j *Job) TaskFailed(now time.Time, i, limit int) {
	t := &j.Tasks[i]
	if t.restarts < math.MaxUint16 {
		t.restarts++
	}
	j.done.dirty[0] = true // restart counts are in the job's record, as the first chunk is
	t.NotUntil = now.Add(retryDelay(int(t.restarts) - limit))
}

// retryDelay returns how long a task is held back whose exits with an error exceed its restart limit
// by beyondLimit.
func retryDelay(beyondLimit int) time.Duration {
	if beyondLimit <= 0 {
		return minRetryDelay
	}
	return min(slowRetryDelay<<min(beyondLimit, maxDoublings), maxRetryDelay)
}

// Avoid makes the job avoid a machine on which one of its tasks failed, for a while.
func (j *Job) Avoid(now time.Time, machine string) { j.AvoidUntil[machine] = now.Add(avoidFor) }

// Avoids reports whether the job avoids a machine now.
func (j *Job) Avoids(now time.Time, machine string) bool { return now.Before(j.AvoidUntil[machine]) }

// FailsRepeatedly reports whether tasks of the job have failed on more than limit machines, not
// counting machines that were quarantined since. Then the job itself is likely the cause, and is placed
// after all others.
func (j *Job) FailsRepeatedly(limit int) bool { return len(j.AvoidUntil) > limit }
