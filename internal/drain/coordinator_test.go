package drain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// testStore stands in for the state service: it holds pages by name, and fails the test if a write
// doesn't name the version that it replaces.
type testStore struct {
	charges  map[string]StoredChargePage
	machines map[string]StoredMachinePage
	revision uint64
}

func newTestStore() *testStore {
	return &testStore{charges: map[string]StoredChargePage{}, machines: map[string]StoredMachinePage{}}
}

// writeAll carries out the writes that a coordinator proposes, until it proposes no more.
func (s *testStore) writeAll(t *testing.T, now time.Time, c *Coordinator) {
	t.Helper()
	for range 50 {
		charges, machines := c.Ledger.Writes(now, 3), c.MachinePageWrites(3)
		if len(charges)+len(machines) == 0 {
			return
		}
		for _, w := range charges {
			s.writeCharges(t, c, w)
		}
		for _, w := range machines {
			s.writeMachines(t, c, w)
		}
	}
	t.Fatal("the coordinator keeps proposing writes")
}

func (s *testStore) writeCharges(t *testing.T, c *Coordinator, w ChargePageWrite) {
	t.Helper()
	if s.charges[w.Name].Version != w.Version {
		t.Fatalf("page %s has version %d, but the write replaces version %d", w.Name, s.charges[w.Name].Version, w.Version)
	}
	c.Ledger.WriteStarted(w.Name)
	s.revision++
	s.charges[w.Name] = StoredChargePage{Name: w.Name, Version: s.revision, Record: w.Record}
	outcome := PageWriteOutcome{OK: true, Version: s.revision}
	if w.Delete {
		delete(s.charges, w.Name)
		outcome.Version = 0
	}
	c.Ledger.PageWritten(w, outcome)
}

func (s *testStore) writeMachines(t *testing.T, c *Coordinator, w MachinePageWrite) {
	t.Helper()
	if s.machines[w.Name].Version != w.Version {
		t.Fatalf("page %s has version %d, but the write replaces version %d", w.Name, s.machines[w.Name].Version, w.Version)
	}
	c.MachinePageWriteStarted(w.Name)
	s.revision++
	s.machines[w.Name] = StoredMachinePage{Name: w.Name, Version: s.revision, Record: w.Record}
	outcome := PageWriteOutcome{OK: true, Version: s.revision}
	if w.Delete {
		delete(s.machines, w.Name)
		outcome.Version = 0
	}
	c.MachinePageWritten(w.Name, outcome)
}

// stored returns what a leader that takes over reads: the pages that were written, and the plans.
func (s *testStore) stored(plans ...StoredPlan) Stored {
	out := Stored{Plans: plans}
	for _, p := range s.charges {
		out.Charges = append(out.Charges, p)
	}
	for _, p := range s.machines {
		out.Machines = append(out.Machines, p)
	}
	return out
}

// newTestCoordinator returns the coordinator of a new leader. Its pages have at most limit bytes.
func newTestCoordinator(now time.Time, stored Stored, term int, limit int) *Coordinator {
	n := 0
	newName := func() string { n++; return fmt.Sprintf("%d-%d", term, n) }
	return NewCoordinator(now, testPolicy(nil), stored, newName, func() int { return limit })
}

// planOf returns a running plan for all machines that machineInfo can name.
func planOf(id string, maxAtOnce int, version uint64) StoredPlan {
	return StoredPlan{Version: version, Plan: Plan{ID: id, Selector: Selector{All: true}, MaxAtOnce: maxAtOnce,
		Through: "m-999999", CreatedMS: testStart.UnixMilli()}}
}

func machineInfo(i int) MachineInfo {
	return MachineInfo{Name: fmt.Sprintf("m-%06d", i), Type: "t", Zone: "z"}
}

