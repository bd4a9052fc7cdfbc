package core

import (
	"fmt"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
)

// largeFleet is a number of machines that a deployment must be able to have.
const largeFleet = 4000

// storedPages is the start log in the state service, by page name.
type storedPages map[string]StoredPage

// write applies a batch as the state service would.
func (s storedPages) write(batch []Write, version uint64) {
	for _, w := range batch {
		switch w := w.(type) {
		case PutStartLogPage:
			s[w.Name] = StoredPage{Name: w.Name, Record: w.Record, Version: version}
		case DeleteStartLogPage:
			delete(s, w.Name)
		}
	}
}

// Guards against fixed limits below 4,000 machines: a leader starts a task on each machine, its
// start log names them all, and the next leader knows each machine and keeps its task.
func TestFourThousandMachines(t *testing.T) {
	now := time.Unix(5000, 0)
	jobs := make([]StoredJob, 0, 8)
	for i := range 8 {
		j := job(fmt.Sprintf("j-%06d", i), largeFleet/8)
		j.Record.Spec.CPUs = 8 // a whole machine
		j.Record.SubmittedMS = now.UnixMilli()
		jobs = append(jobs, j)
	}
	b := newHarness(t, 2, Snapshot{Jobs: jobs})
	pages := storedPages{}
	tasks := map[string][]fleet.TaskStatus{}
	names := make([]string, largeFleet)
	for i := range names {
		names[i] = fmt.Sprintf("m-%06d", i)
	}
	heartbeatAll := func(term uint64) {
		for _, name := range names {
			b.sequences[name]++
			r := heartbeatFrom(name, term, b.sequences[name])
			r.Tasks = tasks[name]
			reply := b.e.Step(b.now, HeartbeatReceived{r}).Response
			if reply.Hold {
				reply = b.e.Step(b.now.Add(maxResponseHold+time.Second), HeldResponseDue{r}).Response
			}
			for _, c := range starts(*reply) {
				tasks[name] = append(tasks[name], running(c))
			}
		}
	}
	heartbeatAll(0)
	for version := uint64(100); len(tasks) < largeFleet && version < 160; version++ {
		b.now = b.now.Add(time.Second)
		b.e.Step(b.now, Tick{})
		for batch := b.e.Batch(b.now, 30); len(batch) > 0; batch = b.e.Batch(b.now, 30) {
			b.e.Step(b.now, WritesStarted{batch})
			b.e.Step(b.now, WritesFinished{Batch: batch, OK: true, Revision: version})
			pages.write(batch, version)
		}
		heartbeatAll(2)
	}
	if len(tasks) != largeFleet {
		t.Fatalf("%d of %d machines got a task", len(tasks), largeFleet)
	}
	next := Snapshot{Jobs: jobs}
	for _, p := range pages {
		next.Pages = append(next.Pages, p)
	}
	b.e = New(b.now, testConfig(), 3, next)
	if b.e.machines.count() != largeFleet || b.e.recovery.Status(b.now).Machines["expected"] != largeFleet {
		t.Fatalf("the next leader knows %d machines", b.e.machines.count())
	}
	heartbeatAll(2)
	heartbeatAll(3)
	b.listInstances(names...)
	b.e.Step(b.now.Add(100*time.Millisecond), Tick{})
	b.e.Step(b.now.Add(200*time.Millisecond), Tick{})
	if s := b.e.Status(b.now).Recovery; s.State != "normal" || s.Machines["settled"] != largeFleet {
		t.Fatalf("recovery after heartbeats from all machines: %+v", s)
	}
	checkTakenOver(t, b, names)
}

// checkTakenOver fails the test unless the leader knows each machine with its one task.
func checkTakenOver(t *testing.T, b *harness, names []string) {
	t.Helper()
	for _, name := range names {
		if m := b.e.machines.get(name); m.State() != fleet.Live || m.ActiveAttempts() != 1 {
			t.Fatalf("%s is %v with %d tasks under the next leader", name, m.State(), m.ActiveAttempts())
		}
	}
	if s := b.e.Status(b.now); s.Pools[0].States["live"] != largeFleet || s.Pools[0].Attempts != largeFleet {
		t.Fatalf("pool in the status: %+v", s.Pools[0])
	}
}

// An attempt number has a limited range for each term. Numbers beyond it would belong to the next
// term, so the term must end and place nothing more.
func TestTermEndsBeforeItsNumbers(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1)}})
	b.up("m-1")
	b.e.numbers.counter = 1<<attemptBits - attemptReserve
	b.now = b.now.Add(6 * time.Second)
	if effects := b.e.Step(b.now, Tick{}); !effects.AttemptNumbersExhausted {
		t.Fatal("the term doesn't end though its attempt numbers are used up")
	}
	if n := b.e.machines.get("m-1").ActiveAttempts(); n != 0 {
		t.Fatalf("%d tasks were placed though the attempt numbers are used up", n)
	}
}
