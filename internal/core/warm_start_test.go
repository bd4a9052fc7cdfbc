package core

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// newWarmHarness makes a leader that records changes of the warm state.
func newWarmHarness(t *testing.T, term uint64, snap Snapshot) *harness {
	cfg := testConfig()
	cfg.WarmState = true
	return newHarnessWith(t, cfg, term, snap)
}

// warmTable is the warm state as a follower has it.
type warmTable map[WarmKey]WarmRecord

// take applies the engine's changes to the table.
func (w warmTable) take(e *Engine, now time.Time) {
	for records := e.WarmChanges(now, 10); len(records) > 0; records = e.WarmChanges(now, 10) {
		for _, r := range records {
			if r.Machine == nil && r.Attempt == nil && r.Class == nil && r.Backoff == nil && r.Job == nil {
				delete(w, r.Key)
			} else {
				w[r.Key] = r
			}
		}
	}
}

// records returns the table's records.
func (w warmTable) records() []WarmRecord {
	var out []WarmRecord
	for _, r := range w {
		out = append(out, r)
	}
	return out
}

// newWarmSuccessor makes a leader of term 2 that has started j-1/0 on m-1 and has m-2 idle. It
// returns the leader of term 3, which starts from the records and the warm state, and the command
// that started j-1/0. The function alter, if any, changes the warm state before.
func newWarmSuccessor(t *testing.T, jobs []StoredJob, alter func(warmTable)) (next *harness, started fleet.Command) {
	t.Helper()
	b := newWarmHarness(t, 2, Snapshot{Jobs: jobs[:1]})
	b.up("m-1")
	b.pass(6*time.Second, true)
	s := starts(b.heartbeat("m-1", 2))
	if len(s) != 1 {
		t.Fatalf("%d starts", len(s))
	}
	b.heartbeat("m-1", 2, running(s[0]))
	b.up("m-2")
	for range 10 {
		b.pass(2*time.Second, true)
		b.heartbeat("m-1", 2, running(s[0]))
		b.heartbeat("m-2", 2)
	}
	state := warmTable{}
	state.take(b.e, b.now)
	if alter != nil {
		alter(state)
	}
	snap := Snapshot{Jobs: jobs}
	for _, p := range b.e.startLog.pages {
		snap.Pages = append(snap.Pages, StoredPage{Name: p.Name, Version: p.Version, Record: p.Record()})
	}
	cfg := testConfig()
	cfg.WarmState = true
	next = &harness{t: t, cfg: cfg, now: b.now.Add(4 * time.Second), sequences: b.sequences}
	next.e = New(next.now, cfg, 3, snap)
	next.e.Step(next.now, WarmStart{Records: state.records(), Confirmed: true})
	next.e.Step(next.now, CatalogUpdated{b.e.catalog})
	return next, s[0]
}

// With a confirmed warm state, work is placed before any heartbeat, and its start goes with the
// first response after the one that gives the machine the new fencing token.
func TestWarmStartPlacesAtOnce(t *testing.T) {
	b, _ := newWarmSuccessor(t, []StoredJob{job("j-1", 1), job("j-2", 2)}, nil)
	if o := b.e.WarmOutcome(); o.Expected != 2 || o.Differing != 0 {
		t.Fatalf("%+v", o)
	}
	b.pass(400*time.Millisecond, true)
	if n := b.e.jobs.get("j-2").Count(pipeline.Assigned); n != 2 {
		t.Fatalf("%d tasks placed before a heartbeat", n)
	}
	began := b.now
	got := 0
	for _, m := range []string{"m-1", "m-2"} {
		if s := starts(b.heartbeat(m, 2)); len(s) != 0 {
			t.Fatalf("%s gets %v with an answer to a heartbeat that may be a late copy", m, s)
		}
		got += len(starts(b.heartbeat(m, 3)))
	}
	if got != 2 || b.now.Sub(began) > time.Second {
		t.Fatalf("%d starts after %s", got, b.now.Sub(began))
	}
}

