package core

import (
	"slices"
	"sort"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// classStats is what finished tasks taught about a class of jobs.
type classStats struct {
	runs   int
	ratio  float64 // run time over estimate, smoothed
	lastAt time.Time
	rate   float64        // tasks a second as of lastAt
	spec   *pipeline.Spec // its latest job's
}

// JobStored brings a job's record as the store holds it: a newly accepted job,
// or one that another node has cancelled.
type JobStored struct{ Job StoredJob }

func (s JobStored) apply(e *Engine, now time.Time) {
	ref := s.Job.Record.Spec.Ref
	j := e.jobs[ref]
	if j == nil {
		if _, over := e.finals[ref]; !over {
			e.addJob(now, s.Job)
			e.debug("job known", "job", ref)
		}
		return
	}
	if s.Job.Version <= j.Version {
		return
	}
	j.Version = s.Job.Version
	if s.Job.Record.Phase == pipeline.Cancelled {
		e.cancellations.resolve(ref)
	}
	dependencies := j.Dependencies()
	if s.Job.Record.Phase == pipeline.Cancelled && j.Cancel(time.UnixMilli(s.Job.Record.CancelledMS)) {
		e.graph.RemoveDependencies(j, dependencies)
		e.note("job cancelled", "job", ref)
		e.cancellations.stopping[j] = true
		e.stopJob(now, j, "cancelled")
		e.cancelDependents(now, ref)
	}
	e.jobWrites.jobChanged(j)
}

// JobFinal says that the store holds a job's final entry.
type JobFinal struct {
	Ref   string
	Final pipeline.Final
}

func (f JobFinal) apply(e *Engine, now time.Time) { e.finished(now, f.Ref, f.Final) }

// finished takes in that the store holds a job's final entry.
func (e *Engine) finished(now time.Time, ref string, f pipeline.Final) {
	if len(e.finals) >= maxFinals {
		clear(e.finals) // the store still knows them
	}
	e.finals[ref] = f
	e.cancellations.resolve(ref)
	e.dependencyOver(now, ref, f)
	j := e.jobs[ref]
	if j == nil {
		return
	}
	j.SetStoredPhase(f.Phase)
	e.forgetStoredResults(j)
	delete(e.cancellations.stopping, j)
	e.removeJob(j)
	e.jobWrites.jobOver(j)
	e.note("job over", "job", ref, "phase", f.Phase)
}

// maxFinals bounds the final states kept at hand.
const maxFinals = 20_000

func (e *Engine) addJob(now time.Time, s StoredJob) {
	j, err := pipeline.NewJob(s.Record, s.Version, s.Chunks)
	if err != nil {
		e.note("job record unusable", "job", s.Record.Spec.Ref, "error", err)
		return
	}
	e.jobs[j.Ref] = j
	e.useOf(j.Ref)
	at := sort.Search(len(e.order), func(i int) bool { return before(j, e.order[i]) })
	e.order = append(e.order, nil)
	copy(e.order[at+1:], e.order[at:])
	e.order[at] = j
	j.CompleteIfDone()
	e.graph.Add(j)
	switch j.Phase() {
	case pipeline.Held:
		e.applyKnownDependencies(now, j)
	case pipeline.Cancelled:
		e.cancellations.resolve(j.Ref)
		e.cancellations.stopping[j] = true
		e.cancelDependents(now, j.Ref)
	default:
		e.becameReady(now, j)
	}
	e.resolveUnknownOutcome(j)
	e.jobWrites.jobChanged(j)
}

func sortedJobs(set map[*pipeline.Job]bool) []*pipeline.Job {
	if len(set) == 0 {
		return nil
	}
	out := make([]*pipeline.Job, 0, len(set))
	for j := range set {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Ref < out[k].Ref })
	return out
}

// before orders jobs by urgency, and within it by when they became ready.
func before(a, b *pipeline.Job) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if !a.Submitted.Equal(b.Submitted) {
		return a.Submitted.Before(b.Submitted)
	}
	return a.Ref < b.Ref
}

func (e *Engine) class(name string) *classStats {
	c := e.classes[name]
	if c == nil {
		c = &classStats{ratio: 1}
		e.classes[name] = c
	}
	return c
}

