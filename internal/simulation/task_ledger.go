package simulation

import (
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// taskLedger records which tasks are on machines, which starts have arrived and which tasks were
// preempted. Invariants read it; it checks nothing itself.
type taskLedger struct {
	w                 *World
	onMachines        map[string]map[*task]bool // by the task's name
	newestAttempt     map[string]uint64         // by the task's name
	preempted         map[string]bool           // tasks that are preempted by another job, by name
	preemptedAttempts map[string]bool           // preempted attempts; a start may arrive after its preemption

	started                 int // attempts that were started
	startsAfterCancellation int // starts that arrived after the user was told that the job is cancelled
	borrowedPreempted       int // tasks of jobs on borrowed quota that were preempted
}

func newTaskLedger(w *World) *taskLedger {
	return &taskLedger{w: w, onMachines: map[string]map[*task]bool{}, newestAttempt: map[string]uint64{},
		preempted: map[string]bool{}, preemptedAttempts: map[string]bool{}}
}

// record updates the ledger with an observation, before the invariants get it.
func (l *taskLedger) record(o observation) {
	switch o := o.(type) {
	case startReceived:
		l.recordStartCommand(o.task)
	case taskStarted:
		l.started++
		name := taskName(o.task)
		if l.onMachines[name] == nil {
			l.onMachines[name] = map[*task]bool{}
		}
		l.onMachines[name][o.task] = true
	case engineStepped:
		l.recordPreemptions(o.effects.Preempted)
	}
}

// recordStartCommand records the newest attempt of a task, which isn't preempted so far. A start
// that arrives after the user was told that the job is cancelled breaks no rule if the task ends in
// time, so it is only counted.
func (l *taskLedger) recordStartCommand(t *task) {
	l.newestAttempt[taskName(t)] = max(l.newestAttempt[taskName(t)], t.attempt)
	delete(l.preempted, taskName(t))
	if t.job.reportedPhase == pipeline.Cancelled {
		l.startsAfterCancellation++
	}
}

// recordPreemptions records the attempts that an engine preempts.
func (l *taskLedger) recordPreemptions(preempted []*fleet.Attempt) {
	for _, a := range preempted {
		l.preempted[a.TaskID.String()] = true
		l.preemptedAttempts[taskKey(a.Ref, a.Task, a.Number)] = true
		if j := l.w.jobs[a.Ref]; j != nil && j.spec.Class == borrowingClass {
			l.borrowedPreempted++
		}
	}
}

// taskLeft records that a task is no longer on its machine, for whatever reason.
func (l *taskLedger) taskLeft(t *task) { delete(l.onMachines[taskName(t)], t) }

// each calls fn for every task on a machine, in no particular order.
func (l *taskLedger) each(fn func(*task)) {
	for _, tasks := range l.onMachines {
		for t := range tasks {
			fn(t)
		}
	}
}

// teamUse sums the resources of a team's tasks that are on machines.
func (l *taskLedger) teamUse(team string) (cpus, gpus float64) {
	l.each(func(t *task) {
		if t.job.spec.Team == team {
			cpus, gpus = cpus+t.job.spec.CPUs, gpus+t.job.spec.GPUs
		}
	})
	return cpus, gpus
}

// stoppedVoluntarily reports whether a stop of a task is voluntary, that is, nothing but the service's
// own choice asks for it: neither a cancellation, nor failures or the reclaim of its machine, nor a
// preemption, nor a newer attempt.
func (l *taskLedger) stoppedVoluntarily(t *task) bool {
	switch {
	case t.job.mayBeCancelled(), t.m.failures > 0, t.m.faulty, !t.m.interruptionAt.IsZero():
		return false
	case l.preempted[taskName(t)], l.preemptedAttempts[t.key()]:
		return false
	}
	return t.attempt == l.newestAttempt[taskName(t)]
}
