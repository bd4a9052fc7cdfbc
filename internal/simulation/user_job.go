package simulation

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
	"gingertally/internal/userapi"
)

// userJob is a job from its user's point of view: what was submitted, what the user was told, and
// what has become of its tasks.
type userJob struct {
	w *World

	// What the user submits and intends.
	spec         pipeline.Spec
	dependencies []*userJob
	run          time.Duration   // run time of each task
	runs         []time.Duration // run times of the first tasks, if they differ from run
	failsAlways  bool            // each of its tasks fails
	wantsCancel  bool            // the user will cancel it

	// What the user has done and was told.
	firstSubmittedAt time.Time
	accepted         bool
	acceptedAt       time.Time
	cancelRequested  bool
	reportedPhase    pipeline.Phase
	reportedAt       time.Time // when that phase was first reported
	cancelReportedAt time.Time
	lastAnsweredAt   time.Time // when a query was last answered

	// What has become of its tasks.
	startedAt time.Time    // when the first one started to run
	failures  int          // number of failed runs of tasks
	done      map[int]bool // by index of the task
}

// newJob adds a job to the world. Its user hasn't submitted it yet.
func (w *World) newJob(spec pipeline.Spec, run time.Duration) *userJob {
	j := &userJob{w: w, spec: spec, run: run, done: map[int]bool{}}
	w.jobs[spec.Ref] = j
	return j
}

// submitAfter adds a job to the world, and has its user submit it after a delay.
func (w *World) submitAfter(delay time.Duration, spec pipeline.Spec, run time.Duration) *userJob {
	j := w.newJob(spec, run)
	w.after(delay, j.submit)
	return j
}

// mates returns the tasks of one attempt of a gang, on all machines, that haven't exited.
func (j *userJob) mates(attempt uint64) []*task {
	var out []*task
	for _, m := range j.w.sortedMachines() {
		for _, t := range m.sortedTasks() {
			if t.job == j && t.attempt == attempt && t.state != fleet.Exited {
				out = append(out, t)
			}
		}
	}
	return out
}

// runTime returns how long a task of the job runs.
func (j *userJob) runTime(index int) time.Duration {
	if index < len(j.runs) {
		return j.runs[index]
	}
	return j.run
}

// dependencyRefs returns the ids of the jobs that the submission names as dependencies, the first
// one twice.
func (j *userJob) dependencyRefs() []string {
	var out []string
	for _, p := range j.dependencies {
		out = append(out, p.spec.Ref)
	}
	if len(out) > 0 {
		out = append(out, out[0])
	}
	return out
}

// mayBeCancelled reports whether the cancellation of the job, or of one that it depends on directly
// or indirectly, was requested.
func (j *userJob) mayBeCancelled() bool {
	if j.cancelRequested {
		return true
	}
	for _, dependency := range j.dependencies {
		if dependency.mayBeCancelled() {
			return true
		}
	}
	return false
}

