package surge

import (
	"fmt"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core/pipeline"
)

// Behaviour of users.
const (
	// retryTimeout is how long users retry a submission before they give up the job (PROTOCOL).
	retryTimeout = time.Minute
	// minRetryPause is the pause before a retry of users that ignore Retry-After, and of all users
	// after an error of the state service.
	minRetryPause = time.Second
	// retryJitter bounds the random time that is added to a pause.
	retryJitter = 3 * step
)

// job is a job that a user has created.
type job struct {
	class          int // index into Options.Classes
	spec           pipeline.Spec
	firstSubmitted time.Duration
	admitted       time.Duration
	waitingTasks   int // tasks that haven't started
}

// users holds the jobs of a world that aren't admitted yet, by when their users submit them.
type users struct {
	due            map[time.Duration][]*job // by the time of the next submission
	fractionalJobs []float64                // by class: the fraction of the next job that has accrued
	created        int                      // number of jobs
}

func newUsers(o *Options) users {
	return users{due: map[time.Duration][]*job{}, fractionalJobs: make([]float64, len(o.Classes))}
}

// submitAt schedules the submission of a job.
func (u *users) submitAt(at time.Duration, j *job) { u.due[at] = append(u.due[at], j) }

// takeDue removes and returns the jobs whose submission is scheduled for now.
func (u *users) takeDue(now time.Duration) []*job {
	due := u.due[now]
	delete(u.due, now)
	return due
}

// createJobs creates the jobs of this step, by the rate of each class, and schedules their
// submission.
func (w *World) createJobs() {
	for i := range w.options.Classes {
		c := &w.options.Classes[i]
		w.users.fractionalJobs[i] += c.PerSecond(w.now) * step.Seconds()
		for ; w.users.fractionalJobs[i] >= 1; w.users.fractionalJobs[i]-- {
			w.users.created++
			ref := fmt.Sprintf("j-%09d", w.users.created)
			w.users.submitAt(w.now, &job{
				class: i, firstSubmitted: w.now, waitingTasks: c.Tasks,
				spec: pipeline.Spec{Ref: ref, Class: c.Name, Team: c.Team, Priority: c.Priority,
					Tasks: c.Tasks, CPUs: c.CPUs, Estimate: c.Run},
			})
			w.result.classes[i].offered++
		}
	}
}

// submitDue submits the jobs whose submission is scheduled for now.
func (w *World) submitDue() {
	for _, j := range w.users.takeDue(w.now) {
		w.submit(j)
	}
}

// submit submits a job to a controller. If the job is refused, its user retries later or gives up.
func (w *World) submit(j *job) {
	c := &w.options.Classes[j.class]
	controller := w.rng.IntN(len(w.gates))
	if c.OneController {
		controller = 0
	}
	decision := w.decide(controller, j)
	if decision.Admitted {
		j.admitted = w.now
		w.machines.enqueue(j)
		w.result.jobAdmitted(w.now, j)
		return
	}
	pause := decision.RetryAfter
	if c.IgnoresRetryAfter {
		pause = minRetryPause
	}
	jitter := time.Duration(w.rng.Int64N(int64(retryJitter)))
	next := (w.now + pause + jitter).Truncate(step) + step
	if next-j.firstSubmitted > retryTimeout {
		w.result.classes[j.class].gaveUp++
		return
	}
	w.users.submitAt(next, j)
}

// decide returns a controller's answer to a submission.
func (w *World) decide(controller int, j *job) admission.Decision {
	switch {
	case w.options.storeOutage(w.now):
		return admission.Decision{RetryAfter: minRetryPause} // the service answers with an error
	case !w.options.Admission:
		return admission.Admit
	}
	decision := w.gates[controller].Decide(w.clock(controller), admission.Submission{Job: j.spec.Ref, Spec: &j.spec})
	w.result.checkDecision(w, j, decision)
	return decision
}
