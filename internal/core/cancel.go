package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// The bound of a cancellation (docs/design.md, "The bound of a cancellation"). Every answer to a
// worker carries the stops of the cancelled job's tasks: from before the transaction of the
// cancellation is sent (CancelRequested; TestCancelAskedStopsFirst), or, if an earlier leader's
// cancellation was confirmed, from this leader's first answer on (New;
// TestFirstAnswerStopsCancelled). So an answer with status 200 and without the stops belongs to a
// heartbeat that was sent before the confirmation. The worker's lease counts from that heartbeat
// and ends within CancelBound of the confirmation. Hangs and delayed answers don't prolong the
// lease, since it counts from the heartbeat and runs on while a machine hangs.

// CancelBound returns how long a cancelled task may remain on its machine after the confirmation:
// the worker's lease, plus allowances for the drift of two clocks and the resolution of timers.
func (c *Config) CancelBound() time.Duration { return fleet.LeaseBound(c.Lease) }

// CancelBoundMet reports whether CancelBound is within CancelWithin, so that a cancellation may be
// confirmed while tasks of the job may be on machines. If not, the tasks have to be proven gone
// first.
func (c *Config) CancelBoundMet() bool { return c.CancelBound() <= c.CancelWithin }

// cancellations holds the cancellations in progress: the pending ones, of which it isn't known
// whether the store holds them, and the stored ones whose jobs may still have tasks on machines.
type cancellations struct {
	pending  map[string]*pendingCancellation // by job
	stopping map[*pipeline.Job]bool          // cancelled jobs that may have tasks on machines
}

func newCancellations() cancellations {
	return cancellations{pending: map[string]*pendingCancellation{}, stopping: map[*pipeline.Job]bool{}}
}

// pendingCancellation is a cancellation of a job whose outcome isn't known yet. Meanwhile no task
// of the job is started, its running tasks are stopped (the user doesn't need them any more), and
// requests for its state are answered from the store, not from memory
// (TestNoAnswerWhileOutcomeUnknown).
type pendingCancellation struct {
	// transactions is the number of transactions in progress.
	transactions int
	// unknownVersion is the version of the record that a transaction without an answer may still
	// change; 0 if there is none.
	unknownVersion uint64
	// deferredUntil is the time by which the user is expected to retry a deferred cancellation. No
	// task of the job is started before it.
	deferredUntil time.Time
}

// undecided reports whether the store may hold the cancellation, or may still come to hold it.
// recordVersion is the version of the job's record, 0 if the job isn't known.
func (p *pendingCancellation) undecided(recordVersion uint64) bool {
	return p.transactions > 0 || p.unknownVersion != 0 && recordVersion <= p.unknownVersion
}

// begin counts a transaction that is about to be sent to cancel a job.
func (c *cancellations) begin(ref string) {
	p := c.pending[ref]
	if p == nil {
		p = &pendingCancellation{}
		c.pending[ref] = p
	}
	p.transactions++
}

// resolve removes a pending cancellation, for instance because the store is known to hold it, or
// the job's final entry.
func (c *cancellations) resolve(ref string) { delete(c.pending, ref) }

// transactionEnded applies the outcome of a transaction that isn't known to have cancelled the job.
// If the cancellation was deferred, its user is expected to retry by deferredUntil.
// transactionEnded returns false if no cancellation of the job is pending.
func (c *cancellations) transactionEnded(end CancelUndecided, deferredUntil time.Time) bool {
	p := c.pending[end.Ref]
	if p == nil {
		return false
	}
	p.transactions = max(0, p.transactions-1)
	if end.Deferred {
		p.deferredUntil = deferredUntil
	}
	if end.Unknown {
		p.unknownVersion = max(p.unknownVersion, end.Version)
	}
	return true
}

// outcomeUnknown reports whether a transaction without an answer may still change the job's record,
// which is at recordVersion.
func (c *cancellations) outcomeUnknown(ref string, recordVersion uint64) bool {
	p := c.pending[ref]
	return p != nil && p.unknownVersion >= recordVersion
}

// stop adds a cancelled job that may still have tasks on machines.
func (c *cancellations) stop(j *pipeline.Job) { c.stopping[j] = true }

// stopped removes a cancelled job that has no tasks on machines any more.
func (c *cancellations) stopped(j *pipeline.Job) { delete(c.stopping, j) }

// beingStopped returns the cancelled jobs that may still have tasks on machines, ordered by name.
func (c *cancellations) beingStopped() []*pipeline.Job {
	if len(c.stopping) == 0 {
		return nil // avoids the sort, since every tick calls this
	}
	return slices.SortedFunc(maps.Keys(c.stopping), func(a, b *pipeline.Job) int { return cmp.Compare(a.Ref, b.Ref) })
}

