package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// task is one attempt of a job's task on a machine, in the state that its worker knows.
type task struct {
	m               *machine
	job             *userJob
	index           int
	attempt         uint64
	state           fleet.AttemptState
	cause           fleet.ExitCause
	checkpointed    bool
	onMachine       bool // it counts as being on the machine: its image is fetched, and it hasn't ended
	timerGeneration int  // incremented by each new timer, which invalidates earlier ones
}

// taskKey returns the key of an attempt of a task.
func taskKey(ref string, index int, attempt uint64) string {
	return fmt.Sprintf("%s/%05d/%d", ref, index, attempt)
}

// key returns the key of the attempt.
func (t *task) key() string { return taskKey(t.job.spec.Ref, t.index, t.attempt) }

// completed reports whether the task has exited because it was done.
func (t *task) completed() bool { return t.state == fleet.Exited && t.cause == fleet.CauseDone }

// timer runs fn after a delay, unless the task gets another timer or exits in the meantime.
func (t *task) timer(d time.Duration, fn func()) {
	t.timerGeneration++
	gen := t.timerGeneration
	t.m.later(d, func() {
		if t.timerGeneration == gen && t.state != fleet.Exited {
			fn()
		}
	})
}

// gangWait is how long a gang's task waits for the others before it gives up.
const gangWait = 15 * time.Second

// occupyMachine marks the task as being on its machine, since its image is fetched, and runs it. A
// gang's tasks run once all of them wait.
func (t *task) occupyMachine() {
	t.onMachine = true
	t.m.w.checker.observe(taskStarted{t})
	if t.job.spec.Shape != pipeline.Gang {
		t.run()
		return
	}
	t.state = fleet.WaitingForGang
	t.timer(gangWait, func() { t.exit(fleet.CauseGangIncomplete, false) })
	mates := t.job.mates(t.attempt)
	if len(mates) < t.job.spec.Tasks {
		return
	}
	for _, o := range mates {
		if o.state != fleet.WaitingForGang {
			return
		}
	}
	for _, o := range mates {
		o.run()
	}
}

// run begins the task's work, and schedules its end. A replica of a service doesn't end by itself
// unless it fails.
func (t *task) run() {
	t.m.w.checker.observe(taskRunning{t})
	t.state = fleet.Running
	if t.job.startedAt.IsZero() {
		t.job.startedAt = t.m.w.now
	}
	t.m.heartbeatSoon()
	switch {
	case t.m.faulty || t.job.failsAlways:
		t.timer(time.Second, func() { t.exit(fleet.CauseError, false) })
	case t.job.spec.Shape == pipeline.Array:
		t.timer(t.job.runTime(t.index), func() { t.job.done[t.index] = true; t.exit(fleet.CauseDone, false) })
	case t.job.spec.Shape == pipeline.Gang:
		t.timer(t.job.run, func() {
			for _, o := range t.job.mates(t.attempt) {
				t.job.done[o.index] = true
				o.exit(fleet.CauseDone, false)
			}
		})
	}
}

// stop carries out a command to stop. The task first saves a checkpoint if it can and if the grace
// period suffices.
func (t *task) stop(grace time.Duration) {
	switch {
	case t.state == fleet.Running && t.job.spec.CheckpointInterval > 0 && grace >= t.job.spec.CheckpointTime:
		t.state = fleet.Checkpointing
		t.timer(t.job.spec.CheckpointTime, func() { t.exit(fleet.CauseStopped, true) })
	case t.state == fleet.Checkpointing && grace > 0:
	default:
		t.exit(fleet.CauseStopped, false)
	}
}

// exit ends the task. Its status stays on the machine until the leader tells the worker to forget it.
func (t *task) exit(c fleet.ExitCause, saved bool) {
	if t.state == fleet.Exited {
		return
	}
	t.state, t.cause, t.checkpointed = fleet.Exited, c, saved
	t.m.w.checker.observe(taskExited{t})
	t.leaveMachine()
	t.m.heartbeatSoon()
	switch c {
	case fleet.CauseError:
		t.m.failures++
		t.m.failedAt = t.m.w.now
		t.job.failures++
	case fleet.CauseDone:
		t.m.w.script.taskDone(t)
	}
}

// leaveMachine marks the task as no longer on its machine. Unless it was done, the running tasks of
// its gang exit 2 s later.
func (t *task) leaveMachine() {
	if t.onMachine {
		t.onMachine = false
		t.m.w.checker.ledger.taskLeft(t)
	}
	if t.job.spec.Shape == pipeline.Gang && t.cause != fleet.CauseDone {
		for _, o := range t.job.mates(t.attempt) {
			if o.state == fleet.Running {
				o.timer(2*time.Second, func() { o.exit(fleet.CauseGangPeerLost, false) })
			}
		}
	}
}
