// Package pipeline holds the state machines of jobs and their tasks, after
// "Workflow Recovery" (Eder, Liebhart): what is ready, what is done, what an
// aborted task costs, and what the store's record of it all says.
package pipeline

import (
	"fmt"
	"time"
)

// Shape is the kind of a job.
type Shape uint8

// Shapes of jobs.
const (
	Array   Shape = iota // independent tasks
	Gang                 // all tasks at once or none
	Service              // replicas that run until cancelled
)

// Priority orders jobs; a smaller one goes first.
type Priority uint8

// Priorities, the most urgent first.
const (
	Production Priority = iota
	High
	Normal
	Low
)

// Spec is the description of a submitted job; it never changes.
type Spec struct {
	Ref        string        `cbor:"ref"`
	Class      string        `cbor:"cl"`
	Team       string        `cbor:"tm"`
	Shape      Shape         `cbor:"sh"`
	Priority   Priority      `cbor:"pr"`
	Tasks      int           `cbor:"n"`
	CPUs       float64       `cbor:"c"`
	GPUs       float64       `cbor:"g"`
	MemGB      float64       `cbor:"m"`
	Image      string        `cbor:"im"`
	ImageGB    float64       `cbor:"ig"`
	Types      []string      `cbor:"ty"` // nil: any
	Zone       string        `cbor:"zo,omitempty"`
	OneZone    bool          `cbor:"oz,omitempty"`
	Spread     bool          `cbor:"sp,omitempty"`
	Spot       bool          `cbor:"so,omitempty"`
	Estimate   time.Duration `cbor:"es"`
	Checkpoint time.Duration `cbor:"ck,omitempty"`
	Save       time.Duration `cbor:"sv,omitempty"`
	Deadline   time.Duration `cbor:"dl,omitempty"`
}

// AllowsType tells whether the job may run on a machine type.
func (s *Spec) AllowsType(t string) bool {
	if s.Types == nil {
		return true
	}
	for _, x := range s.Types {
		if x == t {
			return true
		}
	}
	return false
}

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

// TaskState is the state of one task as far as its pipeline is concerned.
type TaskState uint8

