package core

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// The bound of a cancellation. From before its transaction is sent, whatever this
// node answers a worker with tells it to stop the job's tasks (CancelAsked), or, if
// an earlier leader's was confirmed, from this leader's first answer on (New). So a 200
// that doesn't say so answers a report that was sent before the confirmation, and the
// worker's lease, which counts from there, ends within CancelBound of it, whatever
// happens next: hangs and delayed answers don't prolong it, since it counts from the
// report and runs on while a machine hangs.

// CancelBound is how long after its confirmation a cancelled task may be on its machine
// at the most: the worker's lease, the drift of two clocks, and the steps of timers.
func (c *Config) CancelBound() time.Duration { return c.Lease + c.Lease/500 + time.Second }

// CancelKept tells whether a cancellation may be confirmed while tasks of the job may be
// on machines. If not, they have to be proven gone first.
func (c *Config) CancelKept() bool { return c.CancelBound() <= c.CancelWithin }

// cancelling is what is open about a job's cancellation. Meanwhile nothing of the job
// is started, what runs is stopped (it is useless to its user), and nobody is told of it
// from memory: the store is asked.
type cancelling struct {
	open  int       // transactions under way
	doubt uint64    // one without an answer may yet change the record, if it still has this version; 0: none
	until time.Time // put off until then, for its user to ask again
}

// CancelAsked says that a transaction is about to be sent that cancels a job.
type CancelAsked struct{ Ref string }

func (c CancelAsked) apply(e *Engine, now time.Time) {
	k := e.cancels[c.Ref]
	if k == nil {
		k = &cancelling{}
		e.cancels[c.Ref] = k
	}
	k.open++
	if j := e.jobs[c.Ref]; j != nil {
		e.stopJob(now, j, "its user cancels it")
	}
}

// CancelOutcome says how a transaction ended that didn't certainly cancel the job; one
// that did brings JobStored or JobFinal.
type CancelOutcome struct {
	Ref     string
	Unknown bool   // it may have been carried out, or may yet be
	Version uint64 // of the record that it changes, if so
	PutOff  bool   // it wasn't sent, and is expected again
}

func (c CancelOutcome) apply(e *Engine, now time.Time) {
	k := e.cancels[c.Ref]
	if k == nil {
		return // settled meanwhile
	}
	k.open = max(0, k.open-1)
	if c.PutOff {
		k.until = now.Add(e.cfg.CancelWithin)
	}
	j := e.jobs[c.Ref]
	if c.Unknown {
		k.doubt = max(k.doubt, c.Version)
		if j != nil {
			e.settleDoubt(j)
		}
	}
	e.cancelOpen(c.Ref) // forgets what is settled
	e.replan = true
}

// settleDoubt has the record of a job written anew whose cancellation may yet be carried
// out: what was meant for the version before then can't be any more.
func (e *Engine) settleDoubt(j *pipeline.Job) {
	if k := e.cancels[j.Ref]; k != nil && k.doubt >= j.Version {
		j.Touch(0)
		e.writes.jobChanged(j)
	}
}

// cancelAsked tells whether a transaction is under way that cancels the job.
func (e *Engine) cancelAsked(ref string) bool {
	k := e.cancels[ref]
	return k != nil && k.open > 0
}

// cancelOpen tells whether the store may hold a cancellation that isn't known here, and
// forgets what has been settled.
func (e *Engine) cancelOpen(ref string) bool {
	k := e.cancels[ref]
	if k == nil {
		return false
	}
	if k.open > 0 {
		return true
	}
	if j := e.jobs[ref]; k.doubt != 0 && (j == nil || j.Version <= k.doubt) {
		return true
	}
	k.doubt = 0
	if k.until.IsZero() {
		delete(e.cancels, ref)
	}
	return false
}

// cancelHolds tells whether nothing of a job may be started because of its cancellation.
func (e *Engine) cancelHolds(now time.Time, ref string) bool {
	if e.cancelOpen(ref) {
		return true
	}
	k := e.cancels[ref]
	if k == nil {
		return false
	}
	if now.Before(k.until) {
		return true
	}
	delete(e.cancels, ref)
	return false
}

// MayBeOnMachines tells whether any task of a job may be on a machine.
func (e *Engine) MayBeOnMachines(ref string) bool { return len(e.attemptsOf(ref)) > 0 }