// isPending reports whether a cancellation of the job is pending.
func (c *cancellations) isPending(ref string) bool { return c.pending[ref] != nil }

// inTransaction reports whether a transaction that cancels the job is in progress.
func (c *cancellations) inTransaction(ref string) bool {
	p := c.pending[ref]
	return p != nil && p.transactions > 0
}

// undecided reports whether the store may hold, or come to hold, a cancellation of the job that
// isn't known here. It removes a pending cancellation that is decided and not deferred.
func (c *cancellations) undecided(ref string, recordVersion uint64) bool {
	p := c.pending[ref]
	if p == nil {
		return false
	}
	if p.undecided(recordVersion) {
		return true
	}
	p.unknownVersion = 0
	if p.deferredUntil.IsZero() {
		c.resolve(ref)
	}
	return false
}

// deferred reports whether the job's cancellation is deferred. It removes a pending cancellation
// that isn't, for instance because its user hasn't retried in time, so callers must first check
// that it isn't undecided.
func (c *cancellations) deferred(now time.Time, ref string) bool {
	p := c.pending[ref]
	if p == nil {
		return false
	}
	if now.Before(p.deferredUntil) {
		return true
	}
	c.resolve(ref)
	return false
}

// CancelRequested says that a transaction that cancels a job is about to be sent.
type CancelRequested struct{ Ref string }

func (c CancelRequested) apply(e *Engine, now time.Time) {
	e.cancellations.begin(c.Ref)
	if j := e.jobs.get(c.Ref); j != nil {
		e.stopJob(now, j, stopCancelRequested)
	}
}

// CancelUndecided carries the outcome of a transaction that isn't known to have cancelled the job.
// A transaction that did is followed by JobStored or JobFinished instead.
type CancelUndecided struct {
	Ref      string
	Unknown  bool   // the transaction may have been carried out, or may still be
	Version  uint64 // if Unknown: version of the record that the transaction changes
	Deferred bool   // the transaction wasn't sent, and the user is expected to retry
}

func (c CancelUndecided) apply(e *Engine, now time.Time) {
	if !e.cancellations.transactionEnded(c, now.Add(e.cfg.CancelWithin)) {
		return // resolved meanwhile
	}
	if j := e.jobs.get(c.Ref); c.Unknown && j != nil {
		e.resolveUnknownOutcome(j)
	}
	e.cancelUndecided(c.Ref) // removes the cancellation if it is decided
	e.rounds.request()
}

// resolveUnknownOutcome requests a new write of the record of a job whose cancellation may still be
// carried out. Once that is written, a transaction for an earlier version of the record fails
// (docs/design.md, "The bound of a cancellation", 1; TestCancelWithoutAnswer, TestCancelInDoubt).
func (e *Engine) resolveUnknownOutcome(j *pipeline.Job) {
	if e.cancellations.outcomeUnknown(j.Ref, j.Version) {
		j.MarkDirty(0)
		e.jobWrites.jobChanged(j)
	}
}

// cancelUndecided reports whether the store may hold, or come to hold, a cancellation of a job that
// isn't known here.
func (e *Engine) cancelUndecided(ref string) bool {
	if !e.cancellations.isPending(ref) {
		return false
	}
	var version uint64
	if j := e.jobs.get(ref); j != nil {
		version = j.Version
	}
	return e.cancellations.undecided(ref, version)
}

// cancelHolds reports whether a pending or deferred cancellation prevents starts of a job's tasks.
func (e *Engine) cancelHolds(now time.Time, ref string) bool {
	return e.cancelUndecided(ref) || e.cancellations.deferred(now, ref)
}

// enforceCancellations ensures that the tasks of cancelled jobs are gone in time, also on machines
// that send no heartbeats: after 60 % of CancelWithin the machines that still hold one are released
// (docs/design.md, safety argument 8; TestCancelIsFinalAndInTime).
func (e *Engine) enforceCancellations(now time.Time) {
	for _, j := range e.cancellations.beingStopped() {
		left := e.usage.attemptsOf(j.Ref)
		if len(left) == 0 {
			e.cancellations.stopped(j)
			e.jobWrites.jobChanged(j) // its final entry can be written
			continue
		}
		late := now.Sub(j.CancelledAt) > e.cfg.CancelWithin*6/10
		for _, a := range left {
			e.stop(now, a.Machine, a, 0)
			if late {
				e.scaleIn(now, a.Machine, ScaleInCancelledTask)
			}
		}
	}
}

// MayHaveAttempts reports whether attempts of a job may be on machines.
func (e *Engine) MayHaveAttempts(ref string) bool { return len(e.usage.attemptsOf(ref)) > 0 }
