package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// The bound of a cancellation (docs/design.md, "The bound of a cancellation"). From
// before its transaction is sent, whatever this node answers a worker with tells it to
// stop the job's tasks (CancelRequested; TestCancelAskedStopsFirst), or, if an earlier
// leader's was confirmed, from this leader's first answer on (New;
// TestFirstAnswerStopsCancelled). So a 200 that doesn't say so answers a heartbeat that was
// sent before the confirmation, and the worker's lease, which counts from there, ends
// within CancelBound of it, whatever happens next: hangs and delayed answers don't
// prolong it, since it counts from the heartbeat and runs on while a machine hangs.

// CancelBound is how long after its confirmation a cancelled task may be on its machine
// at the most: the worker's lease, the drift of two clocks, and the steps of timers.
func (c *Config) CancelBound() time.Duration { return fleet.LeaseBound(c.Lease) }

// CancelKept reports whether a cancellation may be confirmed while tasks of the job may be
// on machines. If not, they have to be proven gone first.
func (c *Config) CancelKept() bool { return c.CancelBound() <= c.CancelWithin }

// cancellations holds the cancellations that are under way, of both kinds: those of
// which it isn't known whether the store holds them, and those that are stored while
// tasks of the job may still be on machines.
type cancellations struct {
	pending  map[string]*pendingCancellation // by job
	stopping map[*pipeline.Job]bool
}

func newCancellations() cancellations {
	return cancellations{pending: map[string]*pendingCancellation{}, stopping: map[*pipeline.Job]bool{}}
}

// pendingCancellation is what is not yet known about a job's cancellation. Meanwhile
// nothing of the job is started, what runs is stopped (it is useless to its user), and
// nobody is told of it from memory: the store is asked (TestNoAnswerWhileOutcomeUnknown).
type pendingCancellation struct {
	transactions   int       // under way
	unknownVersion uint64    // one without an answer may yet change the record if it still has this version; 0: none
	deferredUntil  time.Time // put off until then, for its user to ask again
}

// undecided reports whether the store may hold the cancellation, or may yet come to hold
// it. RecordVersion is that of the job's record, 0 if the job isn't known.
func (p *pendingCancellation) undecided(recordVersion uint64) bool {
	return p.transactions > 0 || p.unknownVersion != 0 && recordVersion <= p.unknownVersion
}

// begin counts a transaction that is about to be sent.
func (c *cancellations) begin(ref string) {
	p := c.pending[ref]
	if p == nil {
		p = &pendingCancellation{}
		c.pending[ref] = p
	}
	p.transactions++
}

// resolve forgets what was pending: the store is known to hold the cancellation, or the
// end of the job.
func (c *cancellations) resolve(ref string) { delete(c.pending, ref) }

// transactionEnded takes in how a transaction ended that didn't certainly cancel the job; one
// that was put off is expected again by deferredUntil. It returns false if nothing is pending.
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

// outcomeUnknown reports whether a transaction without an answer may yet change the job's record.
func (c *cancellations) outcomeUnknown(ref string, recordVersion uint64) bool {
	p := c.pending[ref]
	return p != nil && p.unknownVersion >= recordVersion
}

// stop notes a job that is cancelled and of which tasks may still be on machines.
func (c *cancellations) stop(j *pipeline.Job) { c.stopping[j] = true }

// stopped notes that nothing of a cancelled job is on machines any more.
func (c *cancellations) stopped(j *pipeline.Job) { delete(c.stopping, j) }

// beingStopped lists the jobs between stop and stopped, by name.
func (c *cancellations) beingStopped() []*pipeline.Job {
	if len(c.stopping) == 0 {
		return nil // asked with every tick
	}
	return slices.SortedFunc(maps.Keys(c.stopping), func(a, b *pipeline.Job) int { return cmp.Compare(a.Ref, b.Ref) })
}

// isPending reports whether something isn't known yet about a cancellation of the job.
func (c *cancellations) isPending(ref string) bool { return c.pending[ref] != nil }

// inTransaction reports whether a transaction is under way that cancels the job.
func (c *cancellations) inTransaction(ref string) bool {
	p := c.pending[ref]
	return p != nil && p.transactions > 0
}

// undecided reports whether the store may hold a cancellation of the job that isn't known
// here, and forgets what has been decided.
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

// deferred reports whether the job's cancellation is put off, and forgets it once its user
// hasn't asked again in time.
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

// CancelRequested says that a transaction is about to be sent that cancels a job.
type CancelRequested struct{ Ref string }

func (c CancelRequested) apply(e *Engine, now time.Time) {
	e.cancellations.begin(c.Ref)
	if j := e.jobs.get(c.Ref); j != nil {
		e.stopJob(now, j, stopCancelRequested)
	}
}

// CancelUndecided says how a transaction ended that didn't certainly cancel the job; one
// that did brings JobStored or JobFinished.
type CancelUndecided struct {
	Ref      string
	Unknown  bool   // it may have been carried out, or may yet be
	Version  uint64 // of the record that it changes, if so
	Deferred bool   // it wasn't sent, and is expected again
}

func (c CancelUndecided) apply(e *Engine, now time.Time) {
	if !e.cancellations.transactionEnded(c, now.Add(e.cfg.CancelWithin)) {
		return // resolved meanwhile
	}
	if j := e.jobs.get(c.Ref); c.Unknown && j != nil {
		e.resolveUnknownOutcome(j)
	}
	e.cancelUndecided(c.Ref) // forgets what is decided
	e.rounds.request()
}

// resolveUnknownOutcome requests a new write of the record of a job whose cancellation may yet
// be carried out: a transaction that was meant for an earlier version of the record fails
// from then on (docs/design.md, "The bound of a cancellation", 1; TestCancelWithoutAnswer,
// TestCancelInDoubt).
func (e *Engine) resolveUnknownOutcome(j *pipeline.Job) {
	if e.cancellations.outcomeUnknown(j.Ref, j.Version) {
		j.MarkDirty(0)
		e.jobWrites.jobChanged(j)
	}
}

// cancelUndecided reports whether the store may hold a cancellation that isn't known here.
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

// cancelHolds reports whether nothing of a job may be started because of its cancellation.
func (e *Engine) cancelHolds(now time.Time, ref string) bool {
	return e.cancelUndecided(ref) || e.cancellations.deferred(now, ref)
}

// enforceCancellations makes sure that the tasks of cancelled jobs are gone in time,
// also on machines that don't answer: those are released (docs/design.md, safety
// argument 8; TestCancelIsFinalAndInTime).
func (e *Engine) enforceCancellations(now time.Time) {
	for _, j := range e.cancellations.beingStopped() {
		left := e.usage.attemptsOf(j.Ref)
		if len(left) == 0 {
			e.cancellations.stopped(j)
			e.jobWrites.jobChanged(j) // its final entry can be written
			continue
		}
		late := now.Sub(j.CancelAt) > e.cfg.CancelWithin*6/10
		for _, a := range left {
			e.stop(now, a.Machine, a, 0)
			if late {
				e.scaleIn(now, a.Machine, ScaleInCancelledTask)
			}
		}
	}
}

// MayBeOnMachines reports whether any task of a job may be on a machine.
func (e *Engine) MayBeOnMachines(ref string) bool { return len(e.usage.attemptsOf(ref)) > 0 }
