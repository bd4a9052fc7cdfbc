package emulator

import (
	"math/rand/v2"
	"time"

	"gingertally/internal/core/fleet"
)

// attemptID identifies an attempt at a task.
type attemptID struct {
	fleet.TaskID
	attempt uint64
}

// task is an attempt on the worker's machine, running or exited.
type task struct {
	id           attemptID
	exited       bool
	cause        fleet.ExitCause
	checkpointed bool
	startedAt    time.Time
	stopped      chan struct{} // closed when the task no longer runs
}

// status returns the task's status for a heartbeat.
func (t *task) status() fleet.TaskStatus {
	status := fleet.TaskStatus{Ref: t.id.Ref, Task: t.id.Task, Attempt: t.id.attempt, State: fleet.Running}
	if t.exited {
		status.State, status.Cause = fleet.Exited, t.cause
		status.Checkpointed = t.checkpointed || t.cause == fleet.CauseDone
	}
	return status
}

// execute executes a command. It ignores a start of a known attempt, a stop of an attempt that doesn't
// run, and a forget of one that hasn't exited.
func (w *Worker) execute(command fleet.Command) {
	id := attemptID{fleet.TaskID{Ref: command.Ref, Task: command.Task}, command.Attempt}
	known := w.attempts[id]
	switch {
	case command.Kind == fleet.Start && known == nil:
		w.start(id)
	case command.Kind == fleet.Stop && known != nil && !known.exited:
		known.checkpointed = w.history.taskInterrupted(id.TaskID, w.name, time.Since(known.startedAt))
		w.exit(known, fleet.CauseStopped)
	case command.Kind == fleet.Forget && known != nil && known.exited:
		delete(w.attempts, id)
	}
}

// start starts a task, which is done when its run time has passed.
func (w *Worker) start(id attemptID) {
	started := &task{id: id, startedAt: time.Now(), stopped: make(chan struct{})}
	w.attempts[id] = started
	w.history.taskStarted(w.name, id, w.fencingToken)
	w.requestHeartbeat()
	runTime := w.history.runTime(id.TaskID, w.timings.RunTime/2+rand.N(w.timings.RunTime))
	w.taskGroup.Go(func() {
		select {
		case <-started.stopped:
		case <-w.ended:
		case <-time.After(runTime):
			w.finish(started)
		}
	})
}

// finish ends a task whose run time has passed, unless it has exited or was dropped meanwhile.
func (w *Worker) finish(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts[t.id] == t && !t.exited {
		w.exit(t, fleet.CauseDone)
	}
}

// exit ends a running task. Heartbeats report it until a forget command removes it.
func (w *Worker) exit(t *task, cause fleet.ExitCause) {
	t.exited, t.cause = true, cause
	close(t.stopped)
	w.history.taskEnded(t.id.TaskID, cause == fleet.CauseDone)
	w.requestHeartbeat()
}

// dropTasks ends and removes all tasks without reporting them.
func (w *Worker) dropTasks() {
	for id, t := range w.attempts {
		if !t.exited {
			close(t.stopped)
			w.history.taskEnded(id.TaskID, false)
		}
		delete(w.attempts, id)
	}
}
