package core

import (
	"slices"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// A job may start only once the store holds that its dependency is done: until then the dependency
// may still turn out to be cancelled.
func TestStartsOnceTheParentIsStored(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{jobAfter("j-2", "j-1"), job("j-1", 1)}})
	b.up("m-1")
	b.pass(6*time.Second, true)
	s := starts(b.heartbeat("m-1", 2))
	if len(s) != 1 || s[0].Ref != "j-1" {
		t.Fatalf("started %v", s)
	}
	b.heartbeat("m-1", 2, running(s[0]))
	b.finish("m-1", s[0])
	b.pass(3*time.Second, false)
	if j := b.e.jobs.get("j-2"); j.Phase() != pipeline.Held {
		t.Fatal("ready before the store held that its dependency is done")
	}
	b.pass(time.Second, true)
	if s := starts(b.heartbeat("m-1", 2)); len(s) != 1 || s[0].Ref != "j-2" {
		t.Fatalf("not started once the store holds that its dependency is done: %v", s)
	}
}

// A job that waits for its dependencies is neither placed nor counted as demand or usage, and users
// see it as active with no running tasks.
func TestHeldJobTakesNothing(t *testing.T) {
	held := jobAfter("j-2", "j-1")
	held.Record.Spec.Tasks, held.Record.Spec.Priority = 50, pipeline.Production
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{held, job("j-1", 1)}})
	b.up("m-1")
	b.pass(10*time.Second, true)
	if len(b.e.rounds.demand) != 0 || b.e.usage.ofTeam("t").CPUs != 1 {
		t.Fatalf("demand %v, in use %v", b.e.rounds.demand, b.e.usage.ofTeam("t"))
	}
	if v, ok := b.e.Lookup("j-2"); !ok || v.Phase != pipeline.Active || v.Running != 0 {
		t.Fatalf("view %+v, %v", v, ok)
	}
}

// A cancellation reaches all direct and indirect dependents at once, also those submitted
// afterwards, while the job's own task is still on a machine that doesn't respond. Waiting for the
// end of that task would leave the dependents queued for longer than users accept.
func TestCancelReachesAllAtOnce(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{
		job("j-1", 1), jobAfter("j-2", "j-1"), jobAfter("j-3", "j-2"), jobAfter("j-4", "j-1", "j-3"),
	}})
	b.up("m-1")
	b.pass(6*time.Second, true)
	s := starts(b.heartbeat("m-1", 2))
	b.heartbeat("m-1", 2, running(s[0]))
	c := job("j-1", 1)
	c.Version, c.Record.Phase, c.Record.CancelledMS = 900, pipeline.Cancelled, b.now.UnixMilli()
	b.e.Step(b.now, JobStored{c})
	b.e.Step(b.now, JobStored{jobAfter("j-5", "j-4")})
	for _, ref := range []string{"j-2", "j-3", "j-4", "j-5"} {
		if f, ok := b.finalEntry(ref); !ok || f.Phase != pipeline.Cancelled {
			t.Errorf("%s isn't being cancelled", ref)
		}
		if _, ok := b.e.Lookup(ref); ok {
			t.Errorf("the state of %s is answered before the store holds it", ref)
		}
	}
	if _, ok := b.finalEntry("j-1"); ok {
		t.Error("j-1's final entry is to be written with a task on a machine")
	}
}