// A plan for 4,000 machines, ten at a time, with a takeover after every 500, drains each machine once,
// keeps its pages within the limit and completes. It guards against a new leader that forgets
// machines or drains them again, and against pages that are never deleted from the state service.
func TestFourThousandMachinesInOnePlan(t *testing.T) {
	const machines, atOnce, limit = 4000, 10, 4000
	store, now := newTestStore(), testStart
	plan := planOf("all", atOnce, 1)
	gone := map[string]bool{}
	var c *Coordinator
	takeOver := func(term int) {
		c = newTestCoordinator(now, store.stored(plan), term, limit)
		for i := range machines {
			if info := machineInfo(i); !gone[info.Name] {
				c.MachineAdded(info)
			}
		}
	}
	takeOver(1)
	for released := 0; released < machines; {
		now = now.Add(queueRetryInterval)
		for {
			name, id := c.NextToCordon(now)
			if name == "" {
				break
			}
			c.Cordon(now, name, id)
		}
		store.writeAll(t, now, c)
		for _, m := range c.NextActive(atOnce) {
			if gone[m.Name] {
				t.Fatalf("%s is drained again", m.Name)
			}
			c.Move(m, Empty)
			c.MachineRemoved(m.Name)
			gone[m.Name] = true
			released++
		}
		store.writeAll(t, now, c)
		if released%500 == 0 {
			takeOver(2 + released)
		}
	}
	for _, p := range store.machines {
		if size := len(p.Record.Machines) * (entryBytes + len("m-000000") + len("all")); size > limit {
			t.Errorf("a page of %d bytes is over the limit", size)
		}
	}
	now = now.Add(2 * settleTime)
	writes := c.PlanWrites(now, "m-999999", true)
	if len(writes) != 1 || writes[0].Plan.Phase != Completed {
		t.Fatalf("the plan isn't completed, writes: %+v", writes)
	}
	c.PlanWritten(now, writes[0], true)
	c.PlanStored(now, StoredPlan{Plan: writes[0].Plan, Version: 2})
	store.writeAll(t, now, c)
	if len(store.machines) != 0 {
		t.Errorf("%d pages of machines are left", len(store.machines))
	}
}

// A machine stays cordoned over a takeover, and after its plan was cancelled until the state service
// has stored that. It guards against starting tasks on a machine that the next leader would find
// cordoned and empty.
func TestCordonOutlivesItsLeader(t *testing.T) {
	store, plan := newTestStore(), planOf("p", 1, 1)
	c := newTestCoordinator(testStart, store.stored(plan), 1, 4000)
	c.MachineAdded(machineInfo(1))
	name, id := c.NextToCordon(testStart)
	m := c.Cordon(testStart, name, id)
	if m.CordonStored() {
		t.Error("the cordon counts as stored before it was written")
	}
	store.writeAll(t, testStart, c)
	if !m.CordonStored() {
		t.Error("the cordon doesn't count as stored after it was written")
	}
	next := newTestCoordinator(testStart, store.stored(plan), 2, 4000)
	if !next.Cordoned(name) {
		t.Error("the next leader has forgotten the cordon")
	}
	plan.Version, plan.Plan.Phase = 2, Cancelled
	if uncordoned, _ := next.PlanStored(testStart, plan); !slices.Equal(uncordoned, []string{name}) {
		t.Errorf("uncordoned by the cancellation: %v", uncordoned)
	}
	if !next.Cordoned(name) {
		t.Error("uncordoned while the state service still holds it as cordoned")
	}
	store.writeAll(t, testStart, next)
	if next.Cordoned(name) || len(store.machines) != 0 {
		t.Error("still cordoned after the page was deleted, or the page is left")
	}
	if last := newTestCoordinator(testStart, store.stored(plan), 3, 4000); last.Cordoned(name) {
		t.Error("the last leader has it cordoned by a cancelled plan")
	}
}

