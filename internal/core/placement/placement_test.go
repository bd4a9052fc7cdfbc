package placement

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

var types = Catalog{
	"cpu": {Name: "cpu", CPUs: 8, MemGB: 32, HourlyPrice: 1, FetchGBPerS: 1, Zones: []string{"a", "b"}},
	"gpu": {Name: "gpu", CPUs: 8, GPUs: 2, MemGB: 32, HourlyPrice: 9, FetchGBPerS: 1, Zones: []string{"a"}},
}

// Possible tells the jobs that could run from those that no machine type, zone or limit ever allows.
// Guards against accepting a job that would wait forever.
func TestPossible(t *testing.T) {
	limit := Quota{CPULimit: 10, GPULimit: 2}
	for _, c := range []struct {
		name string
		spec pipeline.Spec
		want bool
	}{
		{"plain", pipeline.Spec{Tasks: 1, CPUs: 8}, true},
		{"too large", pipeline.Spec{Tasks: 1, CPUs: 8.1}, false},
		{"array beyond the limit in all", pipeline.Spec{Tasks: 100, CPUs: 8}, true},
		{"gang beyond the limit", pipeline.Spec{Tasks: 2, CPUs: 8, Shape: pipeline.Gang}, false},
		{"service beyond the limit", pipeline.Spec{Tasks: 3, GPUs: 1, Shape: pipeline.Service}, false},
		{"no such type", pipeline.Spec{Tasks: 1, CPUs: 1, Types: []string{"tpu"}}, false},
		{"no types at all", pipeline.Spec{Tasks: 1, CPUs: 1, Types: []string{}}, false},
		{"type not in the zone", pipeline.Spec{Tasks: 1, GPUs: 1, Zone: "b"}, false},
		{"unknown zone", pipeline.Spec{Tasks: 1, CPUs: 1, Zone: "c"}, false},
	} {
		if got := Possible(&c.spec, limit, types); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// board is a Board that is its own Cluster and Executor, and records what is placed and stopped.
// Attempts of j-9 may be preempted, all attempts are expected to end in a minute, and the only team
// may use 40 CPUs.
type board struct {
	Board
	placed  []Decision
	stopped []*fleet.Attempt
	unmet   int
	zones   map[string]int // nil: what is placed isn't counted by zone
	startBy time.Time
	spent   func() bool
}

func newBoard(t *testing.T, jobs []*pipeline.Job, machines ...*fleet.Machine) *board {
	t.Helper()
	b := &board{}
	b.Board = Board{
		Scorer:       Scorer{Now: time.Unix(100, 0), SecondsPerDollarHour: 1},
		FreeCapacity: &FreeCapacity{}, MaxReservations: 5,
		Cluster: b, Executor: b,
	}
	for _, j := range jobs {
		b.Queue = append(b.Queue, QueueEntry{Job: j, MaxTasks: len(j.Tasks)})
	}
	for _, m := range machines {
		b.FreeCapacity.Set(m, types[m.Type], false)
	}
	return b
}

func (*board) Quota(string) Quota { return Quota{CPULimit: 40} }

func (b *board) Usage(string) fleet.Amount { return fleet.Amount{CPUs: float64(8 * len(b.placed))} }

func (b *board) Zones(string) map[string]int { return b.zones }

func (*board) ActiveAttempts(string) int { return 0 }

func (b *board) ExpectedEnd(*fleet.Attempt) time.Time { return b.Now.Add(time.Minute) }

func (b *board) NeedsCapacityBy(*pipeline.Job) time.Time { return b.Now.Add(time.Second) }

func (b *board) StartBy(*pipeline.Job) time.Time { return b.startBy }

func (*board) MayPreempt(*pipeline.Job) bool { return true }

func (*board) PreemptionCost(_ *pipeline.Job, a *fleet.Attempt) (float64, bool) {
	return 1, a.Ref == "j-9"
}

func (b *board) Commit(d Decision) {
	if b.zones != nil {
		b.zones[d.Slot.Zone]++
	}
	b.placed = append(b.placed, d)
	d.Job.Assign(d.Task, d.Slot.Machine.Name, 1)
}

func (b *board) Unplaced(_ *pipeline.Job, n int) { b.unmet += n }

func (b *board) Preempt(a *fleet.Attempt) { b.stopped = append(b.stopped, a) }

func (b *board) BudgetSpent() bool { return b.spent != nil && b.spent() }

// machine returns a live machine on which a task of 4 CPUs runs for each job in tasks.
func machine(name, typ, zone string, tasks ...string) *fleet.Machine {
	m := fleet.NewMachine(time.Unix(0, 0), name, fleet.PoolKey{Type: typ, Zone: zone})
	m.Move(time.Unix(0, 0), fleet.Live)
	for i, ref := range tasks {
		a := &fleet.Attempt{TaskID: fleet.TaskID{Ref: ref, Task: i}, Number: uint64(i + 1), CPUs: 4}
		m.AddAttempt(time.Unix(0, 0), a, fleet.Running)
	}
	return m
}

func job(t *testing.T, s pipeline.Spec) *pipeline.Job {
	t.Helper()
	j, err := pipeline.NewJob(pipeline.Record{Spec: s}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// Either all tasks of a gang are placed, in one zone if they must be, or none. Guards against a part
// of a gang that occupies machines and never starts.
func TestGangWholeOrNotAtAll(t *testing.T) {
	gang := job(t, pipeline.Spec{Ref: "j-1", Tasks: 3, CPUs: 8, Shape: pipeline.Gang, OneZone: true})
	b := newBoard(t, []*pipeline.Job{gang},
		machine("m-1", "cpu", "a"), machine("m-2", "cpu", "b"), machine("m-3", "cpu", "b"))
	if new(Round).Run(&b.Board); len(b.placed) != 0 || b.unmet != 3 {
		t.Fatalf("placed %v, unmet %d", b.placed, b.unmet)
	}
	b = newBoard(t, []*pipeline.Job{gang},
		machine("m-1", "cpu", "a"), machine("m-2", "cpu", "b"), machine("m-3", "cpu", "b"), machine("m-4", "cpu", "b"))
	if new(Round).Run(&b.Board); len(b.placed) != 3 {
		t.Fatalf("placed %v", b.placed)
	}
	for _, d := range b.placed {
		if d.Slot.Zone != "b" {
			t.Errorf("task %d in zone %s", d.Task, d.Slot.Zone)
		}
	}
}

// No more tasks of an array are placed than the team's limit allows, even if machines have room for
// more. Guards against exceeding the limit within one round.
func TestQuotaBoundsArrays(t *testing.T) {
	j := job(t, pipeline.Spec{Ref: "j-1", Tasks: 9, CPUs: 8})
	var ms []*fleet.Machine
	for _, n := range []string{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7"} {
		ms = append(ms, machine(n, "cpu", "a"))
	}
	b := newBoard(t, []*pipeline.Job{j}, ms...)
	if new(Round).Run(&b.Board); len(b.placed) != 5 {
		t.Fatalf("%d tasks of 8 CPUs within a limit of 40", len(b.placed))
	}
}

// If one task of a gang has its image and another one fetches it for long, the start of the first is
// delayed. Guards against gangs that fail because a task waits for the others for a limited time
// only: one once failed five times, each time shortly before the end of the fetch.
func TestGangStartsTogether(t *testing.T) {
	gang := job(t, pipeline.Spec{Ref: "j-1", Tasks: 2, CPUs: 8, Shape: pipeline.Gang, Image: "i", ImageGB: 60})
	cached, uncached := machine("m-1", "cpu", "a"), machine("m-2", "cpu", "a")
	cached.UseImage(time.Unix(0, 0), "i", 60, 100, 1)
	b := newBoard(t, []*pipeline.Job{gang}, cached, uncached)
	b.GangSlack = 10 * time.Second
	new(Round).Run(&b.Board)
	for _, d := range b.placed {
		want := map[string]time.Duration{"m-1": 38 * time.Second, "m-2": 0}[d.Slot.Machine.Name]
		if d.Delay != want {
			t.Errorf("start on %s delayed by %s, want %s", d.Slot.Machine.Name, d.Delay, want)
		}
	}
	if len(b.placed) != 2 {
		t.Fatalf("placed %v", b.placed)
	}
}

// A task without GPUs is placed on a machine without GPUs, if one has room. Guards against wasting
// expensive machines.
func TestCheaperPlace(t *testing.T) {
	j := job(t, pipeline.Spec{Ref: "j-1", Tasks: 1, CPUs: 4})
	b := newBoard(t, []*pipeline.Job{j}, machine("m-1", "gpu", "a"), machine("m-2", "cpu", "a"))
	if new(Round).Run(&b.Board); len(b.placed) != 1 || b.placed[0].Slot.Machine.Name != "m-2" {
		t.Fatalf("placed %+v", b.placed)
	}
}

// Room that is made by preemption, or expected, for a large task isn't given to later jobs. Guards
// against small tasks that keep a large one waiting.
func TestPreemptionKeepsTheRoom(t *testing.T) {
	large := job(t, pipeline.Spec{Ref: "j-1", Tasks: 1, CPUs: 8, Priority: pipeline.High})
	small := job(t, pipeline.Spec{Ref: "j-2", Tasks: 1, CPUs: 4, Priority: pipeline.Normal})
	b := newBoard(t, []*pipeline.Job{large, small}, machine("m-1", "cpu", "a", "j-9"))
	if new(Round).Run(&b.Board); len(b.stopped) != 1 || len(b.placed) != 0 || b.unmet != 2 {
		t.Fatalf("stopped %v, placed %v, unmet %d", b.stopped, b.placed, b.unmet)
	}
	b = newBoard(t, []*pipeline.Job{large, small}, machine("m-1", "cpu", "a", "j-8"))
	if new(Round).Run(&b.Board); len(b.stopped) != 0 || len(b.placed) != 0 {
		t.Fatalf("stopped %v, placed %v", b.stopped, b.placed)
	}
}

// A gang that must stay in one zone preempts attempts in one zone for all its tasks, or none at all,
// and the room is reserved for it. Guards against preemption for a part of a gang, and against
// leaving gangs out of preemption, as was once the case.
func TestGangMakesRoom(t *testing.T) {
	gang := job(t, pipeline.Spec{
		Ref: "j-1", Tasks: 2, CPUs: 8, Priority: pipeline.High, Shape: pipeline.Gang, OneZone: true,
	})
	small := job(t, pipeline.Spec{Ref: "j-2", Tasks: 4, CPUs: 1, Priority: pipeline.Normal})
	b := newBoard(t, []*pipeline.Job{gang, small}, machine("m-1", "cpu", "a", "j-9"), machine("m-2", "cpu", "a", "j-8"),
		machine("m-3", "cpu", "b", "j-9"), machine("m-4", "cpu", "b", "j-9"))
	if new(Round).Run(&b.Board); len(b.stopped) != 2 {
		t.Fatalf("stopped %v", b.stopped)
	}
	for _, a := range b.stopped {
		if a.Machine.Zone != "b" {
			t.Errorf("stopped on %s in zone %s", a.Machine.Name, a.Machine.Zone)
		}
	}
	for _, d := range b.placed {
		if d.Slot.Zone == "b" {
			t.Errorf("%s took room that was made for the gang", d.Job.Ref)
		}
	}
	b = newBoard(t, []*pipeline.Job{gang}, machine("m-1", "cpu", "a", "j-9"), machine("m-3", "cpu", "b", "j-9"))
	if new(Round).Run(&b.Board); len(b.stopped) != 0 {
		t.Fatalf("stopped %v although there is no room for the whole gang", b.stopped)
	}
}

// A round that has used up its budget resumes at the job where it stopped. Guards against jobs at the
// end of the queue that no round reaches.
func TestRoundResumes(t *testing.T) {
	var jobs []*pipeline.Job
	for _, ref := range []string{"j-1", "j-2", "j-3"} {
		jobs = append(jobs, job(t, pipeline.Spec{Ref: ref, Tasks: 1, CPUs: 1}))
	}
	b := newBoard(t, jobs, machine("m-1", "cpu", "a"))
	asked := 0
	b.spent = func() bool { asked++; return asked%2 == 0 }
	var r Round
	rounds := 1
	for !r.Run(&b.Board) {
		if rounds++; rounds > 10 {
			t.Fatal("the round never reaches the end of the queue")
		}
	}
	if len(b.placed) != 3 || rounds != 3 {
		t.Fatalf("%d placed in %d rounds", len(b.placed), rounds)
	}
}

// Of otherwise equal machines, a task goes to the one whose next heartbeat is due first, or whose
// answer is being held, since a start waits for the answer to a heartbeat. Guards against needless
// delays: each stage of a pipeline once started half a heartbeat interval late.
func TestNearestHeartbeatFirst(t *testing.T) {
	now := time.Unix(100, 0)
	var machines []*fleet.Machine
	for i, ago := range []time.Duration{time.Second, 7 * time.Second, 4 * time.Second} {
		m := machine([]string{"m-1", "m-2", "m-3"}[i], "cpu", "a")
		m.HeartbeatReceived(now.Add(-ago), &fleet.Heartbeat{})
		machines = append(machines, m)
	}
	for _, want := range []string{"m-2", "m-1"} {
		b := newBoard(t, []*pipeline.Job{job(t, pipeline.Spec{Ref: "j-1", Tasks: 1, CPUs: 1})}, machines...)
		b.HeartbeatInterval = 8 * time.Second
		new(Round).Run(&b.Board)
		if len(b.placed) != 1 || b.placed[0].Slot.Machine.Name != want {
			t.Errorf("placed %+v, want %s", b.placed, want)
		}
		machines[0].HeartbeatAnswered(true)
	}
}

// If a task must start by a time that can still be met, it goes to a machine that can be sent the
// start in time, even if another one is used more. Guards against missing the objective in favor of
// filling machines, and against trying to meet one that can't be met.
func TestStartsInTimeForItsObjective(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		by   time.Time
		want string
	}{{time.Time{}, "m-1"}, {now.Add(2 * time.Second), "m-2"}, {now.Add(time.Millisecond), "m-1"}} {
		used, idle := machine("m-1", "cpu", "a"), machine("m-2", "cpu", "a")
		used.HeartbeatReceived(now.Add(-4*time.Second), &fleet.Heartbeat{})
		idle.HeartbeatReceived(now.Add(-7*time.Second), &fleet.Heartbeat{})
		used.AddAttempt(now, &fleet.Attempt{TaskID: fleet.TaskID{Ref: "j-8"}, CPUs: 6}, fleet.Running)
		b := newBoard(t, []*pipeline.Job{job(t, pipeline.Spec{Ref: "j-1", Tasks: 1, CPUs: 1})}, used, idle)
		b.HeartbeatInterval = 8 * time.Second
		b.startBy = c.by
		new(Round).Run(&b.Board)
		if len(b.placed) != 1 || b.placed[0].Slot.Machine.Name != c.want {
			t.Errorf("by %s: placed %+v, want %s", c.by.Sub(now), b.placed, c.want)
		}
	}
}
