package simulation

import (
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// taskLedger records which tasks are on machines and which commands about them have arrived. Invariants look
// things up in it; it checks nothing itself.
type taskLedger struct {
	w                 *World
	onMachines        map[string]map[*task]bool // by the task's name
	newestAttempt     map[string]uint64         // by the task's name
	preempted         map[string]bool           // tasks that are to stop for a job with a better claim, by name
	preemptedAttempts map[string]bool           // the same by attempt, whose start may arrive after the decision

	started                 int // tasks that were started
	startsAfterCancellation int // starts that arrived after the job's user knew that it is cancelled
	borrowedPreempted       int // tasks of jobs on borrowed quota that were preempted
}

func newTaskLedger(w *World) *taskLedger {
	return &taskLedger{w: w, onMachines: map[string]map[*task]bool{}, newestAttempt: map[string]uint64{},
		preempted: map[string]bool{}, preemptedAttempts: map[string]bool{}}
}

// record takes in what has happened, before the invariants hear of it.
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

// recordStartCommand notes the newest attempt of a task, which nothing has preempted. A start that comes after
// its job's user knew that it is cancelled breaks no rule as long as the task is gone in time, so it is counted.
func (l *taskLedger) recordStartCommand(t *task) {
	l.newestAttempt[taskName(t)] = max(l.newestAttempt[taskName(t)], t.attempt)
	delete(l.preempted, taskName(t))
	if t.job.reportedPhase == pipeline.Cancelled {
		l.startsAfterCancellation++
	}
}

// recordPreemptions notes the attempts that an engine preempts.
func (l *taskLedger) recordPreemptions(preempted []*fleet.Attempt) {
	for _, a := range preempted {
		l.preempted[a.TaskID.String()] = true
		l.preemptedAttempts[taskKey(a.Ref, a.Task, a.Number)] = true
		if j := l.w.jobs[a.Ref]; j != nil && j.spec.Class == borrowingClass {
			l.borrowedPreempted++
		}
	}
}

// taskLeft notes that a task is no longer on its machine, for whatever reason.
func (l *taskLedger) taskLeft(t *task) { delete(l.onMachines[taskName(t)], t) }

// each calls a function for every task on a machine, in no particular order.
func (l *taskLedger) each(fn func(*task)) {
	for _, tasks := range l.onMachines {
		for t := range tasks {
			fn(t)
		}
	}
}

// teamUse sums up what the tasks of a team that are on machines use.
func (l *taskLedger) teamUse(team string) (cpus, gpus float64) {
	l.each(func(t *task) {
		if t.job.spec.Team == team {
			cpus, gpus = cpus+t.job.spec.CPUs, gpus+t.job.spec.GPUs
		}
	})
	return cpus, gpus
}

// stoppedByChoice tells whether nothing but the service's own choice asks for a task's end: neither its user,
// nor failures or the end of its machine, nor a job with a better claim, nor a newer attempt in its place.
func (l *taskLedger) stoppedByChoice(t *task) bool {
	switch {
	case t.job.mayBeCancelled(), t.m.failures > 0, t.m.faulty, !t.m.interruptionAt.IsZero():
		return false
	case l.preempted[taskName(t)], l.preemptedAttempts[t.key()]:
		return false
	}
	return t.attempt == l.newestAttempt[taskName(t)]
}