// Of two plans that select a machine, the older one claims it, and the other may claim it once the
// first is cancelled. It guards against a machine that both plans drain, or neither.
func TestTwoPlansForOneMachine(t *testing.T) {
	store := newTestStore()
	first, second := planOf("a", 1, 1), planOf("b", 1, 2)
	c := newTestCoordinator(testStart, store.stored(first, second), 1, 4000)
	c.MachineAdded(machineInfo(1))
	name, id := c.NextToCordon(testStart)
	if id != "a" {
		t.Fatalf("%s is proposed for plan %q", name, id)
	}
	c.Cordon(testStart, name, id)
	if name, id := c.NextToCordon(testStart); name != "" {
		t.Fatalf("%s is also proposed for plan %q", name, id)
	}
	first.Version, first.Plan.Phase = 3, Cancelled
	c.PlanStored(testStart, first)
	if name, id := c.NextToCordon(testStart.Add(queueRetryInterval)); name == "" || id != "b" {
		t.Fatalf("%q is proposed for plan %q after the first was cancelled", name, id)
	}
}

// Every machine of a queue is proposed before one that was deferred is proposed again, which is after
// a pause. It guards against a plan that gets stuck at the first machine that can't be drained.
func TestBlockedMachinesAreBypassed(t *testing.T) {
	c := newTestCoordinator(testStart, newTestStore().stored(planOf("p", 1, 1)), 1, 4000)
	for i := range 5 {
		c.MachineAdded(machineInfo(i))
	}
	why := Verdict{Kind: Never, Cause: CauseTaskBudget}
	for i := range 4 {
		name, id := c.NextToCordon(testStart)
		if name != machineInfo(i).Name {
			t.Fatalf("%q is proposed after %d machines were deferred", name, i)
		}
		c.DeferMachine(testStart, name, id, why)
	}
	last, id := c.NextToCordon(testStart)
	c.DeferMachine(testStart, last, id, why)
	if name, _ := c.NextToCordon(testStart); last != machineInfo(4).Name || name != "" {
		t.Fatalf("%q is proposed last, then %q without a pause", last, name)
	}
	if name, _ := c.NextToCordon(testStart.Add(queueRetryInterval)); name != machineInfo(0).Name {
		t.Errorf("%q is proposed after the pause", name)
	}
}

// After its deadline a plan expires, and its machines are uncordoned or, with KeepCordoned, stay
// cordoned until an operator cancels the plan. It guards against machines on which no task is started
// although no plan drains them.
func TestDeadline(t *testing.T) {
	for _, keep := range []bool{false, true} {
		store, plan := newTestStore(), planOf("p", 1, 1)
		plan.Plan.Deadline, plan.Plan.KeepCordoned = time.Minute, keep
		c := newTestCoordinator(testStart, store.stored(plan), 1, 4000)
		c.MachineAdded(machineInfo(1))
		c.MachineAdded(machineInfo(2))
		name, id := c.NextToCordon(testStart)
		c.Cordon(testStart, name, id)
		if w := c.PlanWrites(testStart.Add(59*time.Second), "", true); len(w) != 0 {
			t.Fatalf("writes before the deadline: %+v", w)
		}
		writes := c.PlanWrites(testStart.Add(61*time.Second), "", true)
		if len(writes) != 1 || writes[0].Plan.Phase != Expired {
			t.Fatalf("writes after the deadline: %+v", writes)
		}
		c.PlanStored(testStart, StoredPlan{Plan: writes[0].Plan, Version: 2})
		store.writeAll(t, testStart, c)
		if c.Cordoned(name) != keep || c.Queued(machineInfo(2).Name) {
			t.Errorf("KeepCordoned %v: cordoned %v, other machine queued %v", keep, c.Cordoned(name), c.Queued(machineInfo(2).Name))
		}
		cancelled := writes[0].Plan
		if cancelled.MoveTo(Running) || !cancelled.MoveTo(Cancelled) {
			t.Error("an expired plan must be cancellable, and must not run again")
		}
		c.PlanStored(testStart, StoredPlan{Plan: cancelled, Version: 3})
		store.writeAll(t, testStart, c)
		if c.Cordoned(name) {
			t.Error("cordoned after the plan was cancelled")
		}
	}
}

