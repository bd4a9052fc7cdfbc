// Package pipeline holds the state machines of jobs and tasks, their records in the
// store, and the graph of jobs that depend on each other. The notions are those of
// "Workflow Recovery" (Eder, Liebhart; see docs/design.md, "From the paper").
package pipeline

import (
	"fmt"
	"math"
	"time"
)

// Phase is where a job is in its life.
type Phase uint8

// Phases of a job. Done and Cancelled are final. Held is never stored: a record
// says Active, with the jobs that have to be done first.
const (
	Active Phase = iota
	Done
	Cancelled
	Held // waits for other jobs
)

var phaseNames = [...]string{"active", "done", "cancelled", "held"}

// String returns the phase's name, as the log has it.
func (p Phase) String() string { return phaseNames[p] }

// TaskState is the state of one task as far as its pipeline is concerned.
type TaskState uint8

// States of a task.
const (
	Waiting  TaskState = iota // may be placed
	Assigned                  // an attempt is, or may be, on a machine
	Finished                  // its result is known

	taskStates = iota // how many there are
)

// Task is one task of a job.
type Task struct {
	state    TaskState
	restarts uint16
	Attempt  uint64    // the attempt it is assigned to
	Machine  string    // where that attempt is
	NotUntil time.Time // back-off after a bad exit
}

// State returns the task's state.
func (t *Task) State() TaskState { return t.state }

// Restarts returns how often the task ended with an error.
func (t *Task) Restarts() int { return int(t.restarts) }

// Job is the state of one job.
type Job struct {
	Spec
	Version        uint64 // of its record in the store
	Submitted      time.Time
	Since          time.Time    // from when its times count: submitted, or the end of its last dependency
	CancelAt       time.Time    // zero unless it is cancelled
	Started        bool         // a task of it has run
	StartSent      bool         // a start of it was given in this term
	Urgency        Priority     // the highest among its own and those of its dependents
	CriticalPath   CriticalPath // to the dependent with a deadline that leaves it the least time
	Tasks          []Task
	AvoidUntil     map[string]time.Time // machines where it failed, and until when it avoids them
	phase          Phase
	storedPhase    Phase // the phase that the store is known to hold
	dependencies   dependencies
	done           doneRanges
	minRecordBytes int             // bytes that its record takes at the least
	counts         [taskStates]int // tasks by state
	firstOpenTask  int             // no task before it is waiting
}

// NewJob builds a job's state from its record; chunks hold the done ranges past
// the first chunk by number.
func NewJob(r Record, version uint64, chunks map[int][]int) (*Job, error) {
	if r.Spec.Tasks <= 0 {
		return nil, fmt.Errorf("job %s: record without tasks", r.Spec.Ref)
	}
	if r.Held() && len(r.Dependencies) == 0 {
		return nil, fmt.Errorf("job %s: record without the jobs that it waits for", r.Spec.Ref)
	}
	j := &Job{Spec: r.Spec, Version: version, Submitted: time.UnixMilli(r.SubmittedMS), Urgency: r.Spec.Priority,
		phase: r.Phase, storedPhase: r.Phase, Tasks: make([]Task, r.Spec.Tasks),
		AvoidUntil: map[string]time.Time{}, done: doneRanges{dirty: map[int]bool{}}}
	if r.CancelledMS != 0 {
		j.CancelAt = time.UnixMilli(r.CancelledMS)
	}
	j.Since = j.Submitted
	if r.ReadyMS != 0 {
		j.Since = time.UnixMilli(r.ReadyMS)
	}
	j.minRecordBytes = (&Record{Spec: r.Spec}).Bytes()
	j.loadDependencies(&r)
	j.counts[Waiting] = r.Spec.Tasks
	j.loadChunk(0, r.Done)
	for c, runs := range chunks {
		j.loadChunk(c, runs)
	}
	j.loadRestarts(r.Restarts)
	return j, nil
}

// loadRestarts takes over pairs of task and restart count.
func (j *Job) loadRestarts(pairs []int) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if task := pairs[i]; task >= 0 && task < len(j.Tasks) {
			j.Tasks[task].restarts = uint16(min(pairs[i+1], math.MaxUint16))
		}
	}
}

