package simulation

import (
	"gingertally/internal/core/pipeline"
)

// runsOnce checks the rule ran_twice: a task doesn't start on one machine while it is on another. A
// task is on its machine from when its image is fetched until it exits, is killed or the machine is
// gone.
//
// Deliberate fault: "a second attempt beside the first".
type runsOnce struct{ w *World }

func (i *runsOnce) observe(o observation) {
	started, ok := o.(taskStarted)
	if !ok {
		return
	}
	t := started.task
	for other := range i.w.checker.ledger.onMachines[taskName(t)] {
		if other != t {
			i.w.checker.fail("ran_twice: %s starts on %s while on %s", taskName(t), t.m.name, other.m.name)
		}
	}
}

// attemptsUsedOnce: no two starts of a task have the same attempt number, since a late stop of one
// could otherwise end the other.
//
// Deliberate fault: "an attempt number used again".
type attemptsUsedOnce struct {
	w    *World
	used map[string]bool // attempts that have started
}

func (i *attemptsUsedOnce) observe(o observation) {
	started, ok := o.(taskStarted)
	if !ok {
		return
	}
	t := started.task
	if i.used[t.key()] {
		i.w.checker.fail("attempt %d of %s used again", t.attempt, taskName(t))
	}
	i.used[t.key()] = true
}

// allowedPlacement checks the rule wrong_place: a task starts only on a machine whose type, zone and
// kind (spot or on-demand) its job allows, given the zones of the job's other tasks at that moment.
//
// Deliberate faults: "a start in a zone that the job doesn't allow", "a start apart from tasks that share a
// zone", "more than half of a spread job in one zone".
type allowedPlacement struct{ w *World }

func (i *allowedPlacement) observe(o observation) {
	started, ok := o.(taskStarted)
	if !ok {
		return
	}
	t := started.task
	s := &t.job.spec
	if !s.AllowsType(t.m.typ) || (s.Zone != "" && s.Zone != t.m.zone) || (t.m.spot && !s.Spot) {
		i.w.checker.fail("wrong_place: %s on %s (%s, %s, spot %v)", taskName(t), t.m.name, t.m.typ, t.m.zone, t.m.spot)
	}
	i.checkZones(t)
}

// checkZones checks a task's zone against those of its job's other tasks, if the job is to be in
// one zone or spread.
func (i *allowedPlacement) checkZones(t *task) {
	s := &t.job.spec
	sameZone, otherZones := 0, 0
	i.w.checker.ledger.each(func(o *task) {
		switch {
		case o.job != t.job:
		case o.m.zone == t.m.zone:
			sameZone++
		default:
			otherZones++
		}
	})
	if s.OneZone && otherZones > 0 {
		i.w.checker.fail("wrong_place: %s in %s while others are in other zones", taskName(t), t.m.zone)
	}
	if s.Spread && sameZone > (s.Tasks+1)/2 {
		i.w.checker.fail("wrong_place: %d of %d tasks of %s in %s", sameZone, s.Tasks, s.Ref, t.m.zone)
	}
}

// withinQuota checks the rule quota: a team's tasks that are on machines use no more than its limit.
//
// Deliberate fault: "controllers that don't know a lower limit".
type withinQuota struct{ w *World }

func (i *withinQuota) observe(o observation) {
	started, ok := o.(taskStarted)
	if !ok {
		return
	}
	team := started.task.job.spec.Team
	cpus, gpus := i.w.checker.ledger.teamUse(team)
	if !i.w.teams[team].Within(cpus, gpus) {
		i.w.checker.fail("quota: %s uses %g CPUs and %g GPUs", team, cpus, gpus)
	}
}

// storedBeforeStart: a task starts only if the state service holds its job, so that the next leader knows of it.
//
// Deliberate fault: "a start before the job is stored".
type storedBeforeStart struct{ w *World }

func (i *storedBeforeStart) observe(o observation) {
	started, ok := o.(taskStarted)
	if !ok {
		return
	}
	j := started.task.job
	if !j.accepted && !i.w.store.holdsJob(j.spec.Ref) {
		i.w.checker.fail("%s starts, but its job isn't stored", taskName(started.task))
	}
}

// dependenciesFirst: a task starts only once all jobs that its job depends on are stored as done.
//
// Deliberate fault: "a start before a dependency is done".
type dependenciesFirst struct{ w *World }

func (i *dependenciesFirst) observe(o observation) {
	started, ok := o.(taskStarted)
	if !ok {
		return
	}
	for _, dependency := range started.task.job.dependencies {
		if final, over := i.w.finalEntry(dependency.spec.Ref); !over || final.Phase != pipeline.Done {
			i.w.checker.fail("too_early: %s starts, and %s isn't stored as done", taskName(started.task), dependency.spec.Ref)
		}
	}
}

// cancelledTasksEnd checks the rule ran_cancelled: Options.CancelWithin after a user was told that
// a job is cancelled, none of its tasks is on a machine. From then on none starts, begins to run or
// completes either, not even on a machine that was hung in the meantime.
//
// Deliberate faults: "a start long after the cancellation", "stops that don't arrive, and leases that don't
// end".
type cancelledTasksEnd struct{ w *World }

func (i *cancelledTasksEnd) observe(o observation) {
	switch o := o.(type) {
	case taskStarted:
		i.checkTask(o.task, "starts")
	case taskRunning:
		i.checkTask(o.task, "runs")
	case taskExited:
		if o.task.completed() {
			i.checkTask(o.task, "completes")
		}
	case cancellationReported:
		i.w.after(i.w.options.CancelWithin, func() { i.checkEnded(o.job) })
	}
}

// checkTask checks that a task that starts, runs or completes doesn't belong to a job whose tasks
// must have ended.
func (i *cancelledTasksEnd) checkTask(t *task, action string) {
	j := t.job
	if j.reportedPhase == pipeline.Cancelled && i.w.now.Sub(j.cancelReportedAt) > i.w.options.CancelWithin {
		i.w.checker.fail("ran_cancelled: %s %s on %s", taskName(t), action, t.m.name)
	}
}

// checkEnded checks that no task of a cancelled job is on a machine.
func (i *cancelledTasksEnd) checkEnded(j *userJob) {
	i.w.checker.ledger.each(func(t *task) {
		if t.job == j {
			i.w.checker.fail("ran_cancelled: %s is on %s", taskName(t), t.m.name)
		}
	})
}
