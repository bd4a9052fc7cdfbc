package simulation

import (
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// maxQueryOutage is how long all queries about a job may fail once all faults are over. It is
// stricter than the protocol, which allows 90 s.
const maxQueryOutage = 75 * time.Second

// jobsRemembered checks the rules forgotten and invented: every controller that answers a query
// about an accepted job knows it, such queries don't fail for long, and a job that nobody submitted
// is never reported.
//
// Deliberate faults: "a record lost from the state service", "controllers that stay away", "a record that nobody
// submitted".
type jobsRemembered struct{ w *World }

func (i *jobsRemembered) observe(o observation) {
	switch o := o.(type) {
	case jobReported:
		if !o.known {
			i.w.checker.fail("forgotten: %s", o.job.spec.Ref)
		}
	case unknownJobReported:
		i.w.checker.fail("invented: a job that nobody submitted is reported as %v", o.view.Phase)
	case queryFinished:
		i.checkAnswered(o.job)
	}
}

// checkAnswered checks that, once all faults are over, the queries about a job don't all fail for
// longer than maxQueryOutage.
func (i *jobsRemembered) checkAnswered(j *userJob) {
	if i.w.faultsEndedAt.IsZero() {
		return
	}
	from := i.w.faultsEndedAt
	if j.lastAnsweredAt.After(from) {
		from = j.lastAnsweredAt
	}
	if i.w.now.Sub(from) > maxQueryOutage {
		i.w.checker.fail("forgotten: no query about %s was answered for %s", j.spec.Ref, i.w.now.Sub(from))
	}
}

// doneIsComplete checks the rule not_done: a job is neither stored nor reported as done before all
// of its tasks are.
//
// Deliberate faults: "an end stored too early", "an end reported too early".
type doneIsComplete struct{ w *World }

func (i *doneIsComplete) observe(o observation) {
	switch o := o.(type) {
	case transactionCommitted:
		i.w.eachStoredEnd(o.changes, func(j *userJob, final pipeline.Final) {
			if final.Phase == pipeline.Done && len(j.done) != j.spec.Tasks {
				i.w.checker.fail("not_done: %s is stored as done with %d of %d tasks", j.spec.Ref, len(j.done), j.spec.Tasks)
			}
		})
	case jobReported:
		j := o.job
		if o.known && o.view.Phase == pipeline.Done && len(j.done) != j.spec.Tasks {
			i.w.checker.fail("not_done: %s is reported as done with %d of %d tasks", j.spec.Ref, len(j.done), j.spec.Tasks)
		}
	}
}

// endsAreFinal checks the rule went_back: a job reported as done or cancelled is never reported as
// anything else later, and a job is neither stored nor reported as cancelled unless the
// cancellation of it, or of a job that it depends on, was requested.
//
// Deliberate faults: "a cancellation that nobody asked for", "an end taken back".
type endsAreFinal struct{ w *World }

func (i *endsAreFinal) observe(o observation) {
	switch o := o.(type) {
	case transactionCommitted:
		i.w.eachStoredEnd(o.changes, func(j *userJob, final pipeline.Final) {
			if final.Phase == pipeline.Cancelled && !j.mayBeCancelled() {
				i.w.checker.fail("went_back: %s is stored as cancelled, but no cancellation was requested", j.spec.Ref)
			}
		})
	case jobReported:
		j, phase := o.job, o.view.Phase
		switch {
		case !o.known:
		case j.reportedPhase != pipeline.Active && phase != j.reportedPhase:
			i.w.checker.fail("went_back: %s from %v to %v", j.spec.Ref, j.reportedPhase, phase)
		case phase == pipeline.Cancelled && !j.mayBeCancelled():
			i.w.checker.fail("went_back: %s is reported as cancelled, but no cancellation was requested", j.spec.Ref)
		}
	}
}

// dependentsCancelled: a job whose dependency was reported as cancelled is no longer reported as
// active after Options.CancelWithin.
//
// Deliberate fault: "a job that outlives its dependency".
type dependentsCancelled struct{ w *World }

func (i *dependentsCancelled) observe(o observation) {
	reported, ok := o.(jobReported)
	if !ok || reported.view.Phase != pipeline.Active {
		return
	}
	j := reported.job
	if dependency := i.overdueDependency(j, j.acceptedAt); dependency != nil {
		i.w.checker.fail("orphaned: %s still waits, and %s has been cancelled since %s",
			j.spec.Ref, dependency.spec.Ref, dependency.cancelReportedAt.Sub(i.w.start))
	}
}

// overdueDependency returns a direct or indirect dependency of a job that was reported as cancelled
// too long ago for the job to be still active, nil if there is none. The time counts from when the
// job was accepted, if that was later.
func (i *dependentsCancelled) overdueDependency(j *userJob, accepted time.Time) *userJob {
	for _, dependency := range j.dependencies {
		if dependency.reportedPhase == pipeline.Cancelled {
			from := dependency.cancelReportedAt
			if accepted.After(from) {
				from = accepted
			}
			if i.w.now.Sub(from) > i.w.options.CancelWithin {
				return dependency
			}
		}
		if indirect := i.overdueDependency(dependency, accepted); indirect != nil {
			return indirect
		}
	}
	return nil
}

// everyJobEnds checks the rule nothing_ran, and that every accepted job that can end has ended when
// the world does. Options.SettleTime, in which there are no faults, has to be long enough for that.
//
// Deliberate faults: "no jobs", "a task that never ends".
type everyJobEnds struct{ w *World }

func (i *everyJobEnds) observe(o observation) {
	if _, ended := o.(worldEnded); !ended {
		return
	}
	if i.w.checker.ledger.started == 0 {
		i.w.checker.fail("nothing_ran")
	}
	if i.w.options.Jobs == 0 && !i.w.options.ShortLease {
		return
	}
	for _, j := range i.w.sortedJobs() {
		if j.accepted && !j.failsAlways && j.reportedPhase == pipeline.Active && j.spec.Shape != pipeline.Service {
			i.w.checker.fail("job %s never ended: %+v", j.spec.Ref, j.spec)
		}
	}
}

// eachStoredEnd calls fn for each job whose final entry a transaction has stored.
func (w *World) eachStoredEnd(changes []statestore.Op, fn func(j *userJob, final pipeline.Final)) {
	for _, change := range changes {
		ref, ok := strings.CutPrefix(change.Key, finalPrefix)
		if !ok || change.Delete {
			continue
		}
		if j := w.jobs[ref]; j != nil {
			final, _ := w.finalEntry(ref)
			fn(j, final)
		}
	}
}

// Prefixes of the state service's keys under which jobs and their final entries are stored.
const (
	jobPrefix   = jobstore.JobPrefix
	finalPrefix = "f/"
)

// finalEntry returns a job's final entry in the state service, if there is one.
func (w *World) finalEntry(ref string) (final pipeline.Final, over bool) {
	it := w.store.items[finalPrefix+ref]
	if it == nil {
		return final, false
	}
	if err := codec.Unmarshal(it.value, &final); err != nil {
		w.checker.fail("final entry of %s: %v", ref, err)
	}
	return final, true
}

// holdsJob reports whether the state service holds a job's record or final entry.
func (s *Store) holdsJob(ref string) bool {
	return s.items[jobPrefix+ref] != nil || s.items[finalPrefix+ref] != nil
}
