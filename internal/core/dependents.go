package core

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// What the jobs of a pipeline are to each other: a job is let go once the store
// holds that all jobs before it are done, and cancelled once one of them is. Both
// follow from the records alone, so that a new leader comes to the same, wherever
// the last one stopped.

// becameReady notes that a job's tasks may be placed from now on.
func (e *Engine) becameReady(now time.Time, j *pipeline.Job) {
	c := e.class(j.Class)
	c.arrived(now, j.Count(pipeline.Waiting))
	c.spec = &j.Spec
	e.replan = true
}

// applyKnownDependencies looks at what is known here of the jobs that a job waits for.
func (e *Engine) applyKnownDependencies(now time.Time, j *pipeline.Job) {
	for _, p := range j.Dependencies() {
		if f, over := e.finals[p]; over {
			e.dependencyOver(now, p, f)
		} else if b := e.jobs[p]; b != nil && b.Phase() == pipeline.Cancelled {
			e.cancelDependents(now, p)
		}
	}
}

// dependencyOver takes in that the store holds the final entry of a job that others may
// be waiting for.
func (e *Engine) dependencyOver(now time.Time, ref string, f pipeline.Final) {
	if f.Phase == pipeline.Cancelled {
		e.cancelDependents(now, ref)
		return
	}
	var end time.Time
	if f.EndMS != 0 {
		end = time.UnixMilli(f.EndMS)
	}
	for _, j := range e.graph.JobDone(ref, end) {
		e.note("job let go", "job", j.Ref, "after", now.Sub(j.Submitted))
		e.becameReady(now, j)
		e.jobWrites.jobChanged(j)
	}
}

// cancelDependents cancels all jobs that need one that is cancelled. Nothing of them
// has been started, so their final entries can be written at once.
func (e *Engine) cancelDependents(now time.Time, ref string) {
	for _, j := range e.graph.JobCancelled(ref, now) {
		e.note("job cancelled with one that it needs", "job", j.Ref, "first", ref)
		e.jobWrites.jobChanged(j)
	}
}

// DependenciesToLookUp names jobs that others wait for and of which nothing is known here, at most
// so many. What the store holds of each comes as JobFinal or JobStored, or, if
// that can't be found out now, as DependencyUnknown.
func (e *Engine) DependenciesToLookUp(most int) []string { return e.graph.ToLookUp(most) }

// DependencyUnknown says that nothing could be learnt of a job that others wait for.
type DependencyUnknown struct{ Ref string }

func (n DependencyUnknown) apply(e *Engine, _ time.Time) { e.graph.LookUpAgain(n.Ref) }

// stageOverhead is what a job in a line takes besides the run of its tasks: until
// what it waits for is written, and until machines fetch their orders.
func (e *Engine) stageOverhead() time.Duration { return e.cfg.ReportEvery/2 + time.Second }

// expectedDuration is how long a job in a line is expected to take once it is let go.
func (e *Engine) expectedDuration(j *pipeline.Job) time.Duration {
	return e.expectedRun(j)*5/4 + e.expectedFetch(j) + e.stageOverhead()
}