// While there are more finished plans than are kept, the oldest is deleted. It guards against records
// of plans that fill the state service, and against the loss of recent ones.
func TestOldPlansAreForgotten(t *testing.T) {
	c := newTestCoordinator(testStart, Stored{}, 1, 4000)
	for i := range keptPlans + 2 {
		p := planOf(fmt.Sprintf("p-%02d", i), 1, 1)
		p.Plan.Phase, p.Plan.CreatedMS = Completed, int64(i)
		c.PlanStored(testStart, p)
	}
	for i := range 2 {
		now := testStart.Add(time.Duration(i) * time.Minute)
		w := c.PlanWrites(now, "", true)
		if len(w) != 1 || !w[0].Delete || w[0].Plan.ID != fmt.Sprintf("p-%02d", i) {
			t.Fatalf("writes: %+v", w)
		}
		c.PlanWritten(now, w[0], true)
	}
	if w := c.PlanWrites(testStart.Add(time.Hour), "", true); len(w) != 0 {
		t.Errorf("with %d finished plans left, writes: %+v", keptPlans, w)
	}
}

// chargingLeaders is a succession of leaders that make charges, write them and are replaced, all at
// random.
type chargingLeaders struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	store  *testStore
	now    time.Time
	stored map[TaskAttempt]bool // charges that the state service holds
	leader *Coordinator
}

// smallPageLimit is a page size in bytes into which only a few charges fit.
const smallPageLimit = 1200

// charge charges an interruption of a random task.
func (c *chargingLeaders) charge(attempt int) {
	task := TaskKey{fmt.Sprintf("j-%d", c.rng.IntN(5)), c.rng.IntN(9)}
	if charge := c.leader.Ledger.Charge(c.now, "red", "c", task, uint64(attempt), Voluntary); charge.Stored() {
		c.t.Fatal("a new charge counts as stored")
	}
}

// write stores all charges.
func (c *chargingLeaders) write() {
	c.store.writeAll(c.t, c.now, c.leader)
	for _, open := range c.leader.Ledger.OpenCharges() {
		if !open.Stored() {
			c.t.Fatalf("seed %d: the charge of %v isn't stored after all pages were written", c.seed, open.TaskKey)
		}
		c.stored[TaskAttempt{open.TaskKey, open.Attempt}] = true
	}
}

// rejectPage has the state service reject the first page that is to be written, if there is one.
func (c *chargingLeaders) rejectPage() {
	for _, w := range c.leader.Ledger.Writes(c.now, 1) {
		c.leader.Ledger.WriteStarted(w.Name)
		c.leader.Ledger.PageRejected(w.Name)
	}
}

// takeOver replaces the leader by one that reads the stored pages.
func (c *chargingLeaders) takeOver(term int) {
	c.leader = newTestCoordinator(c.now, c.store.stored(), term, smallPageLimit)
	for task := range c.stored {
		if charge := c.leader.Ledger.Find(task.TaskKey, task.Attempt); charge == nil || !charge.Stored() {
			c.t.Fatalf("seed %d: the charge of %v is lost", c.seed, task)
		}
	}
}

// Every later leader finds a charge that was stored, whenever leaders end between a charge and its
// write, and whichever pages the state service rejects. It guards against takeovers that lose
// charges, so that budgets are exceeded.
func TestLedgerOverTakeovers(t *testing.T) {
	for seed := range uint64(50) {
		c := &chargingLeaders{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), store: newTestStore(), now: testStart,
			stored: map[TaskAttempt]bool{}}
		c.takeOver(1)
		for step := range 300 {
			c.now = c.now.Add(time.Second)
			switch c.rng.IntN(6) {
			case 0, 1, 2:
				c.charge(step)
			case 3:
				c.write()
			case 4:
				c.rejectPage()
			case 5:
				c.takeOver(step + 2)
			}
		}
	}
}

