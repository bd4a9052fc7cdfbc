package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gingertally/internal/core/fleet"
)

// History notes what workers were told and did, and holds the protocol's rules against it. What users heard
// is in history_jobs.go.
type History struct {
	mu     sync.Mutex
	broken []string // rules

	// What workers were told.
	highestTerm  uint64               // that a worker has accepted an answer of
	firstAnswers map[uint64]time.Time // accepted by a worker, by term
	firstStarts  map[uint64]time.Time // by term
	startTimes   []time.Time
	startsOn     map[string]int       // by machine
	startedOn    map[attemptID]string // the machine of each attempt that was ever started

	// What became of tasks.
	machineOf     map[fleet.TaskID]string // of tasks that are on one
	done          map[string]map[int]bool // tasks by job
	interruptions []Interruption

	jobs map[string]*jobHistory
}

// NewHistory makes an empty history.
func NewHistory() *History {
	return &History{
		firstAnswers: map[uint64]time.Time{}, firstStarts: map[uint64]time.Time{},
		startsOn: map[string]int{}, startedOn: map[attemptID]string{},
		machineOf: map[fleet.TaskID]string{}, done: map[string]map[int]bool{},
		jobs: map[string]*jobHistory{},
	}
}

// fail notes that a rule was broken.
func (h *History) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failLocked(format, args...)
}

func (h *History) failLocked(format string, args ...any) {
	h.broken = append(h.broken, fmt.Sprintf(format, args...))
}

// Broken lists the rules that were broken.
func (h *History) Broken() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.broken)
}

// answered notes that a worker accepted an answer of a term.
func (h *History) answered(term uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highestTerm = max(h.highestTerm, term)
	if h.firstAnswers[term].IsZero() {
		h.firstAnswers[term] = at
	}
}

// startCommanded notes a start that a worker was commanded and carries out.
func (h *History) startCommanded(machine string, id attemptID, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.firstStarts[term].IsZero() {
		h.firstStarts[term] = now
	}
	h.startsOn[machine]++
	h.startTimes = append(h.startTimes, now)
	if earlier, used := h.startedOn[id]; used {
		h.failLocked("start commanded twice: %s#%d on %s and %s", id.TaskID, id.attempt, earlier, machine)
	}
	h.startedOn[id] = machine
	if other, there := h.machineOf[id.TaskID]; there {
		h.failLocked("ran_twice: %s starts on %s while on %s", id.TaskID, machine, other)
	}
	h.machineOf[id.TaskID] = machine
	job := h.jobs[id.Ref]
	if job == nil {
		h.failLocked("start of %s, which nobody submitted", id.TaskID)
		return
	}
	if job.started.IsZero() {
		job.started = now
	}
}

// left notes that a task runs on its machine no more.
func (h *History) left(id fleet.TaskID, done bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.machineOf, id)
	if !done {
		return
	}
	if h.done[id.Ref] == nil {
		h.done[id.Ref] = map[int]bool{}
	}
	h.done[id.Ref][id.Task] = true
}

// Interruption is the end of a task by a command.
type Interruption struct {
	At            time.Time
	Team          string
	Task, Machine string
	Lost          time.Duration // work that has to be repeated
}

// interrupted notes that a task was commanded to stop after it had run for a while, and reports whether its
// progress is saved.
func (h *History) interrupted(id fleet.TaskID, machine string, ran time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[id.Ref]
	if job == nil || h.done[id.Ref][id.Task] {
		return false // its result is known, so that it isn't needed
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

// Interruptions lists the ends of tasks by commands, oldest first.
func (h *History) Interruptions() []Interruption {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.interruptions)
}

// minRunTime is how long a task runs at the least.
const minRunTime = 100 * time.Millisecond

// runTime is how long a task runs on from now, given how long it runs if its job doesn't say.
func (h *History) runTime(id fleet.TaskID, otherwise time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[id.Ref]
	if job == nil || job.profile.Run == 0 {
		return otherwise
	}
	return max(job.profile.Run/2+rand.N(job.profile.Run)-job.progress[id.Task], minRunTime)
}

// Started is how many tasks were started.
func (h *History) Started() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.startTimes)
}

// StartsOn is how many tasks were started on a machine.
func (h *History) StartsOn(machine string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startsOn[machine]
}

// Starts lists when tasks were started within a time.
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

// Term is the highest term that a worker has accepted an answer of.
func (h *History) Term() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.highestTerm
}

// FirstOf is when a worker first accepted an answer and a start of a term; zero if none did.
func (h *History) FirstOf(term uint64) (answer, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstAnswers[term], h.firstStarts[term]
}
