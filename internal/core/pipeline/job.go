package pipeline

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Phase says where a job is in its life.
type Phase uint8

// Phases of a job. Done and Cancelled are final. Held is never stored: the record says Active, and
// names the jobs that have to be done first.
const (
	Active Phase = iota
	Done
	Cancelled
	Held // waits for other jobs
)

var phaseNames = [...]string{"active", "done", "cancelled", "held"}

// String returns the phase's name, as the log has it.
func (p Phase) String() string { return phaseNames[p] }

// Job is the state of one job.
type Job struct {
	Spec
	Version      uint64 // of its record in the state service
	Submitted    time.Time
	Since        time.Time    // when it became ready: submitted, or the end of its last dependency
	CancelAt     time.Time    // zero unless it is cancelled
	Started      bool         // a task of it has run
	StartSent    bool         // a start of a task was sent in this term
	Urgency      Priority     // the most urgent one among its own and those of its dependents
	CriticalPath CriticalPath // to the dependent with a deadline that leaves it the least time
	Tasks        []Task
	AvoidUntil   map[string]time.Time // machines on which a task failed, and until when it avoids them

	phase          Phase
	storedPhase    Phase // the phase that the state service is known to hold
	dependencies   dependencies
	done           doneRanges
	minRecordBytes int             // bytes that its record takes with its lists left out
	counts         [taskStates]int // tasks by state
	firstOpenTask  int             // every task before it is finished
}

// Errors that NewJob wraps. Such a record was damaged, or another version's format was misread.
var (
	ErrNoTasks        = errors.New("record without tasks")
	ErrNoDependencies = errors.New("record without the jobs that it waits for")
)

// NewJob restores a job's state from its record. The first chunk of the done ranges is in the record
// itself; chunks has the further ones by number. The error wraps ErrNoTasks or ErrNoDependencies.
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
	j.Since = j.Submitted
	if r.ReadyMS != 0 {
		j.Since = time.UnixMilli(r.ReadyMS)
	}
	if r.CancelledMS != 0 {
		j.CancelAt = time.UnixMilli(r.CancelledMS)
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

// restoreRestarts takes over the record's pairs of a task and its restart count.
func (j *Job) restoreRestarts(pairs []int) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if task := pairs[i]; task >= 0 && task < len(j.Tasks) {
			j.Tasks[task].restarts = uint16(min(pairs[i+1], math.MaxUint16))
		}
	}
}

// Phase returns the job's phase as decided here.
func (j *Job) Phase() Phase { return j.phase }

// StoredPhase returns the job's phase as the state service is known to hold it. Only this one is
// told to users: a leader that takes over doesn't know of the other.
func (j *Job) StoredPhase() Phase { return j.storedPhase }

// SetStoredPhase notes that the state service holds a phase.
func (j *Job) SetStoredPhase(p Phase) { j.storedPhase = p }

// Over reports whether the job's phase is final.
func (j *Job) Over() bool { return j.phase == Done || j.phase == Cancelled }

// setPhase changes the job's phase; it returns false if the present one is final or the same. A job
// that is held becomes active once its dependencies are done. It becomes done at once if its results
// turn up: they prove that an earlier leader has started it (docs/design.md, safety argument 14;
// TestResultsOfAJobStartedBefore).
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

// CompleteIfDone changes the job's phase to Done if all tasks are finished, and returns whether it did.
func (j *Job) CompleteIfDone() bool {
	return j.Shape != Service && j.counts[Finished] == len(j.Tasks) && j.setPhase(Done)
}

// Cancel takes over a cancellation that the state service holds, and returns whether that is new. It
// wins over a result that isn't stored yet, since the cancellation was stored first.
func (j *Job) Cancel(at time.Time) bool {
	if j.phase == Done && j.storedPhase != Done {
		j.phase = Active
	}
	if j.phase == Cancelled && j.storedPhase != Cancelled {
		j.storedPhase = Cancelled // it was cancelled here as a dependent, and now that is stored
		return true
	}
	if !j.setPhase(Cancelled) {
		return false
	}
	j.CancelAt = at
	j.storedPhase = Cancelled
	return true
}

// RecordFits reports whether the job's record fits a limit at all. One that was written when the limit was
// higher may not.
func (j *Job) RecordFits(maxBytes int) bool { return j.minRecordBytes <= maxBytes }
