package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gingertally/internal/core/fleet"
)

// History records what workers were commanded and did, and checks it against the protocol's rules. Its
// methods for what users were told are in history_jobs.go.
type History struct {
	mu         sync.Mutex
	violations []string // broken rules, oldest first

	// What workers were commanded.
	highestTerm   uint64               // the highest of which a worker accepted an answer
	firstAnswers  map[uint64]time.Time // when a worker first accepted an answer, by term
	firstStarts   map[uint64]time.Time // when a worker first started a task, by term
	startTimes    []time.Time          // of all tasks started
	startCounts   map[string]int       // number of tasks started, by machine
	startMachines map[attemptID]string // machine of each attempt ever started

	// What became of tasks.
	runningOn     map[fleet.TaskID]string // machine of each running task
	done          map[string]map[int]bool // finished tasks, by job
	interruptions []Interruption

	jobs map[string]*jobHistory // by job reference
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		firstAnswers: map[uint64]time.Time{}, firstStarts: map[uint64]time.Time{},
		startCounts: map[string]int{}, startMachines: map[attemptID]string{},
		runningOn: map[fleet.TaskID]string{}, done: map[string]map[int]bool{},
		jobs: map[string]*jobHistory{},
	}
}

// recordViolation records that a rule was broken.
func (h *History) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordViolationLocked(format, args...)
}

// recordViolationLocked is recordViolation for callers that hold mu.
func (h *History) recordViolationLocked(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// Violations returns a description of each time a rule was broken, oldest first.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// answerAccepted records that a worker accepted the answer to a heartbeat from a term's leader.
func (h *History) answerAccepted(term uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highestTerm = max(h.highestTerm, term)
	if h.firstAnswers[term].IsZero() {
		h.firstAnswers[term] = at
	}
}

// taskStarted records that a worker starts an attempt at the command of a term's leader. It checks
// that the attempt hasn't been started before, that the task isn't running, and that a user submitted
// the job.
func (h *History) taskStarted(machine string, id attemptID, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.firstStarts[term].IsZero() {
		h.firstStarts[term] = now
	}
	h.startCounts[machine]++
	h.startTimes = append(h.startTimes, now)
	if earlier, used := h.startMachines[id]; used {
		h.recordViolationLocked("start commanded twice: %s#%d on %s and %s", id.TaskID, id.attempt, earlier, machine)
	}
	h.startMachines[id] = machine
	if other, running := h.runningOn[id.TaskID]; running {
		h.recordViolationLocked("ran_twice: %s starts on %s while on %s", id.TaskID, machine, other)
	}
	h.runningOn[id.TaskID] = machine
	job := h.jobs[id.Ref]
	if job == nil {
		h.recordViolationLocked("start of %s, which nobody submitted", id.TaskID)
		return
	}
	if job.started.IsZero() {
		job.started = now
	}
}

// taskEnded records that a task no longer runs on its machine, and whether it is done.
func (h *History) taskEnded(id fleet.TaskID, done bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.runningOn, id)
	if !done {
		return
	}
	if h.done[id.Ref] == nil {
		h.done[id.Ref] = map[int]bool{}
	}
	h.done[id.Ref][id.Task] = true
}

// Interruption is an end of a task by a stop command.
type Interruption struct {
	At            time.Time
	Team          string
	Task, Machine string
	Lost          time.Duration // run time that has to be repeated
}

// taskInterrupted records that a task was stopped by a command after it had run for the time ran, and
// reports whether its progress was saved.
func (h *History) taskInterrupted(id fleet.TaskID, machine string, ran time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[id.Ref]
	if job == nil || h.done[id.Ref][id.Task] {
		return false // nobody needs this attempt: its job is unknown, or another attempt has finished the task
	}
	interruption := Interruption{At: time.Now(), Team: job.team, Task: id.String(), Machine: machine}
	if job.profile.Saves {
		job.progress[id.Task] += ran
	} else {
		interruption.Lost = ran
	}
	h.interruptions = append(h.interruptions, interruption)
	return job.profile.Saves
}

// Interruptions returns the interruptions of tasks, oldest first.
func (h *History) Interruptions() []Interruption {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.interruptions)
}

// minRunTime is the least run time of a task whose job profile sets one.
const minRunTime = 100 * time.Millisecond

// runTime returns how long a task that starts now runs: by its job's profile, half to one and a half
// times JobProfile.Run, less the progress saved; defaultRunTime if the profile sets no run time.
func (h *History) runTime(id fleet.TaskID, defaultRunTime time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[id.Ref]
	if job == nil || job.profile.Run == 0 {
		return defaultRunTime
	}
	return max(job.profile.Run/2+rand.N(job.profile.Run)-job.progress[id.Task], minRunTime)
}

// Started returns how many times a task was started.
func (h *History) Started() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.startTimes)
}

// StartsOn returns how many times a task was started on a machine.
func (h *History) StartsOn(machine string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startCounts[machine]
}

// Starts returns the times at which tasks were started, from the time from until just before to.
func (h *History) Starts(from, to time.Time) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var times []time.Time
	for _, at := range h.startTimes {
		if !at.Before(from) && at.Before(to) {
			times = append(times, at)
		}
	}
	return times
}

// Term returns the highest term of which a worker has accepted the answer to a heartbeat.
func (h *History) Term() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highestTerm
}

// FirstAnswerAndStart returns when a worker first accepted the answer to a heartbeat from a term's leader,
// and when one first started a task at its command. A time is zero if that hasn't happened.
func (h *History) FirstAnswerAndStart(term uint64) (answer, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstAnswers[term], h.firstStarts[term]
}