func (e *Engine) removeJob(j *pipeline.Job) {
	delete(e.jobs, j.Ref)
	e.graph.Remove(j)
	e.forgetUse(j.Ref)
	if i := slices.Index(e.order, j); i >= 0 {
		e.order = slices.Delete(e.order, i, i+1)
	}
}

// JobView is what may be told about a job.
type JobView struct {
	Phase         pipeline.Phase
	Done, Running int
}

// Lookup tells of a job what the store is known to hold; false if it isn't known here.
func (e *Engine) Lookup(ref string) (JobView, bool) {
	if f, ok := e.finals[ref]; ok {
		return finalView(f), true
	}
	j := e.jobs[ref]
	if j == nil {
		return JobView{}, false
	}
	if j.Phase() != j.StoredPhase() || e.cancelUndecided(ref) || !e.graph.OutcomesKnown(j) {
		// The store may hold more than is known here; a node that reads it there
		// must not be contradicted.
		return JobView{}, false
	}
	v := JobView{Phase: j.StoredPhase(), Done: j.Count(pipeline.Finished)}
	switch v.Phase {
	case pipeline.Active:
		v.Running = e.useOf(ref).running
	case pipeline.Held:
		v.Phase = pipeline.Active // none of it runs, and that is what users are told
	}
	return v, true
}

func finalView(f pipeline.Final) JobView {
	v := JobView{Phase: f.Phase}
	if f.Phase == pipeline.Done {
		v.Done = f.Tasks
	}
	return v
}

// attemptsOf lists the attempts of a job that may be on machines, by machine.
func (e *Engine) attemptsOf(ref string) []*fleet.Attempt {
	u := e.use[ref]
	if u == nil || len(u.attempts) == 0 {
		return nil
	}
	out := make([]*fleet.Attempt, 0, len(u.attempts))
	for a := range u.attempts {
		out = append(out, a)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].On.Name != out[k].On.Name {
			return out[i].On.Name < out[k].On.Name
		}
		return out[i].Task < out[k].Task
	})
	return out
}

// stopJob ends all attempts of a job at once: nothing they could save counts.
func (e *Engine) stopJob(now time.Time, j *pipeline.Job, why string) {
	for _, a := range e.attemptsOf(j.Ref) {
		e.stop(now, a.On, a, 0)
	}
	e.debug("job stopped", "job", j.Ref, "why", why)
}

// stop tells an attempt to end, saving first if grace allows. A start that
// hasn't left is simply withdrawn.
func (e *Engine) stop(now time.Time, m *fleet.Machine, a *fleet.Attempt, grace time.Duration) {
	switch a.State() {
	case fleet.Exited:
		return
	case fleet.Intended, fleet.Recorded:
		if !a.Inherited {
			e.detach(now, m, a)
			e.requeue(a)
			return
		}
	}
	if a.Stopping && a.Grace <= grace {
		return
	}
	a.Stopping, a.StopAt, a.Grace = true, now, grace
	e.touch(m)
	if a.State() != fleet.Sent {
		a.CommandSeq = 0
	}
	if a.State() == fleet.Sent || m.Session == 0 {
		return // goes with the next report's response, once it is there
	}
	e.direct(m, fleet.Command{Op: fleet.Stop, Ref: a.Ref, Task: a.Task, Attempt: a.Number, Grace: grace})
}

func (e *Engine) direct(m *fleet.Machine, c fleet.Command) {
	for i := range e.out.Direct {
		if d := &e.out.Direct[i]; d.Machine == m.Name {
			d.Commands = append(d.Commands, c)
			return
		}
	}
	e.out.Direct = append(e.out.Direct, Direct{Machine: m.Name, Addr: m.Addr, Session: m.Session, Token: e.term, Commands: []fleet.Command{c}})
}

// requeue lets the task of a gone attempt be placed again.
func (e *Engine) requeue(a *fleet.Attempt) {
	if j := e.jobs[a.Ref]; j != nil && a.Task < len(j.Tasks) && j.Tasks[a.Task].Attempt == a.Number {
		j.Requeue(a.Task)
	}
}

// attemptLost handles an attempt that is proven gone without a reported exit.
func (e *Engine) attemptLost(now time.Time, m *fleet.Machine, a *fleet.Attempt, why string) {
	e.detach(now, m, a)
	e.debug("attempt gone", "job", a.Ref, "task", a.Task, "machine", m.Name, "why", why)
	e.requeue(a)
	e.stopBrokenGang(now, a)
}

