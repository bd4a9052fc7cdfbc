package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// Jobs, records and answers that several tests use.

// job is a job of so many small tasks.
func job(ref string, tasks int) StoredJob {
	return StoredJob{Version: 5, Record: pipeline.Record{
		Spec: pipeline.Spec{Ref: ref, Class: "c", Team: "t", Tasks: tasks, CPUs: 1, Image: "i"},
	}}
}

// after is a job that waits for others.
func after(ref string, dependencies ...string) StoredJob {
	j := job(ref, 1)
	j.Record.Dependencies = dependencies
	return j
}

// longJob is a job of a team that doesn't end and saves.
func longJob(ref, team string, tasks int) StoredJob {
	j := job(ref, tasks)
	spec := &j.Record.Spec
	spec.Team, spec.Estimate = team, time.Hour
	spec.CheckpointInterval, spec.CheckpointTime = time.Second, time.Second
	return j
}

// limit is a budget that limits something.
func limit(change func(*drain.Budget)) drain.Budget {
	b := drain.NewBudget()
	change(&b)
	return b
}

// page is a page of the start log with one attempt of j-1/0.
func page(name, machine string, attempt uint64) StoredPage {
	return StoredPage{Name: name, Version: 3, Record: fleet.StartLogRecord{Placed: []fleet.MachineStarts{
		{Machine: machine, Type: "big", Zone: "a", Entries: []fleet.StartLogEntry{{Ref: "j-1", Task: 0, Attempt: attempt}}},
	}}}
}

// inherited is what a leader has left behind that had started j-1/0 on m-1.
func inherited() Snapshot {
	return Snapshot{Jobs: []StoredJob{job("j-1", 1)}, Pages: []StoredPage{page("1-1", "m-1", 1<<attemptBits)}}
}

// started is a leader under which a task has been started on m-1.
func started(t *testing.T) (*harness, fleet.Command) {
	h := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	h.up("m-1")
	h.pass(6*time.Second, true)
	s := starts(h.heartbeat("m-1", 2))
	if len(s) != 1 {
		t.Fatalf("starts: %v", s)
	}
	return h, s[0]
}

// busyAndFree is a small world with all jobs running on m-1, and m-2 free.
func busyAndFree(t *testing.T, cfg Config, jobs ...StoredJob) *harness {
	t.Helper()
	h := newWorld(t, cfg, jobs...)
	h.bringUp("m-1")
	h.run(12 * time.Second)
	h.bringUp("m-2")
	h.run(9 * time.Second)
	return h
}

// starts are the starts among an answer's commands.
func starts(r HeartbeatResponse) (out []fleet.Command) {
	for _, c := range r.Commands {
		if c.Kind == fleet.Start {
			out = append(out, c)
		}
	}
	return out
}

// running is a task that was started, as its worker reports it.
func running(c fleet.Command) fleet.TaskStatus {
	return fleet.TaskStatus{Ref: c.Ref, Task: c.Task, Attempt: c.Attempt, State: fleet.Running}
}

// exited is a task that was started, as its worker reports its exit.
func exited(c fleet.Command, cause fleet.ExitCause) fleet.TaskStatus {
	return fleet.TaskStatus{Ref: c.Ref, Task: c.Task, Attempt: c.Attempt, State: fleet.Exited, Cause: cause}
}

// heartbeatFrom is a heartbeat of a machine of the type big in zone a, with no tasks, of its first
// incarnation.
func heartbeatFrom(machine string, token, seq uint64) fleet.Heartbeat {
	return fleet.Heartbeat{
		Machine: machine, Addr: machine, Type: "big", Zone: "a",
		Incarnation: 1, Sequence: seq, FencingToken: token, InterruptionIn: -1,
	}
}

// drainPlan is a plan that drains machines by name, one after the other.
func drainPlan(id string, created time.Time, machines ...string) drain.Plan {
	return drain.Plan{
		ID: id, Selector: drain.Selector{Machines: machines}, MaxAtOnce: 1, CreatedMS: created.UnixMilli(),
	}
}

// stops counts the stops among an answer's commands that leave no time to save.
func stops(r HeartbeatResponse) (n int) {
	for _, c := range r.Commands {
		if c.Kind == fleet.Stop && c.Grace == 0 {
			n++
		}
	}
	return n
}

// runAll are the heartbeats of the tasks that an answer starts, as running.
func runAll(r HeartbeatResponse) (out []fleet.TaskStatus) {
	for _, c := range starts(r) {
		out = append(out, running(c))
	}
	return out
}
