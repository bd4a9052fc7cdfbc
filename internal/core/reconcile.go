package core

// Reconciliation of the tasks that heartbeats report with the records (docs/recovery.md). Package
// recovery makes the decisions.

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/recovery"
)

// observe compares a reported task with what is known about it, for recovery.Classify. a is the
// known attempt of the task on this machine, nil if there is none; token is the heartbeat's fencing
// token.
func (e *Engine) observe(m *fleet.Machine, a *fleet.Attempt, token uint64, t fleet.TaskStatus) recovery.ObservedTask {
	exited := t.State == fleet.Exited
	o := recovery.ObservedTask{
		Exited: exited, Done: exited && t.Cause == fleet.CauseDone,
		TermConfirmed: token == e.numbers.term,
	}
	if j := e.jobs.get(t.Ref); j != nil && t.Task < len(j.Tasks) {
		o.JobOpen, o.ResultWanted = !j.Over(), j.Tasks[t.Task].State() != pipeline.Finished
		o.Gang = j.Shape == pipeline.Gang && len(j.Tasks) > 1
	}
	if a != nil {
		o.Inherited = a.Inherited
		o.Holder = holderHere(a, t.Attempt)
		return o
	}
	if other := e.holderElsewhere(m, fleet.TaskID{Ref: t.Ref, Task: t.Task}); other != nil {
		o.Holder = recovery.HolderElsewhere
		if unsent(other) {
			o.Holder = recovery.HolderUnsentElsewhere
		}
	}
	return o
}

// unsent reports whether an attempt's start hasn't been sent.
func unsent(a *fleet.Attempt) bool { return a.State() <= fleet.Recorded && !a.Inherited }

// holderHere returns the relation of the known attempt on a machine to the reported one.
func holderHere(a *fleet.Attempt, reported uint64) recovery.Holder {
	switch {
	case a.Number == reported:
		return recovery.HolderThisAttempt
	case unsent(a):
		return recovery.HolderUnsentHere
	case reported > a.Number:
		return recovery.HolderOlderHere
	}
	return recovery.HolderNewerHere
}

// holderElsewhere returns the attempt of a task that is, or may be, on another machine; nil if
// there is none.
func (e *Engine) holderElsewhere(m *fleet.Machine, k fleet.TaskID) *fleet.Attempt {
	j := e.jobs.get(k.Ref)
	if j == nil || k.Task >= len(j.Tasks) || j.Tasks[k.Task].State() != pipeline.Assigned {
		return nil
	}
	other := e.machines.get(j.Tasks[k.Task].Machine)
	if other == nil || other == m {
		return nil
	}
	a := other.Attempt(k)
	if a == nil || a.State() == fleet.Exited {
		return nil
	}
	return a
}

// withdrawStart withdraws the unsent start of a task, on this machine or another. It returns false
// if there is none.
func (e *Engine) withdrawStart(now time.Time, m *fleet.Machine, k fleet.TaskID) bool {
	a := m.Attempt(k)
	if a == nil {
		a = e.holderElsewhere(m, k)
	}
	if a == nil || !unsent(a) {
		return false
	}
	e.stop(now, a.Machine, a, 0)
	return true
}

// newAttempt returns an attempt for a task that was only reported by a heartbeat.
func (e *Engine) newAttempt(t fleet.TaskStatus) *fleet.Attempt {
	a := &fleet.Attempt{TaskID: fleet.TaskID{Ref: t.Ref, Task: t.Task}, Number: t.Attempt}
	if j := e.jobs.get(t.Ref); j != nil && t.Task < len(j.Tasks) {
		a.CPUs, a.GPUs, a.MemGB, a.Image = j.CPUs, j.GPUs, j.MemGB, j.Image
	}
	return a
}

// adoptRunning adopts a running attempt that no record names, which happens after a restore of the
// state service. The attempt is recorded from now on, and its task isn't placed again.
func (e *Engine) adoptRunning(now time.Time, m *fleet.Machine, t fleet.TaskStatus) {
	a := e.newAttempt(t)
	e.attach(now, m, a, t.State)
	e.startLog.addAttempt(a)
	e.jobs.get(t.Ref).Assign(t.Task, m.Name, t.Attempt)
	e.log(LogAttemptAdopted, logAttempt(a)...)
}

// stopUnwanted adds a reported attempt that should not be running, and stops it.
func (e *Engine) stopUnwanted(now time.Time, m *fleet.Machine, t fleet.TaskStatus) {
	a := e.newAttempt(t)
	e.attach(now, m, a, t.State)
	a.RunStart = time.Time{}
	a.Unwanted = true
	e.log(LogUnwantedAttempt, logAttempt(a)...)
	e.stop(now, m, a, 0)
}

// adoptExited adds an attempt whose exit no earlier leader has handled.
func (e *Engine) adoptExited(now time.Time, m *fleet.Machine, t fleet.TaskStatus) {
	a := e.newAttempt(t)
	e.attach(now, m, a, fleet.Running) // updateAttempt then moves it to Exited and updates the counts
	a.RunStart = time.Time{}
}