// Warm state that is wrong must not have a task placed twice. An attempt that the start log names
// is on its machine until proven gone, a machine of which the warm state says otherwise is waited
// for, and an attempt that only the warm state knows is nowhere.
func TestWarmStateProvesNothing(t *testing.T) {
	b, c := newWarmSuccessor(t, []StoredJob{job("j-1", 1), job("j-2", 40)}, func(state warmTable) {
		key := WarmKey{Kind: WarmAttemptKind, Name: "j-1"}
		if state[key].Attempt == nil {
			t.Fatal("the attempt isn't in the warm state")
		}
		delete(state, key) // as if the old leader had known it gone
		unstored := WarmKey{Kind: WarmAttemptKind, Name: "j-2", Task: 7}
		state[unstored] = WarmRecord{Key: unstored, Attempt: &WarmAttempt{
			Ref: "j-2", Task: 7, Number: 2<<attemptBits | 99, Machine: "m-2", RunStartMS: 1,
		}}
	})
	if o := b.e.WarmOutcome(); o.Differing != 1 || o.OnlyInStartLog != 1 || o.OnlyInWarmState != 1 || o.Expected != 1 {
		t.Fatalf("%+v", o)
	}
	b.pass(2*time.Second, true)
	if n := b.e.jobs.get("j-1").Count(pipeline.Waiting); n != 0 {
		t.Fatal("the task was placed again because the warm state doesn't name its attempt")
	}
	if n := b.e.machines.get("m-1").ActiveAttempts(); n != 1 {
		t.Fatalf("%d attempts on the machine on which start log and warm state disagree", n)
	}
	if n := b.e.machines.get("m-2").ActiveAttempts(); n != 8 {
		t.Fatalf("%d attempts on the expected machine, which takes 8", n)
	}
	b.heartbeat("m-1", 2, running(c))
	b.heartbeat("m-1", 3, running(c))
	if a := b.e.machines.get("m-1").Attempt(fleet.TaskID{Ref: "j-1"}); a == nil || a.Number != c.Attempt {
		t.Fatal("the reported attempt isn't known on its machine")
	}
}

// An expected machine never sends a heartbeat. What was placed there goes elsewhere, and nothing is
// started twice, since the start hasn't been sent.
func TestExpectedMachineNeverHeardOf(t *testing.T) {
	b, _ := newWarmSuccessor(t, []StoredJob{job("j-1", 1), job("j-2", 14)}, nil)
	b.pass(time.Second, true)
	b.heartbeat("m-1", 2)
	for range 8 {
		b.pass(2*time.Second, true)
		b.heartbeat("m-1", 3)
	}
	if m := b.e.machines.get("m-2"); m.HeartbeatExpected() || m.ActiveAttempts() != 0 {
		t.Fatalf("still expected %v with %d attempts", m.HeartbeatExpected(), m.ActiveAttempts())
	}
	if n := b.e.jobs.get("j-2").Count(pipeline.Waiting); n == 0 {
		t.Fatal("the tasks wait for a machine that isn't heard of")
	}
	if b.e.recovery.Status(b.now).Machines["expected"] != 1 {
		t.Fatalf("machines: %v", b.e.recovery.Status(b.now).Machines)
	}
}

