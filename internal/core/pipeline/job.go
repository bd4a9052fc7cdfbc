package pipeline

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Phase is a stage in the life of a job.
type Phase uint8

// Phases of a job. Done and Cancelled are final. Held is never stored: the record of a held job says
// Active and lists the dependencies.
const (
	Active    Phase = iota // its tasks may run
	Done                   // all its tasks are finished
	Cancelled              // cancelled by its user, or with a job that it depended on
	Held                   // waits until its dependencies are done
)

var phaseNames = [...]string{"active", "done", "cancelled", "held"}

// String returns the phase's name, as it appears in the log.
func (p Phase) String() string { return phaseNames[p] }

// Job is the state of one job.
type Job struct {
	Spec
	Version      uint64 // of its record in the state service
	Submitted    time.Time
	ReadyAt      time.Time    // when it became ready: its submission, or the end of its last dependency
	CancelledAt  time.Time    // when it was cancelled; else zero
	Started      bool         // a task of it has run
	StartSent    bool         // a start of a task was sent in this term
	Urgency      Priority     // the most urgent of its own priority and its dependents' urgencies
	CriticalPath CriticalPath // to the dependent with a deadline that leaves it the least time
	Tasks        []Task
	AvoidUntil   map[string]time.Time // machines on which a task failed, and until when it avoids them

	phase          Phase
	storedPhase    Phase // the phase that the state service is known to hold
	dependencies   dependencies
	done           doneRanges
	minRecordBytes int             // upper bound of its record's size without the lists that may be left out
	counts         [taskStates]int // number of tasks by state
	firstOpenTask  int             // all tasks before this one are finished
}

// Errors that NewJob wraps. A record that causes one of them is damaged, or was written by a version
// with another format.
var (
	ErrNoTasks        = errors.New("record without tasks")
	ErrNoDependencies = errors.New("record of a held job without its dependencies")
)

// NewJob restores a job's state from its record. The first chunk of the done ranges is in the record
// itself; chunks holds the others by number. The error wraps ErrNoTasks or ErrNoDependencies.
func NewJob(r Record, version uint64, chunks map[int][]int) (*Job, error) {
	if r.Spec.Tasks <= 0 {
		return nil, fmt.Errorf("job %s: %w", r.Spec.Ref, ErrNoTasks)
	}
	if r.Held() && len(r.Dependencies) == 0 {
		return nil, fmt.Errorf("job %s: %w", r.Spec.Ref, ErrNoDependencies)
	}
	j := &Job{
		Spec:           r.Spec,
		Version:        version,
		Submitted:      time.UnixMilli(r.SubmittedMS),
		Urgency:        r.Spec.Priority,
		Tasks:          make([]Task, r.Spec.Tasks),
		AvoidUntil:     map[string]time.Time{},
		phase:          r.Phase,
		storedPhase:    r.Phase,
		done:           doneRanges{dirty: map[int]bool{}},
		minRecordBytes: (&Record{Spec: r.Spec}).Bytes(),
	}
	j.ReadyAt = j.Submitted
	if r.ReadyMS != 0 {
		j.ReadyAt = time.UnixMilli(r.ReadyMS)
	}
	if r.CancelledMS != 0 {
		j.CancelledAt = time.UnixMilli(r.CancelledMS)
	}
	j.restoreDependencies(&r)
	j.counts[Waiting] = r.Spec.Tasks
	j.restoreChunk(0, r.Done)
	for chunk, runs := range chunks {
		j.restoreChunk(chunk, runs)
	}
	j.restoreRestarts(r.Restarts)
	return j, nil
}

// restoreRestarts restores the restart counts from the record's pairs of a task and its count.
func (j *Job) restoreRestarts(pairs []int) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if task := pairs[i]; task >= 0 && task < len(j.Tasks) {
			j.Tasks[task].restarts = uint16(min(pairs[i+1], math.MaxUint16))
		}
	}
}

// Phase returns the job's phase as this leader has decided it. It may not be stored yet.
func (j *Job) Phase() Phase { return j.phase }

// StoredPhase returns the phase that the state service is known to hold. Only this phase is shown to
// users, since a new leader wouldn't know of the other one.
func (j *Job) StoredPhase() Phase { return j.storedPhase }

// SetStoredPhase records that the state service holds a phase.
func (j *Job) SetStoredPhase(p Phase) { j.storedPhase = p }

// Over reports whether the job's phase is final.
func (j *Job) Over() bool { return j.phase == Done || j.phase == Cancelled }

// setPhase changes the job's phase. It returns false if the present one is final or the same. A held
// job becomes Active once its dependencies are done, or it becomes Cancelled. It may also become Done
// directly, when reported results prove that an earlier leader has started it (docs/design.md, safety
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

// CompleteIfDone changes the job's phase to Done if all its tasks are finished, and returns whether it
// did. A service never becomes done.
func (j *Job) CompleteIfDone() bool {
	return j.Shape != Service && j.counts[Finished] == len(j.Tasks) && j.setPhase(Done)
}

// Cancel applies a cancellation that the state service holds, and returns whether that changed the
// job's phase or stored phase. It overrides a Done phase that isn't stored yet, since the
// cancellation was stored first.
func (j *Job) Cancel(at time.Time) bool {
	if j.phase == Done && j.storedPhase != Done {
		j.phase = Active
	}
	if j.phase == Cancelled && j.storedPhase != Cancelled {
		j.storedPhase = Cancelled // was cancelled as a dependent before, which is stored now
		return true
	}
	if !j.setPhase(Cancelled) {
		return false
	}
	j.CancelledAt = at
	j.storedPhase = Cancelled
	return true
}

// RecordFits reports whether the job's record fits in maxBytes without the lists that may be left out.
// A record that was written under a higher limit may not.
func (j *Job) RecordFits(maxBytes int) bool { return j.minRecordBytes <= maxBytes }
