package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/pipeline"
)

// Jobs may depend on each other. A job is ready once the store holds that all its
// dependencies are done, and cancelled once one of them is. Both follow from the records
// alone, so that a new leader comes to the same, wherever the last one stopped
// (docs/design.md, "Pipelines" and safety arguments 14 and 15).

// becameReady notes that a job's tasks may be placed from now on.
func (e *Engine) becameReady(now time.Time, j *pipeline.Job) {
	e.classes.class(j.Class).arrived(now, &j.Spec, j.Count(pipeline.Waiting))
	e.warm.noteClass(j.Class)
	e.rounds.request()
}

// applyKnownDependencies takes in what is known here of a job's dependencies.
func (e *Engine) applyKnownDependencies(now time.Time, j *pipeline.Job) {
	for _, ref := range j.Dependencies() {
		if f, over := e.jobs.final(ref); over {
			e.dependencyOver(now, ref, f)
		} else if d := e.jobs.get(ref); d != nil && d.Phase() == pipeline.Cancelled {
			e.cancelDependents(now, ref)
		}
	}
}

// dependencyOver takes in that the store holds the final entry of a job that others may
// depend on.
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
		e.log(LogJobDependenciesDone, logJob(j), logSince("waited", now, j.Submitted))
		e.becameReady(now, j)
		e.jobWrites.jobChanged(j)
	}
}

// cancelDependents cancels all direct and indirect dependents of a job that is cancelled.
// Nothing of them has been started, so their final entries can be written at once
// (TestCancelReachesAllAtOnce).
func (e *Engine) cancelDependents(now time.Time, ref string) {
	for _, j := range e.graph.JobCancelled(ref, now) {
		e.log(LogJobCancelledDependent, logJob(j), slog.String("dependency", ref))
		e.jobWrites.jobChanged(j)
	}
}

// DependenciesToLookUp names dependencies of which nothing is known here, at most as many
// as the limit. What the store holds of each comes as JobFinished or JobStored, or, if that
// can't be found out now, as DependencyLookupFailed.
func (e *Engine) DependenciesToLookUp(limit int) []string { return e.graph.ToLookUp(limit) }

// DependencyLookupFailed says that a dependency could not be looked up now.
type DependencyLookupFailed struct{ Ref string }

func (d DependencyLookupFailed) apply(e *Engine, _ time.Time) { e.graph.LookUpAgain(d.Ref) }

// stageOverhead is what a job on a path of dependencies takes besides the run of its tasks:
// until the end of its last dependency is written, and until machines fetch their commands.
func (e *Engine) stageOverhead() time.Duration { return e.cfg.HeartbeatInterval/2 + time.Second }

// expectedDuration is how long a job is expected to take once it is ready: its tasks' run
// with a quarter to spare, the fetch of its image, and the overhead of a stage
// (docs/design.md, "Pipelines").
func (e *Engine) expectedDuration(j *pipeline.Job) time.Duration {
	return e.expectedRun(j)*5/4 + e.expectedFetch(j) + e.stageOverhead()
}
