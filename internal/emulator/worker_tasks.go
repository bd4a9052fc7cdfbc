package emulator

import (
	"math/rand/v2"
	"time"

	"gingertally/internal/core/fleet"
)

// attemptID names an attempt at a task.
type attemptID struct {
	fleet.TaskID
	attempt uint64
}

// task is an attempt on the machine, running or exited.
type task struct {
	id           attemptID
	exited       bool
	cause        fleet.ExitCause
	checkpointed bool
	began        time.Time
	left         chan struct{} // closed when it runs no more
}

// status is the task as a heartbeat has it.
func (t *task) status() fleet.TaskStatus {
	status := fleet.TaskStatus{Ref: t.id.Ref, Task: t.id.Task, Attempt: t.id.attempt, State: fleet.Running}
	if t.exited {
		status.State, status.Cause = fleet.Exited, t.cause
		status.Checkpointed = t.checkpointed || t.cause == fleet.CauseDone
	}
	return status
}

// carryOut carries out a command.
func (w *Worker) carryOut(command fleet.Command) {
	id := attemptID{fleet.TaskID{Ref: command.Ref, Task: command.Task}, command.Attempt}
	known := w.onMachine[id]
	switch {
	case command.Kind == fleet.Start && known == nil:
		w.start(id)
	case command.Kind == fleet.Stop && known != nil && !known.exited:
		known.checkpointed = w.history.interrupted(id.TaskID, w.name, time.Since(known.began))
		w.exit(known, fleet.CauseStopped)
	case command.Kind == fleet.Forget && known != nil && known.exited:
		delete(w.onMachine, id)
	}
}

// start starts a task, which runs for a while and is then done.
func (w *Worker) start(id attemptID) {
	started := &task{id: id, began: time.Now(), left: make(chan struct{})}
	w.onMachine[id] = started
	w.history.startCommanded(w.name, id, w.fencingToken)
	w.noteChange()
	runTime := w.history.runTime(id.TaskID, w.timings.RunTime/2+rand.N(w.timings.RunTime))
	w.tasks.Go(func() {
		select {
		case <-started.left:
		case <-w.ended:
		case <-time.After(runTime):
			w.finish(started)
		}
	})
}

// finish ends a task whose run time is over, unless it has left the machine.
func (w *Worker) finish(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.onMachine[t.id] == t && !t.exited {
		w.exit(t, fleet.CauseDone)
	}
}

// exit ends a running task, which stays in the heartbeats until a command forgets it.
func (w *Worker) exit(t *task, cause fleet.ExitCause) {
	t.exited, t.cause = true, cause
	close(t.left)
	w.history.left(t.id.TaskID, cause == fleet.CauseDone)
	w.noteChange()
}

// loseTasks removes all tasks without a heartbeat about them.
func (w *Worker) loseTasks() {
	for id, t := range w.onMachine {
		if !t.exited {
			close(t.left)
			w.history.left(id.TaskID, false)
		}
		delete(w.onMachine, id)
	}
}
