package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// interruptionAnnounced handles the cloud's notice that it will take the machine back: what can save is
// stopped in time and goes on elsewhere; the rest may still finish.
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

// stopTasksOn stops what is on a machine that is to be left.
func (e *Engine) stopTasksOn(now time.Time, m *fleet.Machine, left time.Duration) {
	for _, a := range m.SortedAttempts() {
		j := e.jobs.get(a.Ref)
		if a.Stopping() || a.State() == fleet.Exited || j == nil {
			continue
		}
		if a.State() == fleet.Running && (j.CheckpointInterval == 0 || j.CheckpointTime >= left) {
			continue // can't save: it may as well go on
		}
		e.chargeInvoluntary(now, a)
		e.stopWithCheckpoint(now, m, a, j)
	}
}

// stopWithCheckpoint stops an attempt so that it saves; of a gang, all tasks at once.
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