// stopBrokenGang stops the rest of a gang that has lost a task: an attempt of a
// gang runs whole or not at all.
func (e *Engine) stopBrokenGang(now time.Time, a *fleet.Attempt) {
	j := e.jobs[a.Ref]
	if j == nil || j.Shape != pipeline.Gang || j.Tasks[0].State() == pipeline.Finished || len(j.Tasks) == 1 {
		return
	}
	for _, b := range e.attemptsOf(a.Ref) {
		if !b.Stopping {
			e.stop(now, b.On, b, 0)
		}
	}
}

// taskExited handles a reported exit, once.
func (e *Engine) taskExited(now time.Time, m *fleet.Machine, a *fleet.Attempt, t fleet.TaskReport) {
	if a.State() == fleet.Exited {
		return // reported again, until the worker is told to forget it
	}
	j := e.jobs[a.Ref]
	current := j != nil && a.Task < len(j.Tasks) && j.Tasks[a.Task].Attempt == a.Number
	ran := a.RunStart
	e.moveAttempt(now, m, a, fleet.Exited)
	a.Cause, a.CommandSeq = t.Cause, 0
	if t.Cause == fleet.CauseDone {
		e.debug("attempt done", "job", a.Ref, "task", a.Task, "machine", m.Name)
		m.Forgive()
		if j == nil || j.Over() || a.Task >= len(j.Tasks) {
			a.Handled = true
			return
		}
		if !ran.IsZero() && j.Estimate > 0 {
			e.learnRunTime(j, now.Sub(ran))
		}
		e.useOf(a.Ref).results[a] = true // may be forgotten once written
		j.Finish(a.Task)
		if j.CompleteIfDone() {
			e.note("job complete", "job", j.Ref)
		}
		e.jobWrites.jobChanged(j)
		return
	}
	a.Handled = true
	e.debug("attempt exited", "job", a.Ref, "task", a.Task, "machine", m.Name, "cause", t.Cause, "saved", t.Saved)
	if !current {
		return
	}
	switch t.Cause {
	case fleet.CauseError:
		e.taskFailed(now, m, j, a.Task)
	case fleet.CauseNoRoom, fleet.CauseBusy:
		m.HoldUntil = now.Add(min(e.cfg.ReportEvery, 3*time.Second))
		m.DropImage(a.Image)
	case fleet.CauseUnknown:
		j.Tasks[a.Task].NotUntil = now.Add(2 * time.Second)
	}
	j.Requeue(a.Task)
	e.stopBrokenGang(now, a)
	e.replan = true
}

// sickAfterJobs is how many different jobs must fail on a machine, with no success
// between, before the machine is blamed; sickAfterErrors the same for bad exits.
const (
	sickAfterJobs   = 2
	sickAfterErrors = 3
)

// taskFailed weighs an exit with an error against the machine before the job.
func (e *Engine) taskFailed(now time.Time, m *fleet.Machine, j *pipeline.Job, task int) {
	m.Blame(j.Ref)
	j.TaskFailed(now, task, e.cfg.RestartLimit)
	e.jobWrites.jobChanged(j)
	e.touch(m)
	if !m.Sick && (len(m.ErrorJobs) >= sickAfterJobs || m.Errors >= sickAfterErrors && len(j.AvoidUntil) == 0) {
		m.Sick = true
		e.timers.schedule(m, now)
		e.note("machine taken for sick", "machine", m.Name, "errors", m.Errors)
		for ref := range m.ErrorJobs {
			if o := e.jobs[ref]; o != nil {
				delete(o.AvoidUntil, m.Name)
			}
		}
		return
	}
	if !m.Sick {
		j.Avoid(now, m.Name)
	}
}

// learnRunTime takes in how long a task ran against its estimate.
func (e *Engine) learnRunTime(j *pipeline.Job, ran time.Duration) {
	c := e.class(j.Class)
	r := min(max(float64(ran)/float64(j.Estimate), 0.1), 10)
	c.runs++
	w := max(1/float64(c.runs), 0.1)
	c.ratio += (r - c.ratio) * w
}
