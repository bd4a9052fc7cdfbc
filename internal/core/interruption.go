package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// interruptionAnnounced handles the cloud's notice that it will take a machine back in `left`; a
// negative `left` means that there is no notice. The machine is drained: tasks that can save a
// checkpoint in time are stopped and continue elsewhere, the others may still finish.
func (e *Engine) interruptionAnnounced(now time.Time, m *fleet.Machine, left time.Duration) {
	if left < 0 {
		return
	}
	if m.AnnounceInterruption(now.Add(left)) {
		e.log(LogInterruptionNotice, logMachine(m), slog.Duration("in", left))
	}
	e.startDraining(now, m)
	e.stopTasksOn(now, m, left)
}

// stopTasksOn stops the tasks on a machine that is gone in `left`, except running tasks that can't
// save a checkpoint in that time.
func (e *Engine) stopTasksOn(now time.Time, m *fleet.Machine, left time.Duration) {
	for _, a := range m.SortedAttempts() {
		j := e.jobs.get(a.Ref)
		if a.Stopping() || a.State() == fleet.Exited || j == nil {
			continue
		}
		if a.State() == fleet.Running && (j.CheckpointInterval == 0 || j.CheckpointTime >= left) {
			continue // it can't save a checkpoint in time, but may still finish
		}
		e.chargeInvoluntary(now, a)
		e.stopWithCheckpoint(now, m, a, j)
	}
}

// stopWithCheckpoint stops an attempt and leaves it the time for a checkpoint. All tasks of a gang
// are stopped together.
func (e *Engine) stopWithCheckpoint(now time.Time, m *fleet.Machine, a *fleet.Attempt, j *pipeline.Job) {
	grace := j.CheckpointTime + time.Second
	if j.Shape != pipeline.Gang {
		e.stop(now, m, a, grace)
		return
	}
	for _, o := range e.usage.attemptsOf(a.Ref) {
		e.stop(now, o.Machine, o, grace)
	}
}
