package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/core/pipeline"
)

// pipelinePlan submits pipelines, whose jobs depend on each other: chains, diamonds, fan-outs and
// random graphs. It also schedules the rolling upgrade from the version in production to the new
// one, and the lowering of the state service's limits.
type pipelinePlan struct {
	w *World
	random
	jobs int // created so far
}

func newPipelinePlan(w *World) *pipelinePlan {
	l := &pipelinePlan{w: w, random: newRandom(w.options.Seed, pipelineStream)}
	begin := time.Duration(0)
	if w.options.RollingUpgrade {
		begin = l.planRollingUpgrade()
	}
	if w.options.LowerStoreLimits {
		w.after(l.between(begin, w.options.Length), w.store.lower)
	}
	for range w.options.Pipelines {
		w.after(l.between(begin, begin+w.options.Length/2), l.start)
	}
	return l
}

// planRollingUpgrade schedules the restart of each node with the new version, one after the other,
// and returns the time after which no node runs the version in production. Until its turn, a node
// that crashes boots with the version in production again. After half of the restarts the leader
// crashes, so that both versions get to lead in turn.
func (l *pipelinePlan) planRollingUpgrade() time.Duration {
	at := l.between(5*time.Second, 30*time.Second)
	for _, i := range l.rng.Perm(len(l.w.nodes)) {
		n := l.w.nodes[i]
		l.w.after(at, func() {
			n.runsProduction = false
			n.crash(l.between(10*time.Millisecond, 4*time.Second))
		})
		if l.rng.IntN(2) == 0 {
			l.w.after(at+l.between(time.Second, 6*time.Second), l.crashLeader)
		}
		at += l.between(4*time.Second, 12*time.Second)
	}
	return at
}

// crashLeader crashes the leader, if there is one.
func (l *pipelinePlan) crashLeader() {
	for _, n := range l.w.nodes {
		if n.holdsLease() {
			n.crash(l.between(10*time.Millisecond, 2*time.Second))
		}
	}
}

// dependenciesOf returns the indexes of the earlier jobs that job i of a pipeline of n jobs depends
// on.
func (l *pipelinePlan) dependenciesOf(shape, i, n int) []int {
	switch {
	case i == 0:
		return nil
	case shape == 0: // a chain
		return []int{i - 1}
	case shape == 1 && i < n-1: // a fan-out, which the last job joins: a diamond
		return []int{0}
	case shape == 1:
		all := make([]int, 0, n)
		for k := 1; k < n-1; k++ {
			all = append(all, k)
		}
		return all
	case shape == 2: // a fan-out without a join
		return []int{0}
	}
	var some []int
	for k := range i {
		if l.rng.IntN(3) == 0 {
			some = append(some, k)
		}
	}
	return some
}

// start has a user submit a pipeline, each job as soon as its dependencies are accepted. In one of
// eight pipelines the last job is submitted only when all others have ended.
func (l *pipelinePlan) start() {
	shape, n := l.rng.IntN(4), 2+l.rng.IntN(6)
	if shape == 2 && l.rng.IntN(4) == 0 {
		n = 40 // a wide fan-out
	}
	late := l.rng.IntN(8) == 0
	var jobs []*userJob
	for i := range n {
		j := l.newJob(i == n-1)
		for _, k := range l.dependenciesOf(shape, i, n) {
			j.dependencies = append(j.dependencies, jobs[k])
		}
		if l.rng.IntN(6) == 0 {
			j.dependencies = append(j.dependencies, l.acceptedUserJob()...)
		}
		jobs = append(jobs, j)
		l.w.jobs[j.spec.Ref] = j
	}
	for i, j := range jobs {
		l.submit(j, late && i == n-1, jobs[:i])
	}
	if l.rng.IntN(3) == 0 {
		j := jobs[l.rng.IntN(len(jobs))]
		l.w.after(l.between(0, l.w.options.Length/3), func() { l.cancel(j) })
	}
}

// newJob returns one job of a pipeline. All jobs are small; about one of forty always fails, so its
// user will cancel it. The last job has a deadline.
func (l *pipelinePlan) newJob(last bool) *userJob {
	l.jobs++
	j := &userJob{
		w: l.w, done: map[int]bool{}, run: l.between(time.Second, 8*time.Second), failsAlways: l.rng.IntN(40) == 0,
	}
	s := &j.spec
	s.Ref, s.Class, s.Team = pipelineJobRefs.ref(l.jobs), "c", "green"
	if l.rng.IntN(3) == 0 {
		s.Team = "blue"
	}
	s.Image, s.ImageGB = fmt.Sprintf("img-%d", l.rng.IntN(3)), 1
	s.Tasks, s.CPUs, s.MemGB, s.Spot = 1+l.rng.IntN(3), 1, 1, l.rng.IntN(2) == 0
	s.Priority = pipeline.Priority(l.rng.IntN(4))
	if l.rng.IntN(4) == 0 {
		s.Shape = pipeline.Gang
	}
	s.Estimate = j.run
	if last {
		s.Deadline = l.between(20*time.Second, 2*time.Minute)
	}
	j.wantsCancel = j.failsAlways
	return j
}

// acceptedUserJob returns an accepted job of an ordinary user, for a job of the pipeline to depend
// on. It tries five random ones, and returns nothing if none of them is suitable.
func (l *pipelinePlan) acceptedUserJob() []*userJob {
	for range 5 {
		ref := userJobRefs.ref(userJobNumber(l.rng.IntN(max(1, l.w.options.Jobs))))
		if o := l.w.jobs[ref]; o != nil && o.accepted && o.spec.Shape != pipeline.Service {
			return []*userJob{o}
		}
	}
	return nil
}

// submit submits a job once its dependencies are accepted. A late one also waits until the others
// have ended or Options.Length has passed.
func (l *pipelinePlan) submit(j *userJob, late bool, others []*userJob) {
	for _, p := range j.dependencies {
		if !p.accepted {
			l.w.after(l.between(100*time.Millisecond, time.Second), func() { l.submit(j, late, others) })
			return
		}
	}
	for _, p := range others {
		if late && p.reportedPhase == pipeline.Active && l.w.elapsed() < l.w.options.Length {
			l.w.after(time.Second, func() { l.submit(j, late, others) })
			return
		}
	}
	j.submit()
}

// cancel has a user cancel a job once it is accepted. In worlds with random faults, half of the
// time an outage follows the confirmation.
func (l *pipelinePlan) cancel(j *userJob) {
	if !j.accepted {
		l.w.after(time.Second, func() { l.cancel(j) })
		return
	}
	j.cancel()
	if l.w.options.Faults && l.rng.IntN(2) == 0 {
		l.outageOnceCancelReported(j)
	}
}

// outageOnceCancelReported has the state service fail as soon as the user is told that the job is
// cancelled, mostly for longer than the job's dependents may still be reported as active. Half of
// the time all controllers crash too.
func (l *pipelinePlan) outageOnceCancelReported(j *userJob) {
	w := l.w
	if w.elapsed() > w.options.Length-w.options.CancelWithin {
		return
	}
	if j.reportedPhase != pipeline.Cancelled {
		w.after(10*time.Millisecond, func() { l.outageOnceCancelReported(j) })
		return
	}
	w.outage(l.between(w.options.CancelWithin/2, w.options.CancelWithin*5/4))
	if l.rng.IntN(2) == 0 {
		for _, n := range w.nodes {
			n.crash(l.between(10*time.Millisecond, 4*time.Second))
		}
	}
}