// A charge that is on both halves of a split page counts once, and is open if either page says so. It
// guards against an interruption that counts twice after a leader ended between the writes of the
// two.
func TestChargeOnTwoPages(t *testing.T) {
	p := testPolicy(map[Scope]Budget{{Team: "red"}: budget(func(b *Budget) {
		b.TaskInterruptions, b.WindowInterruptions, b.Window = 1, 2, time.Minute
	})})
	entry := func(end int64) ChargePage {
		charge := ChargeEntry{Task: 0, Attempt: 7, AtMS: 1, EndMS: end}
		return ChargePage{Jobs: []JobCharges{{Job: "j-1", Team: "red", Class: "c", Entries: []ChargeEntry{charge}}}}
	}
	l := newTestLedger(p)
	l.Recover(StoredChargePage{Name: "1-1", Version: 1, Record: entry(testStart.UnixMilli())})
	l.Recover(StoredChargePage{Name: "1-2", Version: 2, Record: entry(0)})
	if open := l.OpenCharges(); len(open) != 1 {
		t.Fatalf("%d open charges", len(open))
	}
	if n, _ := l.windows.count(Scope{Team: "red"}, time.Minute, testStart, nil); n != 1 {
		t.Errorf("counted %d times", n)
	}
	expect(t, "interrupted once", p.Judge(testStart, l, candidate("j-1", 0, 8)), NotYet, CauseTaskBudget)
}

// A charge can be withdrawn, but not while its page is being written. It guards against a charge that
// is stored after it was withdrawn, and that no leader would ever end.
func TestVoidCharge(t *testing.T) {
	store := newTestStore()
	c := newTestCoordinator(testStart, store.stored(), 1, 4000)
	task := TaskKey{"j-1", 0}
	c.Ledger.Charge(testStart, "red", "c", task, 1, Voluntary)
	w := c.Ledger.Writes(testStart, 1)
	c.Ledger.WriteStarted(w[0].Name)
	if c.Ledger.Withdraw(task, 1); c.Ledger.Find(task, 1) == nil {
		t.Fatal("withdrawn while its page is being written")
	}
	c.Ledger.PageWritten(w[0], PageWriteOutcome{OK: true, Version: 1})
	store.charges[w[0].Name], store.revision = StoredChargePage{Name: w[0].Name, Version: 1, Record: w[0].Record}, 1
	if c.Ledger.Withdraw(task, 1); c.Ledger.Find(task, 1) != nil {
		t.Fatal("not withdrawn")
	}
	store.writeAll(t, testStart, c)
	if next := newTestCoordinator(testStart, store.stored(), 2, 4000); next.Ledger.Find(task, 1) != nil {
		t.Error("the next leader finds the withdrawn charge")
	}
}

// A machine and a plan change state only as docs/draining.md says. It guards against a machine that
// is emptied or released twice, and against a plan that continues after its end.
func TestStateChanges(t *testing.T) {
	m := &Machine{}
	for _, c := range []struct {
		to MachineState
		ok bool
	}{
		{Empty, false},
		{Cordoned, true},
		{Cordoned, false},
		{Emptying, true},
		{Replacing, true},
		{Emptying, true},
		{Empty, true},
		{Uncordoned, false},
		{Planned, false},
		{Released, true},
		{Planned, false},
	} {
		if m.move(c.to) != c.ok {
			t.Errorf("change to %s: expected allowed %v, state afterwards %s", c.to, c.ok, m.state)
		}
	}
	p := Plan{}
	for _, c := range []struct {
		to Phase
		ok bool
	}{
		{Running, false},
		{Paused, true},
		{Completed, false},
		{Running, true},
		{Completed, true},
		{Running, false},
		{Cancelled, false},
	} {
		if p.MoveTo(c.to) != c.ok {
			t.Errorf("change to %s: expected allowed %v, phase afterwards %s", c.to, c.ok, p.Phase)
		}
	}
}
