package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/recovery"
)

// restoredLeader returns a leader after a restore of the state service that has lost the start log.
func restoredLeader(t *testing.T, tasks int) *harness {
	return newHarness(t, 9, Snapshot{Jobs: []StoredJob{job("j-1", tasks)}, Restored: true})
}

// After a restore that lost the start log, a running task is adopted on its machine and recorded
// before anything else is written. No task is placed before every machine that may hold one has
// sent a heartbeat, or its lease has ended; otherwise tasks would run twice.
func TestForgottenWorkIsAdopted(t *testing.T) {
	b := restoredLeader(t, 2)
	b.listInstances("m-1", "m-2")
	b.heartbeat("m-2", 0)
	b.heartbeat("m-2", 9)
	b.pass(8*time.Second, true)
	if n := b.e.jobs.get("j-1").Count(pipeline.Waiting); n != 2 {
		t.Fatal("placed before a machine that may hold the tasks has sent a heartbeat")
	}
	running1 := fleet.TaskStatus{Ref: "j-1", Task: 1, Attempt: 8<<attemptBits | 7, State: fleet.Running}
	b.heartbeat("m-1", 8, running1)
	if n := b.e.jobs.get("j-1").Count(pipeline.Waiting); n != 2 {
		t.Fatal("adopted because of a heartbeat that may be a late copy")
	}
	b.heartbeat("m-1", 9, running1)
	a := b.e.machines.get("m-1").Attempt(fleet.TaskID{Ref: "j-1", Task: 1})
	if a == nil || a.Unwanted || a.Stopping() || b.e.jobs.get("j-1").Tasks[1].Machine != "m-1" {
		t.Fatalf("not adopted: %+v", a)
	}
	batch := b.e.Batch(b.now, 10)
	if len(batch) == 0 {
		t.Fatal("nothing is recorded")
	}
	page, ok := batch[0].(PutStartLogPage)
	if !ok || len(page.Record.Placed) != 1 || page.Record.Placed[0].Entries[0].Attempt != a.Number {
		t.Fatalf("not recorded: %+v", batch)
	}
	for b.now.Sub(b.e.started) < 28*time.Second { // until the leases of machines not seen yet have ended
		if n := b.e.jobs.get("j-1").Count(pipeline.Assigned); n != 1 {
			t.Fatalf("%d tasks assigned before all leases have ended", n)
		}
		b.heartbeat("m-1", 9, running1)
		b.heartbeat("m-2", 9)
		b.pass(2*time.Second, true)
	}
	b.pass(4*time.Second, true)
	s := append(starts(b.heartbeat("m-1", 9, running1)), starts(b.heartbeat("m-2", 9))...)
	if len(s) != 1 || s[0].Task != 0 {
		t.Fatalf("starts of the other task after all leases have ended: %v", s)
	}
	if told := b.e.Status(b.now).Recovery; !told.Restored || told.Findings[recovery.RunningUnrecorded.String()] != 1 {
		t.Fatalf("recovery in the status: %+v", told)
	}
}

