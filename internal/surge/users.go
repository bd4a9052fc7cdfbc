package surge

import (
	"fmt"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core/pipeline"
)

// Behaviour of users.
const (
	// userPatience is how long users submit a job again before they give it up (PROTOCOL).
	userPatience = time.Minute
	// minRetryPause is the pause of impatient users, and of all after an error of the service.
	minRetryPause = time.Second
	// retryJitter bounds the random part of a pause.
	retryJitter = 3 * step
)

// job is a job of a user.
type job struct {
	class          int // position in Options.Classes
	spec           pipeline.Spec
	firstSubmitted time.Duration
	admitted       time.Duration
	waitingTasks   int // tasks that haven't started
}

// users are the users of a world, with the jobs that aren't admitted yet.
type users struct {
	due     map[time.Duration][]*job // by when they are submitted next
	partial []float64                // by class: the part of the next job that is due already
	created int                      // jobs
}

func newUsers(o *Options) users {
	return users{due: map[time.Duration][]*job{}, partial: make([]float64, len(o.Classes))}
}

// submitAt has a job submitted at a time.
func (u *users) submitAt(at time.Duration, j *job) { u.due[at] = append(u.due[at], j) }

// takeDue returns the jobs that are submitted now.
func (u *users) takeDue(now time.Duration) []*job {
	due := u.due[now]
	delete(u.due, now)
	return due
}

// createJobs creates the jobs of this step, as many as each class's rate says.
func (w *World) createJobs() {
	for i := range w.options.Classes {
		c := &w.options.Classes[i]
		w.users.partial[i] += c.PerSecond(w.now) * step.Seconds()
		for ; w.users.partial[i] >= 1; w.users.partial[i]-- {
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

// submitDue submits the jobs whose time has come.
func (w *World) submitDue() {
	for _, j := range w.users.takeDue(w.now) {
		w.submit(j)
	}
}

// submit submits a job to a controller. If it is refused, its user submits it again or gives it up.
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
		w.result.admitted(w.now, j)
		return
	}
	pause := decision.RetryAfter
	if c.Impatient {
		pause = minRetryPause
	}
	jitter := time.Duration(w.rng.Int64N(int64(retryJitter)))
	next := (w.now + pause + jitter).Truncate(step) + step
	if next-j.firstSubmitted > userPatience {
		w.result.classes[j.class].gaveUp++
		return
	}
	w.users.submitAt(next, j)
}

// decide returns a controller's answer to a submission.
func (w *World) decide(controller int, j *job) admission.Decision {
	switch {
	case w.options.storeOutage(w.now):
		return admission.Decision{RetryAfter: minRetryPause} // the service answers by an error
	case !w.options.Admission:
		return admission.Admit
	}
	decision := w.gates[controller].Decide(w.clock(controller), admission.Submission{Job: j.spec.Ref, Spec: &j.spec})
	w.result.checkDecision(w, j, decision)
	return decision
}
