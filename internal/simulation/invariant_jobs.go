package simulation

import (
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// queriesFailAtMost is how long all queries about a job may fail once all faults are over. The protocol
// allows 90 s.
const queriesFailAtMost = 75 * time.Second

// jobsRemembered holds forgotten and invented: an accepted job is known to every controller that answers about
// it, queries about it don't fail for long, and a job that nobody submitted is never reported.
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
		i.w.checker.fail("invented: unknown job is called %v", o.view.Phase)
	case queryFinished:
		i.checkAnswered(o.job)
	}
}

// checkAnswered checks that some of the queries about a job are answered.
func (i *jobsRemembered) checkAnswered(j *userJob) {
	if i.w.faultsEndedAt.IsZero() {
		return
	}
	from := i.w.faultsEndedAt
	if j.lastAnsweredAt.After(from) {
		from = j.lastAnsweredAt
	}
	if i.w.now.Sub(from) > queriesFailAtMost {
		i.w.checker.fail("forgotten: no question about %s was answered for %s", j.spec.Ref, i.w.now.Sub(from))
	}
}

// doneIsComplete holds not_done: a job is neither stored nor reported as done before all of its tasks are.
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
			i.w.checker.fail("not_done: %s has %d of %d tasks", j.spec.Ref, len(j.done), j.spec.Tasks)
		}
	}
}

// endsAreFinal holds went_back: a job reported as done or cancelled is never reported as anything else, and a
// job is neither stored nor reported as cancelled unless its user has asked for that, or the user of a job
// that it depends on.
//
// Deliberate faults: "a cancellation that nobody asked for", "an end taken back".
type endsAreFinal struct{ w *World }

func (i *endsAreFinal) observe(o observation) {
	switch o := o.(type) {
	case transactionCommitted:
		i.w.eachStoredEnd(o.changes, func(j *userJob, final pipeline.Final) {
			if final.Phase == pipeline.Cancelled && !j.mayBeCancelled() {
				i.w.checker.fail("went_back: %s is stored as cancelled, and nobody has asked for it", j.spec.Ref)
			}
		})
	case jobReported:
		j, phase := o.job, o.view.Phase
		switch {
		case !o.known:
		case j.reportedPhase != pipeline.Active && phase != j.reportedPhase:
			i.w.checker.fail("went_back: %s from %v to %v", j.spec.Ref, j.reportedPhase, phase)
		case phase == pipeline.Cancelled && !j.mayBeCancelled():
			i.w.checker.fail("went_back: %s cancelled by nobody", j.spec.Ref)
		}
	}
}

// dependentsCancelled: a job whose dependency was reported as cancelled isn't reported as active for longer
// than the time for cancellations.
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

// overdueDependency is a direct or indirect dependency of a job that was reported as cancelled too long ago for
// the job to be still waiting. The time counts from when the job was accepted, if that was later.
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

// everyJobEnds holds nothing_ran, and of a world that goes on without faults for long enough at its end: every
// job that was accepted and can end has ended.
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
			i.w.checker.fail("job %s never came to an end: %+v", j.spec.Ref, j.spec)
		}
	}
}

// eachStoredEnd calls a function for each job of a user whose end a transaction has stored.
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

// Keys of the state service under which jobs are stored.
const (
	jobPrefix   = jobstore.JobPrefix
	finalPrefix = "f/"
)

// finalEntry reads a job's final entry.
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

// holdsJob tells whether the state service holds a job's record or final entry.
func (s *Store) holdsJob(ref string) bool {
	return s.items[jobPrefix+ref] != nil || s.items[finalPrefix+ref] != nil
}
