package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/pipeline"
)

// JobStored brings a job's record as the store holds it: a newly accepted job,
// or one that another node has cancelled.
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

// cancellationStored takes in that the store holds the cancellation of a job.
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

// JobFinished says that the store holds a job's final entry.
type JobFinished struct {
	Ref   string
	Final pipeline.Final
}

func (f JobFinished) apply(e *Engine, now time.Time) { e.finished(now, f.Ref, f.Final) }

// finished takes in that the store holds a job's final entry.
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

// addJob takes in a job that isn't over as far as the store is known.
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

// removeJob forgets a job that is over.
func (e *Engine) removeJob(j *pipeline.Job) {
	e.jobs.remove(j)
	e.warm.noteJob(j.Ref)
	e.graph.Remove(j)
	e.usage.forgetUnused(j.Ref)
}

// JobView is what may be told about a job.
type JobView struct {
	Phase         pipeline.Phase
	Done, Running int
}

// Lookup tells of a job what the store is known to hold; false if it isn't known here
// (docs/design.md, safety argument 9; TestNoAnswerWhileOutcomeUnknown).
func (e *Engine) Lookup(ref string) (JobView, bool) {
	if f, ok := e.jobs.final(ref); ok {
		return finalView(f), true
	}
	j := e.jobs.get(ref)
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
		v.Running = e.usage.ofJob(ref).running
	case pipeline.Held:
		v.Phase = pipeline.Active // none of it runs, and that is what users are told
	}
	return v, true
}

// finalView is what a final entry says.
func finalView(f pipeline.Final) JobView {
	v := JobView{Phase: f.Phase}
	if f.Phase == pipeline.Done {
		v.Done = f.Tasks
	}
	return v
}