// A new leader looks up dependencies that it doesn't know, and reaches the same result as the last
// leader, wherever that one stopped.
func TestNewLeaderAsks(t *testing.T) {
	b := newHarness(t, 3, Snapshot{Jobs: []StoredJob{jobAfter("j-2", "j-1"), jobAfter("j-3", "j-2"), jobAfter("j-5", "j-4")}})
	if a := b.e.DependenciesToLookUp(9); len(a) != 2 || a[0] != "j-1" || a[1] != "j-4" {
		t.Fatalf("dependencies to look up: %v", a)
	}
	for _, ref := range []string{"j-2", "j-3", "j-5"} {
		if _, ok := b.e.Lookup(ref); ok {
			t.Errorf("the state of %s is answered before it is known whether a dependency is cancelled", ref)
		}
	}
	b.e.Step(b.now, DependencyLookupFailed{"j-1"})
	if a := b.e.DependenciesToLookUp(9); len(a) != 1 || a[0] != "j-1" {
		t.Fatalf("dependencies to look up after a failed lookup: %v", a)
	}
	end := b.now.Add(-time.Minute).Truncate(time.Millisecond)
	b.e.Step(b.now, JobFinished{Ref: "j-1", Final: pipeline.Final{Phase: pipeline.Done, EndMS: end.UnixMilli()}})
	if j := b.e.jobs.get("j-2"); j.Phase() != pipeline.Active || !j.ReadyAt.Equal(end) {
		t.Fatalf("phase %d since %v", j.Phase(), j.ReadyAt)
	}
	b.e.Step(b.now, JobFinished{Ref: "j-4", Final: pipeline.Final{Phase: pipeline.Cancelled}})
	if f, ok := b.finalEntry("j-5"); !ok || f.Phase != pipeline.Cancelled {
		t.Fatal("j-5 isn't being cancelled")
	}
	if v, ok := b.e.Lookup("j-3"); !ok || v.Phase != pipeline.Active || b.e.jobs.get("j-3").Phase() != pipeline.Held {
		t.Fatalf("view of j-3: %+v, %v", v, ok)
	}
}

// The results of a job that the last leader had started count, even if the new leader doesn't know
// yet that the job's dependencies are done.
func TestResultsOfAJobStartedBefore(t *testing.T) {
	b := newHarness(t, 2, Snapshot{
		Jobs:  []StoredJob{jobAfter("j-1", "j-0")},
		Pages: []StoredPage{page("1-1", "m-1", 1<<attemptBits)},
	})
	b.heartbeat("m-1", 0, fleet.TaskStatus{Ref: "j-1", Attempt: 1 << attemptBits, State: fleet.Running})
	b.finish("m-1", fleet.Command{Ref: "j-1", Attempt: 1 << attemptBits})
	if f, ok := b.finalEntry("j-1"); !ok || f.Phase != pipeline.Done {
		t.Fatalf("%+v, %v", f, ok)
	}
}

// Jobs that urgent jobs depend on are placed first, and among equally urgent ones those whose
// dependents have the earlier deadline.
func TestJobsGoByTheirCriticalPath(t *testing.T) {
	cfg := testConfig()
	cfg.Objectives = map[string][]Objective{"last": {{Kind: DeadlineObjective, Times: 1}}}
	jobs := []StoredJob{job("j-1", 1), job("j-2", 1), job("j-3", 1), jobAfter("j-8", "j-2"), jobAfter("j-9", "j-3")}
	for i := range jobs {
		s := &jobs[i].Record.Spec
		s.Priority, s.Estimate = pipeline.Low, 10*time.Second
		jobs[i].Record.SubmittedMS = time.Unix(5000, 0).UnixMilli()
		if i > 2 {
			s.Class, s.Priority, s.Deadline = "last", pipeline.High, time.Duration(300-50*i)*time.Second
		}
	}
	b := newHarnessWith(t, cfg, 2, Snapshot{Jobs: jobs})
	b.e.updateFreeCapacity(b.now)
	var order []string
	for _, entry := range b.e.priorityOrder(b.now) {
		order = append(order, entry.Job.Ref)
	}
	if len(order) != 3 || order[0] != "j-3" || order[1] != "j-2" || order[2] != "j-1" {
		t.Fatalf("order %v", order)
	}
}

// A page of the start log that the store rejects for its size doesn't block other writes. It isn't
// sent again unchanged; its entries move to smaller pages.
func TestRefusedWriteIsMadeSmaller(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 60)}})
	for i := range 8 {
		b.up("m-" + string(rune('1'+i)))
	}
	b.pass(5*time.Second, false)
	largest, started := 0, map[int]bool{}
	for i := range 60 {
		for k := range 8 {
			if i%10 == 0 {
				for _, c := range starts(b.heartbeat("m-"+string(rune('1'+k)), 2)) {
					started[c.Task] = true
				}
			}
		}
		b.now = b.now.Add(200 * time.Millisecond)
		b.e.Step(b.now, Tick{})
		batch := b.e.Batch(b.now, 10)
		b.e.Step(b.now, WritesStarted{batch})
		for _, w := range batch {
			entries := 0
			if page, ok := w.(PutStartLogPage); ok {
				for _, p := range page.Record.Placed {
					entries += len(p.Entries)
				}
			}
			if entries > 10 {
				largest = max(largest, entries)
				b.e.Step(b.now, WriteRejected{w})
				continue
			}
			b.e.Step(b.now, WritesFinished{Batch: []Write{w}, OK: true, Revision: 100})
		}
	}
	if largest == 0 || len(started) != 60 {
		t.Fatalf("largest rejected page: %d entries; %d of 60 tasks started", largest, len(started))
	}
}