// States of a task.
const (
	Waiting  TaskState = iota // may be placed
	Assigned                  // an attempt is, or may be, on a machine
	Finished                  // its result is known
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

// Job is the state of one job, a pipeline with a single vital and forcible job.
type Job struct {
	Spec
	Submitted         time.Time
	Since             time.Time    // from when its times count: submitted, or the end of the last job that it needs
	Urgency           Priority     // the highest among its own and those of the jobs that need it
	CriticalPath      CriticalPath // the job with a deadline that makes it most pressing, of those that need it
	CancelAt          time.Time
	dependencies      []string        // while Held
	openDependencies  map[string]bool // those of them that aren't known to be done
	dependencyPages   int             // of its list of jobs to wait for in the store, and which list they belong to
	dependencyListSum string
	minRecordBytes    int         // bytes that its record takes at the least
	truncatedAt       map[int]int // of chunks that were written cut short: from which task on
	phase             Phase
	storedPhase       Phase // the phase that the store is known to hold
	Version           uint64
	Tasks             []Task
	counts            [3]int
	Running           int                  // tasks reported as running, for display
	Started           bool                 // a task of it has run
	dirty             map[int]bool         // chunks to be written
	AvoidUntil        map[string]time.Time // machines where it failed, and until when it avoids them
	firstOpenTask     int
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
	j := &Job{Spec: r.Spec, Submitted: time.UnixMilli(r.SubmittedMS), phase: r.Phase, storedPhase: r.Phase, Version: version,
		Tasks: make([]Task, r.Spec.Tasks), dirty: map[int]bool{}, AvoidUntil: map[string]time.Time{}}
	if r.CancelledMS != 0 {
		j.CancelAt = time.UnixMilli(r.CancelledMS)
	}
	j.Since, j.Urgency = j.Submitted, j.Priority
	if r.ReadyMS != 0 {
		j.Since = time.UnixMilli(r.ReadyMS)
	}
	j.dependencyPages, j.dependencyListSum = r.DependencyPages, r.DependencyListSum
	j.minRecordBytes = (&Record{Spec: r.Spec}).Bytes()
	if r.Held() {
		j.phase, j.storedPhase = Held, Held
		j.openDependencies = map[string]bool{}
		for _, p := range r.Dependencies {
			if !j.openDependencies[p] {
				j.openDependencies[p] = true
				j.dependencies = append(j.dependencies, p)
			}
		}
	}
	j.counts[Waiting] = r.Spec.Tasks
	j.loadChunk(0, r.Done)
	for c, runs := range chunks {
		j.loadChunk(c, runs)
	}
	for i := 0; i+1 < len(r.Restarts); i += 2 {
		if n := r.Restarts[i]; n >= 0 && n < len(j.Tasks) {
			j.Tasks[n].restarts = uint16(min(r.Restarts[i+1], 1<<16-1))
		}
	}
	return j, nil
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
		j.dirty[i/ChunkTasks] = true
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

// TaskFailed counts an exit with an error against the task's restart limit and says
// how long to hold the task back: a lone job is forcible, so past the limit it
// is repeated at a slower and slower rate rather than failed. Once whatever made it fail
// is over, it has to go on within a minute and a half (the users' check).
func (j *Job) TaskFailed(now time.Time, i, limit int) {
	t := &j.Tasks[i]
	if t.restarts < 1<<16-1 {
		t.restarts++
	}
	j.dirty[0] = true
	wait := time.Second
	if over := int(t.restarts) - limit; over > 0 {
		wait = min(5*time.Second<<min(over, 6), maxRetryDelay)
	}
	t.NotUntil = now.Add(wait)
}

// maxRetryDelay is the longest that a task is held back after a bad exit, avoidFor how
// long a job then avoids the machine: what made it fail there may be over.
const (
	maxRetryDelay = time.Minute
	avoidFor      = time.Minute
)

// Avoid has the job keep away from a machine where it failed; Avoids tells whether it
// still does.
func (j *Job) Avoid(now time.Time, machine string) { j.AvoidUntil[machine] = now.Add(avoidFor) }

// Avoids tells whether the job keeps away from a machine.
func (j *Job) Avoids(now time.Time, machine string) bool { return now.Before(j.AvoidUntil[machine]) }

// FailsRepeatedly tells whether the job has failed so often on good machines that it
// goes behind all others.
func (j *Job) FailsRepeatedly(limit int) bool { return len(j.AvoidUntil) > limit }

// Phase returns the job's phase as decided here.
func (j *Job) Phase() Phase { return j.phase }

// StoredPhase returns the job's phase as the store is known to hold it: the only
// one that a user may hear of.
func (j *Job) StoredPhase() Phase { return j.storedPhase }

// Count returns how many tasks are in a state.
func (j *Job) Count(s TaskState) int { return j.counts[s] }

// setPhase is the one place where a job changes phase; final phases stay. A job
// that is held goes on once the jobs before it are done, and is done at once if
// its results turn up: they prove that it had been let go before.
func (j *Job) setPhase(to Phase) bool {
	if j.phase != Active && j.phase != Held || to == j.phase || to == Held {
		return false
	}
	if j.phase == Held {
		j.dependencies, j.openDependencies = nil, nil
		if j.storedPhase == Held {
			j.storedPhase = Active
		}
	}
	j.phase = to
	return true
}

// Over tells whether the job's phase is final.
func (j *Job) Over() bool { return j.phase == Done || j.phase == Cancelled }

// Dependencies are the jobs that the job waits for and that aren't known to be done.
func (j *Job) Dependencies() []string {
	out := make([]string, 0, len(j.openDependencies))
	for _, p := range j.dependencies {
		if j.openDependencies[p] {
			out = append(out, p)
		}
	}
	return out
}

// DependencyPages names the pages of the list of jobs that it was submitted with.
func (j *Job) DependencyPages() (sum string, pages int) {
	return j.dependencyListSum, j.dependencyPages
}

// DependencyDone notes that the store holds that a job before it is done, and since when;
// it tells whether that was the last one.
func (j *Job) DependencyDone(parent string, at time.Time) bool {
	if !j.openDependencies[parent] {
		return false
	}
	delete(j.openDependencies, parent)
	if at.After(j.Since) {
		j.Since = at
	}
	if len(j.openDependencies) > 0 || !j.setPhase(Active) {
		return false
	}
	j.dirty[0] = true // so that the next leader needn't ask again
	return true
}

// CancelAsDependent cancels a job that waits for one that is cancelled. Nothing of it has ever
// been started.
func (j *Job) CancelAsDependent(at time.Time) bool {
	if j.phase != Held || !j.setPhase(Cancelled) {
		return false
	}
	j.CancelAt = at
	return true
}

// CompleteIfDone moves the job to Done once all its tasks are.
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

// Dirty tells whether a chunk's done ranges (or the restart counts) have
// changed since they were last written.
func (j *Job) Dirty() bool { return len(j.dirty) > 0 }

// DirtyChunks lists the chunks to be written.
func (j *Job) DirtyChunks() []int {
	out := make([]int, 0, len(j.dirty))
	for c := range j.dirty {
		out = append(out, c)
	}
	return out
}

// DirtyChunk tells whether one chunk is to be written.
func (j *Job) DirtyChunk(chunk int) bool { return j.dirty[chunk] }

// MarkWriting notes that a chunk's present content is about to be written, perhaps cut
// short; MarkDirty puts it back if the write failed.
func (j *Job) MarkWriting(chunk int, runs []int) {
	delete(j.dirty, chunk)
	delete(j.truncatedAt, chunk)
	if len(runs) == len(j.Chunk(chunk)) {
		return
	}
	to := chunk * ChunkTasks
	for _, n := range runs {
		to += n
	}
	if j.truncatedAt == nil {
		j.truncatedAt = map[int]int{}
	}
	j.truncatedAt[chunk] = to
}

// MarkDirty marks a chunk as not written.
func (j *Job) MarkDirty(chunk int) { j.dirty[chunk] = true }
