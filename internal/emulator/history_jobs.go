package emulator

import (
	"time"

	"gingertally/internal/wire"
)

// JobProfile describes the tasks of a user's jobs.
type JobProfile struct {
	Run   time.Duration // mean run time of a task (half to one and a half times that); 0: Timings.RunTime applies
	Saves bool          // whether a task that is stopped by a command saves its progress
}

// jobHistory is what is recorded of a job.
type jobHistory struct {
	team       string
	tasks      int
	profile    JobProfile
	progress   map[int]time.Duration // run time saved, by task
	submitted  time.Time             // when the user first sent the submission
	accepted   time.Time             // when its user was told that it is accepted; zero: not yet
	started    time.Time             // when its first task was started; zero: not yet
	lastStatus string                // the one that its user was told last
}

// jobSubmitted records that a user begins to submit a job.
func (h *History) jobSubmitted(ref, team string, tasks int, profile JobProfile) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[ref] = &jobHistory{
		team: team, tasks: tasks, profile: profile, progress: map[int]time.Duration{}, submitted: time.Now(),
	}
}

// jobAccepted records that a user was told that a job is accepted.
func (h *History) jobAccepted(ref string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[ref].accepted = time.Now()
}

// jobLost records a violation: a user was told that an accepted job doesn't exist, or that a valid
// submission is refused.
func (h *History) jobLost(ref string) { h.recordViolation("forgotten: %s", ref) }

// statusReceived records the status that a user was told of an accepted job. It checks that a job is
// done only after all of its tasks are, that it stays done, and that it isn't cancelled, since these
// users never cancel jobs.
func (h *History) statusReceived(ref, status string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[ref]
	switch {
	case status == wire.StatusDone && len(h.done[ref]) < job.tasks:
		h.recordViolationLocked("not_done: %s with %d of %d tasks", ref, len(h.done[ref]), job.tasks)
	case job.lastStatus == wire.StatusDone && status != job.lastStatus:
		h.recordViolationLocked("went_back: %s from %s to %s", ref, job.lastStatus, status)
	case status == wire.StatusCancelled:
		h.recordViolationLocked("went_back: %s is cancelled, and nobody has asked for it", ref)
	}
	job.lastStatus = status
}

// UnfinishedJobs returns the accepted jobs whose users haven't been told that they are done.
func (h *History) UnfinishedJobs() []string {
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

// JobTimes holds how long after its first submission a job was accepted, and its first task started;
// -1 if that hasn't happened.
type JobTimes struct {
	Team               string
	Tasks              int
	Admission, Started time.Duration
}

// Jobs returns the times of all jobs, in no particular order.
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