// What a leader has learned survives a takeover: faulty machines, run times and arrivals of
// classes, refused offers, machines that a job avoids, and since when tasks run.
func TestWarmStateIsTakenOver(t *testing.T) {
	offer := fleet.PoolKey{Type: "big", Zone: "a"}
	b, c := newWarmSuccessor(t, []StoredJob{job("j-1", 1), job("j-2", 1)}, func(state warmTable) {
		for key, r := range state {
			if r.Machine != nil && r.Machine.Name == "m-2" {
				r.Machine.Quarantined = true
			}
			if r.Class != nil && (r.Class.Spec == nil || r.Class.Name != "c" || r.Class.LastReadyMS == 0) {
				t.Errorf("%+v: %+v", key, r.Class)
			}
			if r.Class != nil {
				r.Class.Runs, r.Class.Ratio = 12, 1.5
			}
		}
		key := WarmKey{Kind: WarmBackoffKind, Name: "big", Zone: "a"}
		state[key] = WarmRecord{Key: key, Backoff: &WarmBackoff{
			Type: "big", Zone: "a", Refusals: 3, UntilMS: time.Unix(5050, 0).UnixMilli(),
		}}
		avoid := WarmKey{Kind: WarmJobKind, Name: "j-2"}
		state[avoid] = WarmRecord{Key: avoid, Job: &WarmJob{
			Ref: "j-2", Avoids: []WarmAvoid{{Machine: "m-1", UntilMS: time.Unix(5060, 0).UnixMilli()}},
		}}
	})
	if m := b.e.machines.get("m-2"); m != nil && m.HeartbeatExpected() {
		t.Error("a quarantined machine is expected")
	}
	if c := b.e.classes.class("c"); c.ratio != 1.5 || c.runs != 12 {
		t.Errorf("class: %+v", c)
	}
	if back, refused := b.e.plan.Backoff(offer); !refused || back.Refusals != 3 {
		t.Errorf("offer: %+v", back)
	}
	if !b.e.jobs.get("j-2").Avoids(b.now, "m-1") {
		t.Error("the job doesn't avoid the machine where it failed")
	}
	b.heartbeat("m-1", 2, running(c))
	a := b.e.machines.get("m-1").Attempt(fleet.TaskID{Ref: "j-1"})
	if ran := b.now.Sub(a.RunStart); ran < 20*time.Second {
		t.Errorf("the task counts as running since %s ago", ran)
	}
}

// The records of the warm state follow every change: applied one by one, they equal what the leader
// would say of itself from the beginning.
func TestWarmChangesAreComplete(t *testing.T) {
	b := newWarmHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 6), job("j-2", 3)}})
	state := warmTable{}
	rng := rand.New(rand.NewPCG(4, 4))
	machines := []string{"m-1", "m-2", "m-3"}
	tasks := map[string][]fleet.TaskStatus{}
	for _, m := range machines {
		b.up(m)
	}
	for range 200 {
		m := machines[rng.IntN(len(machines))]
		someFail(rng, tasks[m])
		for _, c := range b.heartbeat(m, 2, tasks[m]...).Commands {
			tasks[m] = obeyed(tasks[m], c)
		}
		b.pass(400*time.Millisecond, true)
		state.take(b.e, b.now)
		state.compare(t, b.e)
	}
}

// someFail makes running tasks fail at random.
func someFail(rng *rand.Rand, tasks []fleet.TaskStatus) {
	for i := range tasks {
		if tasks[i].State == fleet.Running && rng.IntN(6) == 0 {
			tasks[i].State, tasks[i].Cause = fleet.Exited, fleet.CauseError
		}
	}
}

// obeyed returns a worker's tasks after a command.
func obeyed(tasks []fleet.TaskStatus, c fleet.Command) []fleet.TaskStatus {
	switch c.Kind {
	case fleet.Start:
		return append(tasks, running(c))
	case fleet.Forget:
		return slices.DeleteFunc(tasks, func(r fleet.TaskStatus) bool { return r.Attempt == c.Attempt })
	}
	return tasks
}

// compare fails the test if the replicated records differ from what the engine would say of itself
// now.
func (w warmTable) compare(t *testing.T, e *Engine) {
	t.Helper()
	busy, attempts := 0, 0
	for m := range e.machines.all() {
		name := m.Name
		busy += m.ActiveAttempts()
		got := w[WarmKey{Kind: WarmMachineKind, Name: name}].Machine
		want := e.warmMachine(name)
		if got == nil || got.Quarantined != want.Quarantined || got.Draining != want.Draining ||
			got.Failures != want.Failures || got.Reporting != want.Reporting || len(got.Images) != len(want.Images) {
			t.Fatalf("%s: replicated %+v, is %+v", name, got, want)
		}
	}
	for key, r := range w {
		if r.Attempt == nil {
			continue
		}
		attempts++
		if want := e.warmAttempt(fleet.TaskID{Ref: key.Name, Task: key.Task}); want == nil || *want != *r.Attempt {
			t.Fatalf("%+v: replicated %+v, is %+v", key, r.Attempt, want)
		}
	}
	if attempts != busy {
		t.Fatalf("%d attempts replicated, %d are on machines", attempts, busy)
	}
}
