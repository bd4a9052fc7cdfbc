package core

// The life cycle of attempts: from the decision that puts one on a machine until it is proven gone
// (docs/design.md, safety arguments 3 to 7 and 11).

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// attach adds an attempt that is, or may be, on a machine. attach, moveAttempt and detach maintain
// the usage that quotas, zones and gangs are checked against.
func (e *Engine) attach(now time.Time, m *fleet.Machine, a *fleet.Attempt, st fleet.AttemptState) {
	team := ""
	if j := e.jobs.get(a.Ref); j != nil {
		team = j.Team
		a.ServiceReplica = j.Shape == pipeline.Service
	}
	m.AddAttempt(now, a, st)
	e.usage.add(a, team)
	e.capacityChanged(m)
	e.warm.noteAttempt(a)
}

// moveAttempt changes the state of an attached attempt. No other function does.
func (e *Engine) moveAttempt(now time.Time, m *fleet.Machine, a *fleet.Attempt, to fleet.AttemptState) {
	was := a.State()
	if !m.MoveAttempt(now, a, to) {
		return
	}
	e.warm.noteAttempt(a)
	e.usage.moved(a, was)
	if to == fleet.Running {
		e.debug(LogAttemptRunning, logAttempt(a, logSince("since_start_sent", now, a.SentAt),
			slog.Duration("fetch_estimate", a.FetchEstimate))...)
	}
	if to == fleet.Exited {
		e.settleExit(now, m, a, was)
	}
}

// settleExit removes an attempt that has exited from all counts and from its page of the start
// log.
func (e *Engine) settleExit(now time.Time, m *fleet.Machine, a *fleet.Attempt, was fleet.AttemptState) {
	if was == fleet.Sent || was == fleet.Fetching {
		if m.FetchAbandoned(now, a.Image, was) {
			e.imagesChanged(m)
		}
	}
	e.usage.exited(a)
	e.startLog.removeAttempt(a)
	e.endCharge(now, a)
	e.capacityChanged(m)
	e.forgetUsage(a.Ref)
}

// forgetUsage drops the usage of a job that is over, once nothing of it is on machines.
func (e *Engine) forgetUsage(ref string) {
	if e.jobs.get(ref) == nil {
		e.usage.forgetUnused(ref)
	}
}

// detach removes an attempt that is proven gone.
func (e *Engine) detach(now time.Time, m *fleet.Machine, a *fleet.Attempt) {
	e.moveAttempt(now, m, a, fleet.Exited)
	e.removeAttempt(now, m, a)
}

// removeAttempt removes an attempt that has exited from its machine.
func (e *Engine) removeAttempt(now time.Time, m *fleet.Machine, a *fleet.Attempt) {
	m.RemoveAttempt(now, a.TaskID)
	e.usage.removeResult(a)
	e.forgetUsage(a.Ref)
}

// stopJob stops all attempts of a job without time for a checkpoint: their progress is no longer
// needed.
func (e *Engine) stopJob(now time.Time, j *pipeline.Job, reason stopReason) {
	for _, a := range e.usage.attemptsOf(j.Ref) {
		e.stop(now, a.Machine, a, 0)
	}
	e.debug(LogJobTasksStopped, logJob(j), logReason(string(reason)))
}

// stop requests the stop of an attempt; grace is the time that it has for a checkpoint. If its
// start hasn't been sent, the attempt is withdrawn and its task requeued instead.
func (e *Engine) stop(now time.Time, m *fleet.Machine, a *fleet.Attempt, grace time.Duration) {
	switch a.State() {
	case fleet.Exited:
		return
	case fleet.Intended, fleet.Recorded:
		if !a.Inherited {
			e.detach(now, m, a)
			e.requeue(a)
			return
		}
	}
	if a.Stopping() && a.Grace() <= grace {
		return
	}
	a.RequestStop(now, grace)
	e.capacityChanged(m)
	if a.State() == fleet.Sent || m.Incarnation() == 0 {
		return // the worker may not have it yet: the stop goes out with an answer to a heartbeat
	}
	e.direct(m, fleet.Command{Kind: fleet.Stop, Ref: a.Ref, Task: a.Task, Attempt: a.Number, Grace: grace})
}

// direct sends a command to a worker at once, not with the answer to a heartbeat. This is used only
// for stops: they name their attempt and do no harm when they arrive late (docs/design.md, safety
// argument 7).
func (e *Engine) direct(m *fleet.Machine, c fleet.Command) {
	m.NoteFencingTokenSent()
	for i := range e.out.DirectCommands {
		if d := &e.out.DirectCommands[i]; d.Machine == m.Name {
			d.Commands = append(d.Commands, c)
			return
		}
	}
	e.out.DirectCommands = append(e.out.DirectCommands, DirectCommands{
		Machine: m.Name, Addr: m.Addr(), Incarnation: m.Incarnation(), FencingToken: e.numbers.term,
		Commands: []fleet.Command{c},
	})
}

// requeue makes the task of an attempt wait for placement again, unless a newer attempt of the task
// exists.
func (e *Engine) requeue(a *fleet.Attempt) {
	if j := e.jobs.get(a.Ref); j != nil && a.Task < len(j.Tasks) && j.Tasks[a.Task].Attempt == a.Number {
		j.Requeue(a.Task)
	}
}

