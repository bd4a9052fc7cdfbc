package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/pipeline"
)

// JobStored carries a job's record as the store holds it: that of a newly accepted job, or of one
// that has been cancelled.
type JobStored struct{ Job StoredJob }

func (s JobStored) apply(e *Engine, now time.Time) {
	ref := s.Job.Record.Spec.Ref
	j := e.jobs.get(ref)
	if j == nil {
		if _, over := e.jobs.final(ref); !over {
			e.addJob(now, s.Job)
			e.debug(LogJobDiscovered, slog.String(logKeyJob, ref))
		}
		return
	}
	if s.Job.Version <= j.Version {
		return
	}
	j.Version = s.Job.Version
	if s.Job.Record.Phase == pipeline.Cancelled {
		e.cancellationStored(now, j, time.UnixMilli(s.Job.Record.CancelledMS))
	}
	e.jobWrites.jobChanged(j)
}

// cancellationStored applies a cancellation of a job that the store holds: it stops the job's tasks
// and cancels its dependents.
func (e *Engine) cancellationStored(now time.Time, j *pipeline.Job, at time.Time) {
	e.cancellations.resolve(j.Ref)
	dependencies := j.Dependencies()
	if !j.Cancel(at) {
		return
	}
	e.graph.RemoveDependencies(j, dependencies)
	e.log(LogJobCancelled, logJob(j))
	e.cancellations.stop(j)
	e.stopJob(now, j, stopCancelled)
	e.cancelDependents(now, j.Ref)
}

// JobFinished carries a job's final entry that the store holds.
type JobFinished struct {
	Ref   string
	Final pipeline.Final
}

func (f JobFinished) apply(e *Engine, now time.Time) { e.finished(now, f.Ref, f.Final) }

// finished applies a job's final entry that the store holds, and removes the job.
func (e *Engine) finished(now time.Time, ref string, f pipeline.Final) {
	e.jobs.setFinal(ref, f)
	e.cancellations.resolve(ref)
	e.dependencyOver(now, ref, f)
	j := e.jobs.get(ref)
	if j == nil {
		return
	}
	j.SetStoredPhase(f.Phase)
	e.forgetStoredResults(j)
	e.cancellations.stopped(j)
	e.removeJob(j)
	e.jobWrites.jobOver(j)
	e.drainJobOver(ref)
	e.log(LogJobFinished, slog.String(logKeyJob, ref), slog.String("phase", f.Phase.String()))
}

// addJob adds a job that the store holds and that isn't over as far as is known here.
func (e *Engine) addJob(now time.Time, s StoredJob) {
	j, err := pipeline.NewJob(s.Record, s.Version, s.Chunks)
	if err != nil {
		e.log(LogJobRecordInvalid, slog.String(logKeyJob, s.Record.Spec.Ref), slog.Any("error", err))
		return
	}
	e.jobs.add(j)
	e.usage.track(j.Ref)
	j.CompleteIfDone()
	e.graph.Add(j)
	switch j.Phase() {
	case pipeline.Held:
		e.applyKnownDependencies(now, j)
	case pipeline.Cancelled:
		e.cancellations.resolve(j.Ref)
		e.cancellations.stop(j)
		e.cancelDependents(now, j.Ref)
	default:
		e.becameReady(now, j)
	}
	e.resolveUnknownOutcome(j)
	e.jobWrites.jobChanged(j)
}

// removeJob removes a job that is over.
func (e *Engine) removeJob(j *pipeline.Job) {
	e.jobs.remove(j)
	e.warm.noteJob(j.Ref)
	e.graph.Remove(j)
	e.usage.forgetUnused(j.Ref)
}

// JobView is the state of a job that users may be told.
type JobView struct {
	Phase         pipeline.Phase
	Done, Running int
}

// Lookup returns the state of a job that the store is known to hold. It returns false if that isn't
// known here, and the store has to be asked (docs/design.md, safety argument 9;
// TestNoAnswerWhileOutcomeUnknown).
func (e *Engine) Lookup(ref string) (JobView, bool) {
	if f, ok := e.jobs.final(ref); ok {
		return finalView(f), true
	}
	j := e.jobs.get(ref)
	if j == nil {
		return JobView{}, false
	}
	if j.Phase() != j.StoredPhase() || e.cancelUndecided(ref) || !e.graph.OutcomesKnown(j) {
		// The store may hold a newer state than is known here. Another node that has read it there
		// must not be contradicted.
		return JobView{}, false
	}
	v := JobView{Phase: j.StoredPhase(), Done: j.Count(pipeline.Finished)}
	switch v.Phase {
	case pipeline.Active:
		v.Running = e.usage.ofJob(ref).running
	case pipeline.Held:
		v.Phase = pipeline.Active // users see a held job as active with no running tasks
	}
	return v, true
}

// finalView returns the view of a job with a final entry.
func finalView(f pipeline.Final) JobView {
	v := JobView{Phase: f.Phase}
	if f.Phase == pipeline.Done {
		v.Done = f.Tasks
	}
	return v
}
