package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// Jobs, records and answers shared by several tests.

// job returns a job with a number of small tasks.
func job(ref string, tasks int) StoredJob {
	return StoredJob{Version: 5, Record: pipeline.Record{
		Spec: pipeline.Spec{Ref: ref, Class: "c", Team: "t", Tasks: tasks, CPUs: 1, Image: "i"},
	}}
}

// jobAfter returns a job of one task that depends on others.
func jobAfter(ref string, dependencies ...string) StoredJob {
	j := job(ref, 1)
	j.Record.Dependencies = dependencies
	return j
}

// longJob returns a job of a team whose tasks take an hour and save checkpoints.
func longJob(ref, team string, tasks int) StoredJob {
	j := job(ref, tasks)
	spec := &j.Record.Spec
	spec.Team, spec.Estimate = team, time.Hour
	spec.CheckpointInterval, spec.CheckpointTime = time.Second, time.Second
	return j
}

// budgetWith returns a disruption budget with the limits that change sets.
func budgetWith(change func(*drain.Budget)) drain.Budget {
	b := drain.NewBudget()
	change(&b)
	return b
}

// page returns a page of the start log with one attempt of task 0 of j-1.
func page(name, machine string, attempt uint64) StoredPage {
	return StoredPage{Name: name, Version: 3, Record: fleet.StartLogRecord{Placed: []fleet.MachineStarts{
		{Machine: machine, Type: "big", Zone: "a", Entries: []fleet.StartLogEntry{{Ref: "j-1", Task: 0, Attempt: attempt}}},
	}}}
}

// inheritedSnapshot returns the records of a former leader that had started task 0 of j-1 on m-1.
func inheritedSnapshot() Snapshot {
	return Snapshot{Jobs: []StoredJob{job("j-1", 1)}, Pages: []StoredPage{page("1-1", "m-1", 1<<attemptBits)}}
}

// withStartedTask returns a leader that has just sent the start of a task to m-1, and that start.
func withStartedTask(t *testing.T) (*harness, fleet.Command) {
	h := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	h.up("m-1")
	h.pass(6*time.Second, true)
	s := starts(h.heartbeat("m-1", 2))
	if len(s) != 1 {
		t.Fatalf("starts: %v", s)
	}
	return h, s[0]
}

// busyAndFree returns a simulated cluster with all jobs running on m-1, and m-2 free.
func busyAndFree(t *testing.T, cfg Config, jobs ...StoredJob) *harness {
	t.Helper()
	h := newSimulatedCluster(t, cfg, jobs...)
	h.bringUp("m-1")
	h.run(12 * time.Second)
	h.bringUp("m-2")
	h.run(9 * time.Second)
	return h
}

// starts returns the starts among an answer's commands.
func starts(r HeartbeatResponse) (out []fleet.Command) {
	for _, c := range r.Commands {
		if c.Kind == fleet.Start {
			out = append(out, c)
		}
	}
	return out
}

// running returns the status of a started task that runs.
func running(c fleet.Command) fleet.TaskStatus {
	return fleet.TaskStatus{Ref: c.Ref, Task: c.Task, Attempt: c.Attempt, State: fleet.Running}
}

// exited returns the status of a started task that has exited.
func exited(c fleet.Command, cause fleet.ExitCause) fleet.TaskStatus {
	return fleet.TaskStatus{Ref: c.Ref, Task: c.Task, Attempt: c.Attempt, State: fleet.Exited, Cause: cause}
}

// heartbeatFrom returns a heartbeat without tasks, from the first incarnation of a machine of type
// big in zone a.
func heartbeatFrom(machine string, token, seq uint64) fleet.Heartbeat {
	return fleet.Heartbeat{
		Machine: machine, Addr: machine, Type: "big", Zone: "a",
		Incarnation: 1, Sequence: seq, FencingToken: token, InterruptionIn: -1,
	}
}

// drainPlan returns a plan that drains the named machines one after the other.
func drainPlan(id string, created time.Time, machines ...string) drain.Plan {
	return drain.Plan{
		ID: id, Selector: drain.Selector{Machines: machines}, MaxAtOnce: 1, CreatedMS: created.UnixMilli(),
	}
}

// stops counts the stops without time for a checkpoint among an answer's commands.
func stops(r HeartbeatResponse) (n int) {
	for _, c := range r.Commands {
		if c.Kind == fleet.Stop && c.Grace == 0 {
			n++
		}
	}
	return n
}

// startedTasks returns the running status of each task that an answer starts.
func startedTasks(r HeartbeatResponse) (out []fleet.TaskStatus) {
	for _, c := range starts(r) {
		out = append(out, running(c))
	}
	return out
}