// attemptLost handles an attempt that is proven gone without a reported exit: its task is requeued,
// and the rest of its gang stopped.
func (e *Engine) attemptLost(now time.Time, m *fleet.Machine, a *fleet.Attempt, reason lostReason) {
	e.chargeInvoluntary(now, a)
	e.detach(now, m, a)
	e.debug(LogAttemptLost, logAttempt(a, logReason(string(reason)))...)
	e.requeue(a)
	e.stopBrokenGang(now, a)
}

// stopBrokenGang stops the other tasks of a gang attempt of which one task has ended: a gang runs
// whole or not at all. Only tasks with the same attempt number are stopped; a newer attempt that
// replaced this one continues (TestOldAttemptOfAGangEndsAlone).
func (e *Engine) stopBrokenGang(now time.Time, a *fleet.Attempt) {
	j := e.jobs.get(a.Ref)
	if j == nil || j.Shape != pipeline.Gang || j.Tasks[0].State() == pipeline.Finished || len(j.Tasks) == 1 {
		return
	}
	for _, b := range e.usage.attemptsOf(a.Ref) {
		if b.Number == a.Number && !b.Stopping() {
			e.chargeInvoluntary(now, b)
			e.stop(now, b.Machine, b, 0)
		}
	}
}

// taskExited handles a reported exit. Further reports of the same exit are ignored.
func (e *Engine) taskExited(now time.Time, m *fleet.Machine, a *fleet.Attempt, t fleet.TaskStatus) {
	if a.State() == fleet.Exited {
		return // the worker reports the exit until it is told to forget the task
	}
	j := e.jobs.get(a.Ref)
	current := j != nil && a.Task < len(j.Tasks) && j.Tasks[a.Task].Attempt == a.Number
	if t.Cause == fleet.CauseGangPeerLost {
		e.chargeInvoluntary(now, a)
	}
	e.moveAttempt(now, m, a, fleet.Exited)
	a.NoteExit(t.Cause)
	if t.Cause == fleet.CauseDone {
		e.taskDone(now, m, a)
		return
	}
	a.ExitHandled = true
	e.debug(LogAttemptExited, logAttempt(a, slog.String("cause", t.Cause.String()),
		slog.Bool("checkpointed", t.Checkpointed))...)
	if !current {
		return
	}
	switch t.Cause {
	case fleet.CauseError:
		e.taskFailed(now, m, j, a.Task)
	case fleet.CauseInsufficientResources, fleet.CauseAlreadyPresent:
		m.PauseStarts(now.Add(min(e.cfg.HeartbeatInterval, maxNoCapacityPause)))
		m.RemoveImage(a.Image)
	case fleet.CauseUnknownTask:
		j.Tasks[a.Task].NotUntil = now.Add(unknownExitPause)
	}
	j.Requeue(a.Task)
	e.stopBrokenGang(now, a)
	e.rounds.request()
}

const (
	// maxNoCapacityPause bounds how long a machine gets no starts after its worker refused one for
	// lack of resources or because the task was still present.
	maxNoCapacityPause = 3 * time.Second
	// unknownExitPause is how long a task is held back after a worker reported it as unknown.
	unknownExitPause = 2 * time.Second
)

// taskDone handles the exit of a task that has succeeded. The worker is told to forget the result
// only once the store holds it (docs/design.md, safety argument 7; TestForgetOnlyAfterWritten).
func (e *Engine) taskDone(now time.Time, m *fleet.Machine, a *fleet.Attempt) {
	e.debug(LogAttemptSucceeded, logAttempt(a)...)
	m.ClearFailures()
	j := e.jobs.get(a.Ref)
	if j == nil || j.Over() || a.Task >= len(j.Tasks) {
		a.ExitHandled = true
		return
	}
	if !a.RunStart.IsZero() && j.Estimate > 0 {
		e.classes.class(j.Class).learnRunTime(now.Sub(a.RunStart), j.Estimate)
		e.warm.noteClass(j.Class)
	}
	e.usage.addResult(a)
	j.Finish(a.Task)
	if j.CompleteIfDone() {
		e.log(LogJobTasksDone, logJob(j))
	}
	e.jobWrites.jobChanged(j)
}

// A machine is quarantined after failures of this many different jobs, or of this many attempts if
// the job that failed last has no machine in AvoidUntil, with no success in between.
const (
	quarantineAfterJobs     = 2
	quarantineAfterFailures = 3
)

// taskFailed handles an exit with an error. It quarantines the machine if enough has failed there,
// and the jobs that failed no longer avoid it; otherwise the job avoids the machine for a while.
func (e *Engine) taskFailed(now time.Time, m *fleet.Machine, j *pipeline.Job, task int) {
	m.RecordFailure(j.Ref)
	e.warm.noteJob(j.Ref)
	j.TaskFailed(now, task, e.cfg.RestartLimit)
	e.jobWrites.jobChanged(j)
	e.capacityChanged(m)
	if m.Quarantined() {
		return
	}
	failedAgain := m.Failures() >= quarantineAfterFailures && len(j.AvoidUntil) == 0
	if len(m.FailedJobs()) >= quarantineAfterJobs || failedAgain {
		m.Quarantine()
		e.machines.checkAt(m, now)
		e.log(LogMachineQuarantined, logMachine(m), slog.Int("failures", m.Failures()))
		for _, ref := range m.FailedJobs() {
			if o := e.jobs.get(ref); o != nil {
				delete(o.AvoidUntil, m.Name)
			}
		}
		return
	}
	j.Avoid(now, m.Name)
}
