package emulator

import (
	"time"

	"gingertally/internal/wire"
)

// JobProfile is what the tasks of a user's jobs are like.
type JobProfile struct {
	Run   time.Duration // of a task, give or take a half; 0: as the workers' timings say
	Saves bool          // a task that is commanded to stop saves its progress
}

// jobHistory is what a job's user knows.
type jobHistory struct {
	team       string
	tasks      int
	profile    JobProfile
	progress   map[int]time.Duration // saved, by task
	submitted  time.Time
	accepted   time.Time
	started    time.Time
	lastStatus string // that its user was told
}

// submitted notes that a user begins to submit a job.
func (h *History) submitted(ref, team string, tasks int, profile JobProfile) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[ref] = &jobHistory{
		team: team, tasks: tasks, profile: profile, progress: map[int]time.Duration{}, submitted: time.Now(),
	}
}

// accepted notes that a user was told that a job is accepted.
func (h *History) accepted(ref string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[ref].accepted = time.Now()
}

// forgotten notes that a user was told that an accepted job doesn't exist, or is refused.
func (h *History) forgotten(ref string) { h.fail("forgotten: %s", ref) }

// told notes the status that a user was told of an accepted job.
func (h *History) told(ref, status string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[ref]
	switch {
	case status == wire.StatusDone && len(h.done[ref]) < job.tasks:
		h.failLocked("not_done: %s with %d of %d tasks", ref, len(h.done[ref]), job.tasks)
	case job.lastStatus == wire.StatusDone && status != job.lastStatus:
		h.failLocked("went_back: %s from %s to %s", ref, job.lastStatus, status)
	case status == wire.StatusCancelled:
		h.failLocked("went_back: %s is cancelled, and nobody has asked for it", ref)
	}
	job.lastStatus = status
}

// Open lists the accepted jobs that aren't over as far as their users know.
func (h *History) Open() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var open []string
	for ref, job := range h.jobs {
		if !job.accepted.IsZero() && job.lastStatus != wire.StatusDone {
			open = append(open, ref)
		}
	}
	return open
}

// JobTimes is how long after its first submission a job was accepted and started; negative: it wasn't.
type JobTimes struct {
	Team               string
	Tasks              int
	Admission, Started time.Duration
}

// Jobs lists the times of all jobs.
func (h *History) Jobs() []JobTimes {
	h.mu.Lock()
	defer h.mu.Unlock()
	jobs := make([]JobTimes, 0, len(h.jobs))
	for _, job := range h.jobs {
		times := JobTimes{Team: job.team, Tasks: job.tasks, Admission: -1, Started: -1}
		if !job.accepted.IsZero() {
			times.Admission = job.accepted.Sub(job.submitted)
		}
		if !job.started.IsZero() {
			times.Started = job.started.Sub(job.submitted)
		}
		jobs = append(jobs, times)
	}
	return jobs
}