// setTaskState is the one place where a task changes state.
func (j *Job) setTaskState(i int, to TaskState) {
	t := &j.Tasks[i]
	if t.state == to || t.state == Finished {
		return // a result, once known, stays
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

// Assign notes that an attempt of a waiting task is, or may be, on a machine.
func (j *Job) Assign(i int, machine string, attempt uint64) {
	j.setTaskState(i, Assigned)
	j.Tasks[i].Machine, j.Tasks[i].Attempt = machine, attempt
}

// Requeue notes that the attempt of an assigned task is gone without a result.
func (j *Job) Requeue(i int) {
	if j.Tasks[i].state == Assigned {
		j.setTaskState(i, Waiting)
	}
}

// Finish notes a task's result. Tasks of a gang complete together.
func (j *Job) Finish(i int) {
	if j.Shape != Gang {
		j.setTaskState(i, Finished)
		return
	}
	for k := range j.Tasks {
		j.setTaskState(k, Finished)
	}
}

// TaskFailed counts an exit with an error against the task's restart limit, and holds the
// task back for a while. Past the limit it is retried at a slower and slower rate rather
// than failed; once whatever made it fail is over, it has to go on within a minute and a
// half (the users' check; TestFailedMachineIsTriedAgain).
func (j *Job) TaskFailed(now time.Time, i, limit int) {
	t := &j.Tasks[i]
	if t.restarts < math.MaxUint16 {
		t.restarts++
	}
	j.done.dirty[0] = true // restart counts are part of the job's record
	t.NotUntil = now.Add(retryDelay(int(t.restarts) - limit))
}

// retryDelay is how long a task is held back after a bad exit, by how many exits it is
// beyond its restart limit.
func retryDelay(beyond int) time.Duration {
	if beyond <= 0 {
		return minRetryDelay
	}
	return min(slowRetryDelay<<min(beyond, maxDoublings), maxRetryDelay)
}

const (
	minRetryDelay  = time.Second     // up to the restart limit
	slowRetryDelay = 5 * time.Second // beyond it, doubled with each exit
	maxDoublings   = 6
	maxRetryDelay  = time.Minute
	// avoidFor is how long a job avoids a machine where it failed: what made it fail
	// there may be over.
	avoidFor = time.Minute
)

// Avoid has the job keep away from a machine where it failed.
func (j *Job) Avoid(now time.Time, machine string) { j.AvoidUntil[machine] = now.Add(avoidFor) }

// Avoids tells whether the job still keeps away from a machine.
func (j *Job) Avoids(now time.Time, machine string) bool { return now.Before(j.AvoidUntil[machine]) }

// FailsRepeatedly tells whether the job has failed on so many good machines that it goes
// behind all others.
func (j *Job) FailsRepeatedly(limit int) bool { return len(j.AvoidUntil) > limit }

// Phase returns the job's phase as decided here.
func (j *Job) Phase() Phase { return j.phase }

// StoredPhase returns the job's phase as the store is known to hold it: the only
// one that a user may hear of.
func (j *Job) StoredPhase() Phase { return j.storedPhase }

// Count returns how many tasks are in a state.
func (j *Job) Count(s TaskState) int { return j.counts[s] }

// setPhase is the one place where a job changes phase; final phases stay. A job that is
// held becomes active once its dependencies are done, and done at once if its results
// turn up: they prove that an earlier leader had started it (docs/design.md, safety
// argument 14; TestResultsOfAJobStartedBefore).
func (j *Job) setPhase(to Phase) bool {
	if j.phase != Active && j.phase != Held || to == j.phase || to == Held {
		return false
	}
	if j.phase == Held {
		j.dependencies.refs, j.dependencies.open = nil, nil
		if j.storedPhase == Held {
			j.storedPhase = Active
		}
	}
	j.phase = to
	return true
}

// Over tells whether the job's phase is final.
func (j *Job) Over() bool { return j.phase == Done || j.phase == Cancelled }

// CompleteIfDone moves the job to Done once all its tasks are. It tells whether it did.
func (j *Job) CompleteIfDone() bool {
	return j.Shape != Service && j.counts[Finished] == len(j.Tasks) && j.setPhase(Done)
}

// Cancel takes over a cancellation that the store holds.
func (j *Job) Cancel(at time.Time) bool {
	if j.phase == Done && j.storedPhase != Done {
		j.phase = Active // the cancellation was written before our result could be
	}
	if j.phase == Cancelled && j.storedPhase != Cancelled {
		j.storedPhase = Cancelled // a cancellation was derived here that the store now holds
		return true
	}
	if !j.setPhase(Cancelled) {
		return false
	}
	j.CancelAt = at
	j.storedPhase = Cancelled
	return true
}

// SetStoredPhase notes that the store holds a phase.
func (j *Job) SetStoredPhase(p Phase) { j.storedPhase = p }

// NextWaiting returns the first task at or after `from` that may be placed now, or -1.
func (j *Job) NextWaiting(now time.Time, from int) int {
	from = max(from, j.firstOpenTask)
	first := true
	for i := from; i < len(j.Tasks); i++ {
		t := &j.Tasks[i]
		if t.state == Waiting {
			if !t.NotUntil.After(now) {
				return i
			}
			first = false
		} else if first && i == j.firstOpenTask && t.state == Finished {
			j.firstOpenTask = i + 1
		}
	}
	return -1
}

// Fits tells whether the job's record fits so many bytes at all: one that was
// written when values could be larger may not.
func (j *Job) Fits(most int) bool { return j.minRecordBytes <= most }