// loadBalancedNode returns a node that the load balancer chooses at random: a healthy one, if there
// is one.
func (j *userJob) loadBalancedNode() *node {
	var up []*node
	for _, n := range j.w.nodes {
		if !n.down && !n.paused() && j.w.network.reachable("", n.zone) && n.health.CanServe(n.local()) {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		up = j.w.nodes
	}
	return up[j.w.rng.IntN(len(up))]
}

// submit submits the job, again and again until it is accepted. From then on the user polls its
// state, and cancels it if wantsCancel is set.
func (j *userJob) submit() {
	if j.firstSubmittedAt.IsZero() {
		j.firstSubmittedAt = j.w.now
	}
	n := j.loadBalancedNode()
	if n.down || n.paused() || n.cutOffFromStore() {
		j.w.after(time.Second, j.submit)
		return
	}
	if retryAfter, ok := n.admits(j); !ok {
		j.w.after(retryAfter, j.submit)
		return
	}
	jobs := n.jobs
	answered := false
	create := func() {
		n.call(func() {
			answered = j.submissionStored(jobs.Create(context.Background(), j.spec, j.dependencyRefs(), j.w.now))
		}, func() {
			if answered {
				j.w.output.userAnswer(n, j.spec.Ref, userapi.Answer{Status: http.StatusCreated})
			}
			if answered && !j.accepted {
				j.accepted, j.acceptedAt = true, j.w.now
				j.w.script.jobAccepted(j)
			}
		})
	}
	if len(j.dependencies) == 0 {
		create()
	} else { // the check and the write are separate calls, and anything may happen in between
		err := statestore.ErrUnknownOutcome
		n.call(func() { err = jobs.CheckDependencies(context.Background(), j.spec.Ref, j.dependencyRefs()) }, func() {
			if j.submissionStored(err) {
				create()
			}
		})
	}
	j.w.after(j.w.between(time.Second, 3*time.Second), func() {
		if !j.accepted {
			j.submit()
			return
		}
		j.poll()
		if j.wantsCancel {
			j.w.after(j.w.between(0, j.w.options.Length/3), j.cancel)
		}
	})
}

// submissionStored reports whether the outcome of a submission means that the job is stored. Users'
// jobs are valid, so it is a violation if one is refused.
func (j *userJob) submissionStored(err error) bool {
	if errors.Is(err, jobstore.ErrBadDependency) || errors.Is(err, jobstore.ErrTooLarge) {
		j.w.checker.fail("the submission of %s was refused: %v", j.spec.Ref, err)
	}
	return err == nil || errors.Is(err, jobstore.ErrExists)
}

// learn records that a controller has told the user the job's state, and lets the invariants check
// it.
func (j *userJob) learn(v core.JobView, known bool) {
	j.w.checker.observe(jobReported{j, v, known})
	if v.Phase == pipeline.Cancelled && j.reportedPhase != pipeline.Cancelled {
		j.cancelReportedAt = j.w.now
		j.w.script.cancellationConfirmed(j)
		j.w.checker.observe(cancellationReported{j})
	}
	if j.reportedPhase != v.Phase {
		j.reportedAt = j.w.now
	}
	j.reportedPhase = v.Phase
}

// learnLate is learn for an answer that took some time, to a query that was sent at askedAt. The
// answer is ignored if a newer one may have overtaken it: if it says that the job is unknown and
// the query wasn't sent after the job was accepted, or that it is active and the query wasn't sent
// after another phase was first reported. All other answers must be consistent with what the user
// was told before.
func (j *userJob) learnLate(askedAt time.Time, v core.JobView, known bool) {
	if !known && (!j.accepted || !askedAt.After(j.acceptedAt)) {
		return
	}
	if known && v.Phase == pipeline.Active && j.reportedPhase != pipeline.Active && !askedAt.After(j.reportedAt) {
		return
	}
	j.learn(v, known)
}

// poll queries the job's state periodically.
func (j *userJob) poll() {
	if v, known, ok := j.loadBalancedNode().answerQuery(j.spec.Ref); ok {
		j.learn(v, known)
		j.lastAnsweredAt = j.w.now
	}
	j.w.checker.observe(queryFinished{j})
	j.w.after(j.w.between(2*time.Second, 5*time.Second), j.poll)
}

// cancel asks the leader to cancel the job, again and again until the user is told that it is over.
func (j *userJob) cancel() {
	n := j.loadBalancedNode()
	if leader := j.w.currentLeader(); leader != nil {
		n = leader // other nodes forward cancellations to it
	}
	if n.down || n.paused() || n.cutOffFromStore() {
		j.w.after(time.Second, j.cancel)
		return
	}
	j.cancelRequested = true
	n.cancel(j.spec.Ref, func(st jobstore.State) {
		j.w.output.cancellation(n, j.spec.Ref, st.Phase)
		j.learn(core.JobView{Phase: st.Phase, Done: len(j.done)}, true)
	})
	j.w.after(3*time.Second, func() {
		if j.reportedPhase == pipeline.Active {
			j.cancel()
		}
	})
}