// changes returns the number of puts and deletes in a batch.
func changes(batch []Write) (n int) {
	for _, w := range batch {
		n += w.ops()
	}
	return n
}

// Starts and jobs' final entries take turns at going first in a batch, so that neither delays the
// other for long when a batch has room for few changes.
func TestStartsAndEndsTakeTurns(t *testing.T) {
	e := New(time.Unix(0, 0), testConfig(), 1, Snapshot{})
	for i := range 20 {
		ref := "j-" + string(rune('a'+i))
		e.addJob(time.Unix(0, 0), job(ref, 1))
		e.jobs.get(ref).Finish(0)
		e.jobs.get(ref).CompleteIfDone()
		p := fleet.NewStartLogPage(ref, 0)
		p.Dirty = true
		e.startLog.addPage(p)
		e.startLog.pageChanged(p)
	}
	finals, pages := 0, 0
	for range 2 {
		batch := e.Batch(time.Unix(1, 0), 2)
		if changes(batch) > 2 {
			t.Fatalf("%d changes in a batch of two", changes(batch))
		}
		for _, w := range batch {
			switch w.(type) {
			case PutFinal:
				finals++
			case PutStartLogPage:
				pages++
			}
		}
	}
	if finals != 1 || pages != 2 {
		t.Fatalf("two batches of two changes held %d final entries and %d pages", finals, pages)
	}
}

// Final entries of jobs that were cancelled with a dependency are written first, then those that
// have waited longest. When they were written in order of job names, jobs with high numbers stayed
// queued for over a minute at a low rate of writes, while other jobs kept ending.
func TestCancelledWithOthersAreWrittenFirst(t *testing.T) {
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{job("j-1", 1), job("j-2", 1), job("j-5", 1), jobAfter("j-9", "j-8")}})
	for _, ref := range []string{"j-5", "j-1", "j-2"} {
		j := b.e.jobs.get(ref)
		delete(b.e.jobWrites.changed, j)
		j.Finish(0)
		j.CompleteIfDone()
		b.e.jobWrites.jobChanged(j)
	}
	b.e.Step(b.now, JobFinished{Ref: "j-8", Final: pipeline.Final{Phase: pipeline.Cancelled}})
	var order []string
	for _, w := range b.e.Batch(b.now, 20) {
		order = append(order, w.Target())
	}
	if want := []string{"j-9", "j-5", "j-1", "j-2"}; !slices.Equal(order, want) {
		t.Fatalf("written in the order %v, want %v", order, want)
	}
}

// If a job's spec is larger than the current limit of values, only its final entry is written. Its
// progress would be rejected, and that would make the engine shrink all other values.
func TestLargeDescriptionIsLeftAsItIs(t *testing.T) {
	cfg := testConfig()
	cfg.MaxValueBytes = 1000
	large := job("j-1", 2)
	for range 40 {
		large.Record.Spec.Types = append(large.Record.Spec.Types, "a-type-with-a-long-name")
	}
	b := newHarnessWith(t, cfg, 2, Snapshot{Jobs: []StoredJob{large, job("j-2", 2)}})
	for _, ref := range []string{"j-1", "j-2"} {
		b.e.jobs.get(ref).Finish(0)
		b.e.jobWrites.jobChanged(b.e.jobs.get(ref))
	}
	if batch := b.e.Batch(b.now, 10); len(batch) != 1 || batch[0].Target() != "j-2" {
		t.Fatalf("writes %+v", batch)
	}
	b.e.jobs.get("j-1").Finish(1)
	b.e.jobs.get("j-1").CompleteIfDone()
	if f, ok := b.finalEntry("j-1"); !ok || f.Phase != pipeline.Done {
		t.Fatalf("final entry of j-1: %+v, %v", f, ok)
	}
}