// If an attempt that no record names is reported while its task has an unsent start on another
// machine, the start is withdrawn and the attempt adopted. If the task already runs on another
// machine, the unrecorded attempt is stopped.
func TestForgottenWorkAgainstNew(t *testing.T) {
	b := newHarness(t, 9, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	b.up("m-2")
	b.pass(6*time.Second, true) // its start waits for m-2's next heartbeat
	forgotten := fleet.TaskStatus{Ref: "j-1", Attempt: 8<<attemptBits | 7, State: fleet.Running}
	b.heartbeat("m-1", 8, forgotten)
	b.heartbeat("m-1", 9, forgotten)
	if j := b.e.jobs.get("j-1"); j.Tasks[0].Machine != "m-1" || b.e.machines.get("m-2").ActiveAttempts() != 0 {
		t.Fatalf("the task is on %s, %d attempts on m-2", j.Tasks[0].Machine, b.e.machines.get("m-2").ActiveAttempts())
	}
	if s := starts(b.heartbeat("m-2", 9)); len(s) != 0 {
		t.Fatalf("started in addition to the unrecorded attempt: %v", s)
	}

	b = newHarness(t, 9, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	b.up("m-2")
	b.pass(6*time.Second, true)
	s := starts(b.heartbeat("m-2", 9))
	if len(s) != 1 {
		t.Fatalf("%d starts", len(s))
	}
	b.heartbeat("m-2", 9, running(s[0]))
	b.heartbeat("m-1", 8, forgotten)
	reply := b.heartbeat("m-1", 9, forgotten)
	if len(reply.Commands) != 1 || reply.Commands[0].Kind != fleet.Stop {
		t.Fatalf("commands to the machine with the unrecorded attempt: %v", reply.Commands)
	}
}

// A result that arrives late, after its task was placed again, counts.
func TestLateResultIsKept(t *testing.T) {
	b := newHarness(t, 9, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	b.up("m-2")
	b.pass(6*time.Second, true)
	s := starts(b.heartbeat("m-2", 9))
	b.heartbeat("m-2", 9, running(s[0]))
	b.heartbeat("m-1", 8, exited(fleet.Command{Ref: "j-1", Attempt: 8<<attemptBits | 7}, fleet.CauseDone))
	if n := b.e.jobs.get("j-1").Count(pipeline.Finished); n != 1 {
		t.Fatal("the late result is lost")
	}
}

// At the beginning of a term the rate of low-priority starts is limited and rises. Urgent starts
// aren't limited, and in the end all tasks are started.
func TestPaceOfStarts(t *testing.T) {
	cfg := testConfig()
	cfg.Pace = recovery.PaceOptions{Enabled: true, Initial: 2, Highest: 50}
	bulk, urgent := job("j-1", 60), job("j-2", 4)
	bulk.Record.Spec.Priority, urgent.Record.Spec.Priority = pipeline.Low, pipeline.High
	b := newHarnessWith(t, cfg, 2, Snapshot{Jobs: []StoredJob{bulk, urgent}})
	var machines []string
	for _, name := range []string{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"} {
		machines = append(machines, name)
		b.up(name)
	}
	tasks := map[string][]fleet.TaskStatus{}
	perSecond := map[int]int{}
	begin := b.now
	urgentAt := time.Duration(0)
	for range 150 {
		for _, m := range machines {
			for _, c := range starts(b.heartbeat(m, 2, tasks[m]...)) {
				tasks[m] = append(tasks[m], running(c))
				if c.Ref == "j-2" {
					urgentAt = b.now.Sub(begin)
					continue
				}
				perSecond[int(b.now.Sub(begin).Seconds())]++
			}
		}
		b.pass(200*time.Millisecond, true)
	}
	total := 0
	rate := 2.0
	for second := range 30 {
		if n := perSecond[second]; float64(n) > 2*rate+2 && rate < 50 {
			t.Errorf("%d low-priority starts in second %d", n, second)
		}
		rate *= 1.5
		total += perSecond[second]
	}
	if total != 60 {
		t.Errorf("%d of 60 low-priority tasks were started", total)
	}
	if urgentAt > 8*time.Second {
		t.Errorf("the urgent tasks were started after %s", urgentAt)
	}
}

// If a worker that this leader has never answered has this term's fencing token, it has the token
// from another leader, whose claim the state service has lost in a restore. The term must end
// without applying the heartbeat.
func TestTokenOfAForgottenLeader(t *testing.T) {
	b := newHarness(t, 9, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	r := heartbeatFrom("m-1", 9, 1)
	eff := b.e.Step(b.now, HeartbeatReceived{r})
	if !eff.Deposed() || eff.HigherFencingToken != 9 || eff.Response.OK {
		t.Fatalf("effects of a heartbeat with another leader's token: %+v", eff)
	}
	b.heartbeat("m-2", 0)
	r.Machine, r.Addr, r.Sequence = "m-2", "m-2", b.sequences["m-2"]+1
	if eff := b.e.Step(b.now, HeartbeatReceived{r}); eff.Deposed() {
		t.Fatal("the leader is deposed by a worker that has the token from it")
	}
}
