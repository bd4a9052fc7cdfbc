package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/pipeline"
)

// Jobs may depend on other jobs. A job becomes ready once the store holds that all its dependencies
// are done, and is cancelled once one of them is cancelled. Both follow from the records alone, so
// a new leader reaches the same result, wherever the last one stopped (docs/design.md, "Pipelines"
// and safety arguments 14 and 15).

// becameReady records that a job's tasks may be placed from now on, and requests a round of
// decisions.
func (e *Engine) becameReady(now time.Time, j *pipeline.Job) {
	e.classes.class(j.Class).arrived(now, &j.Spec, j.Count(pipeline.Waiting))
	e.warm.noteClass(j.Class)
	e.rounds.request()
}

// applyKnownDependencies applies to a new job what is already known about its dependencies.
func (e *Engine) applyKnownDependencies(now time.Time, j *pipeline.Job) {
	for _, ref := range j.Dependencies() {
		if f, over := e.jobs.final(ref); over {
			e.dependencyOver(now, ref, f)
		} else if d := e.jobs.get(ref); d != nil && d.Phase() == pipeline.Cancelled {
			e.cancelDependents(now, ref)
		}
	}
}

// dependencyOver applies a stored final entry to the dependents of its job: they are cancelled with
// it, or become ready if it was their last missing dependency.
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

// cancelDependents cancels all direct and indirect dependents of a cancelled job. None of their
// tasks has been started, so their final entries can be written at once
// (TestCancelReachesAllAtOnce).
func (e *Engine) cancelDependents(now time.Time, ref string) {
	for _, j := range e.graph.JobCancelled(ref, now) {
		e.log(LogJobCancelledDependent, logJob(j), slog.String("dependency", ref))
		e.jobWrites.jobChanged(j)
	}
}

// DependenciesToLookUp returns up to `limit` dependencies that aren't known here. The caller looks
// each up in the store and reports the result as JobFinished or JobStored, or as
// DependencyLookupFailed if the lookup fails.
func (e *Engine) DependenciesToLookUp(limit int) []string { return e.graph.ToLookUp(limit) }

// DependencyLookupFailed says that the lookup of a dependency failed. It is to be tried again.
type DependencyLookupFailed struct{ Ref string }

func (d DependencyLookupFailed) apply(e *Engine, _ time.Time) { e.graph.LookUpAgain(d.Ref) }

// stageOverhead returns the time that each job in a chain of dependencies takes besides the run of
// its tasks: until the end of its last dependency is written, and until machines fetch their
// commands.
func (e *Engine) stageOverhead() time.Duration { return e.cfg.HeartbeatInterval/2 + time.Second }

// expectedDuration returns how long a job is expected to take once it is ready: the expected run
// time of its tasks plus a margin of a quarter, the fetch of its image, and stageOverhead
// (docs/design.md, "Pipelines").
func (e *Engine) expectedDuration(j *pipeline.Job) time.Duration {
	return e.expectedRun(j)*5/4 + e.expectedFetch(j) + e.stageOverhead()
}
