package core

import (
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

const (
	// answerDropped is how long after it sent a heartbeat a worker takes its answer (PROTOCOL).
	answerDropped = 4 * time.Second
	// evictionSlack is what a stop takes beside the way to the worker and saving.
	evictionSlack = 2 * time.Second
	// directBound is how long a direct command may take; only gangs of several tasks, which
	// have to be told together, are stopped by them.
	directBound = 10 * time.Second
)

// machineWork is what is on a machine that is to be emptied.
type machineWork struct {
	groups       []*evictionGroup
	gangStarting bool // a gang is being started, of which not all has been reported yet
}

// evictionGroup is what is evicted together: a task, or all tasks of a gang.
type evictionGroup struct {
	job       *pipeline.Job
	attempts  []*fleet.Attempt
	candidate drain.Candidate
	verdict   drain.Verdict
}

// workOn lists what is on a machine, but for what is leaving or has not been reported yet.
func (e *Engine) workOn(now time.Time, m *fleet.Machine) *machineWork {
	work := &machineWork{}
	seen := map[string]bool{}
	for _, a := range m.SortedAttempts() {
		j := e.jobs.get(a.Ref)
		if a.Leaving() || j == nil || j.Over() || a.Unrecorded {
			continue
		}
		if isGang(j) && seen[a.Ref] {
			continue
		}
		seen[a.Ref] = true
		attempts := e.interruptedWith(j, a)
		switch {
		case !allObserved(attempts):
			work.gangStarting = work.gangStarting || isGang(j)
		case anyLeaving(attempts):
		default:
			work.groups = append(work.groups, newEvictionGroup(now, j, attempts))
		}
	}
	return work
}

// taskKey names an attempt's task in the ledger of charges.
func taskKey(a *fleet.Attempt) drain.TaskKey { return drain.TaskKey{Job: a.Ref, Task: a.Task} }

// isGang reports whether a job's tasks are stopped together.
func isGang(j *pipeline.Job) bool { return j.Shape == pipeline.Gang && len(j.Tasks) > 1 }

func allObserved(attempts []*fleet.Attempt) bool {
	for _, a := range attempts {
		if a.State() < fleet.Fetching {
			return false
		}
	}
	return true
}

func anyLeaving(attempts []*fleet.Attempt) bool {
	for _, a := range attempts {
		if a.Leaving() {
			return true
		}
	}
	return false
}

// newEvictionGroup describes what would be interrupted.
func newEvictionGroup(now time.Time, j *pipeline.Job, attempts []*fleet.Attempt) *evictionGroup {
	g := &evictionGroup{job: j, attempts: attempts}
	g.candidate = drain.Candidate{
		Team: j.Team, Class: j.Class, Job: j.Ref,
		Checkpoints: j.CheckpointInterval > 0, EvictionTime: evictionTime(j), CordonedAt: now,
	}
	if j.Shape == pipeline.Service {
		g.candidate.Replicas = len(j.Tasks)
	}
	for _, a := range attempts {
		g.candidate.Tasks = append(g.candidate.Tasks, drain.TaskAttempt{TaskKey: taskKey(a), Attempt: a.Number})
	}
	return g
}

// evictionTime is how long after the decision the last task of a group has left.
func evictionTime(j *pipeline.Job) time.Duration {
	takes := answerDropped + evictionSlack
	if j.CheckpointInterval > 0 {
		takes += j.CheckpointTime
	}
	if isGang(j) {
		takes += directBound
	}
	return takes
}

// tasksDown counts the tasks of a job that are down, but for some attempts: replicas that
// don't run, and of other jobs tasks that were interrupted and don't run again. It is counted
// only where something depends on it.
func (e *Engine) tasksDown(j *pipeline.Job, except []*fleet.Attempt) int {
	switch {
	case j.Shape == pipeline.Service:
		return e.replicasDown(j, except)
	case !e.cfg.Drain.LimitsUnavailable(j.Team, j.Class):
		return 0
	}
	down := 0
	for _, task := range e.drains.coordinator.Ledger.ChargedTasks(j.Ref) {
		if task < len(j.Tasks) && j.Tasks[task].State() != pipeline.Finished && !e.taskUp(j, task, except) {
			down++
		}
	}
	return down
}

// replicasDown counts the replicas of a service that don't run or are leaving, but for some.
func (e *Engine) replicasDown(j *pipeline.Job, except []*fleet.Attempt) int {
	up := map[int]bool{}
	for a := range e.usage.ofJob(j.Ref).attempts {
		if e.isUp(a) || slices.Contains(except, a) {
			up[a.Task] = true
		}
	}
	return len(j.Tasks) - len(up)
}

// taskUp reports whether a task runs and stays, or is one of some attempts.
func (e *Engine) taskUp(j *pipeline.Job, task int, except []*fleet.Attempt) bool {
	m := e.machines.get(j.Tasks[task].Machine)
	if m == nil {
		return false
	}
	a := m.Attempt(fleet.TaskID{Ref: j.Ref, Task: task})
	return a != nil && (e.isUp(a) || slices.Contains(except, a))
}

// isUp reports whether an attempt runs and isn't to be interrupted.
func (e *Engine) isUp(a *fleet.Attempt) bool {
	return a.State() == fleet.Running && !a.Leaving() && !e.charged(a)
}

// charged reports whether an interruption of an attempt is charged and may be under way.
func (e *Engine) charged(a *fleet.Attempt) bool {
	c := e.drains.coordinator.Ledger.Find(taskKey(a), a.Number)
	return c != nil && c.Open()
}

// judge judges a group as things are now: what was evicted a moment ago counts.
func (e *Engine) judge(now time.Time, g *evictionGroup) drain.Verdict {
	g.candidate.Down = e.tasksDown(g.job, g.attempts)
	return e.cfg.Drain.Judge(now, e.drains.coordinator.Ledger, &g.candidate)
}

// evictAllowed evicts what may leave a machine. It tells what stands in the way beside budgets.
func (e *Engine) evictAllowed(
	now time.Time, dm *drain.Machine, work *machineWork, booking *capacityBooking,
) drain.Verdict {
	blocked := drain.Verdict{}
	for _, group := range work.groups {
		if group.verdict.Kind != drain.Allowed {
			continue
		}
		if e.judge(now, group).Kind != drain.Allowed {
			continue
		}
		if !booking.book(group, e.drains.coordinator.Surge(dm) > 0) {
			return e.awaitReplacement(now, dm)
		}
		e.drains.coordinator.Move(dm, drain.Emptying)
		if !e.evict(now, group) {
			blocked = drain.Verdict{Kind: drain.NotYet, Cause: drain.CauseNotStored}
		}
	}
	return blocked
}

// evict requests that a group leaves its machines, once the state service holds all its charges.
// It returns false as long as it doesn't.
func (e *Engine) evict(now time.Time, g *evictionGroup) bool {
	ledger, stored := e.drains.coordinator.Ledger, true
	for _, t := range g.candidate.Tasks {
		c := ledger.Charge(now, g.job.Team, g.job.Class, t.TaskKey, t.Attempt, drain.Voluntary)
		stored = stored && c.Stored()
	}
	if !stored {
		return false
	}
	for _, a := range g.attempts {
		e.drains.moving.add(g.job, a)
	}
	if isGang(g.job) {
		a := g.attempts[0]
		e.stopWithCheckpoint(now, a.Machine, a, g.job)
		return true
	}
	g.attempts[0].ApproveEviction()
	return true
}

// sendEviction has an approved eviction go with an answer, if it is still in time; else it is
// judged again.
func (e *Engine) sendEviction(now time.Time, m *fleet.Machine, a *fleet.Attempt) bool {
	j := e.jobs.get(a.Ref)
	if j == nil || !e.cfg.Drain.MayMoveNow(now, j.Team, j.Class, evictionTime(j)) {
		a.WithdrawEviction()
		return false
	}
	a.SendEviction(now, j.CheckpointTime+time.Second)
	e.capacityChanged(m)
	e.log(LogTaskEvicted, logAttempt(a)...)
	return true
}

// revokeEvictions takes back the evictions from a machine that haven't gone out.
func (e *Engine) revokeEvictions(machine string) {
	m := e.machines.get(machine)
	if m == nil {
		return
	}
	for a := range m.Attempts() {
		a.WithdrawEviction()
	}
}

// voidEvery is the pause between two looks for charges that won't be spent.
const voidEvery = 10 * time.Second

// voidCharges takes back the charges of attempts that run on and whose machines aren't drained
// any more. Their machines have sent heartbeats under this term, so that no stop by an earlier leader
// is obeyed there, and this one hasn't told them to stop (TestUnspentChargeIsVoid).
func (e *Engine) voidCharges(now time.Time) {
	d := e.drains
	if now.Sub(d.voidedAt) < voidEvery {
		return
	}
	d.voidedAt = now
	ledger := d.coordinator.Ledger
	for _, c := range ledger.OpenCharges() {
		a := e.usage.find(fleet.TaskID{Ref: c.Job, Task: c.Task}, c.Attempt)
		if a == nil || a.Leaving() || a.State() != fleet.Running {
			continue
		}
		m := a.Machine
		confirmed := m.State() == fleet.Live && m.TermConfirmed() && m.FencingToken() == e.numbers.term
		if confirmed && !m.Cordoned() && !m.Draining() {
			ledger.Withdraw(c.TaskKey, c.Attempt)
		}
	}
}

// endCharge notes that an attempt is gone, if anything was charged for it.
func (e *Engine) endCharge(now time.Time, a *fleet.Attempt) {
	if e.drains != nil {
		e.drains.coordinator.Ledger.End(now, taskKey(a), a.Number)
	}
}

// chargeInvoluntary counts an interruption that budgets can't forbid against what they leave.
func (e *Engine) chargeInvoluntary(now time.Time, a *fleet.Attempt) {
	j := e.jobs.get(a.Ref)
	if e.drains == nil || j == nil || j.Over() || !e.cfg.Drain.Limits(j.Team, j.Class) {
		return
	}
	onMachine := a.State() >= fleet.Fetching && a.State() != fleet.Exited
	if a.Unrecorded || a.Stopping() || !onMachine {
		return
	}
	ledger := e.drains.coordinator.Ledger
	for _, o := range e.interruptedWith(j, a) {
		ledger.Charge(now, j.Team, j.Class, taskKey(o), o.Number, drain.Involuntary)
	}
}

// interruptedWith is what is interrupted together with an attempt: all of a gang.
func (e *Engine) interruptedWith(j *pipeline.Job, a *fleet.Attempt) []*fleet.Attempt {
	if isGang(j) {
		return e.usage.attemptsOf(j.Ref)
	}
	return []*fleet.Attempt{a}
}

// mayMoveByChoice reports whether the scheduler may move a task by its own choice, as far as
// disruption budgets go.
func (e *Engine) mayMoveByChoice(now time.Time, a *fleet.Attempt, j *pipeline.Job) bool {
	if e.drains == nil || !e.cfg.Drain.Limits(j.Team, j.Class) {
		return true
	}
	g := newEvictionGroup(now, j, e.interruptedWith(j, a))
	return e.judge(now, g).Kind == drain.Allowed
}

// moveByChoice stops what is on a machine that the scheduler has chosen to empty. What is
// under a budget is charged first (evictOwn).
func (e *Engine) moveByChoice(now time.Time, m *fleet.Machine) {
	for _, a := range m.SortedAttempts() {
		j := e.jobs.get(a.Ref)
		switch {
		case j == nil || a.State() == fleet.Exited:
		case e.drains != nil && e.cfg.Drain.Limits(j.Team, j.Class):
			e.drains.own.begin(now, m)
		default:
			e.stopWithCheckpoint(now, m, a, j)
		}
	}
}

// ownPatience is how long the scheduler tries to empty a machine by its own choice.
const ownPatience = time.Minute

// keepMachine gives up emptying a machine by the scheduler's own choice: budgets don't let what
// is left on it go, and its room is needed.
func (e *Engine) keepMachine(m *fleet.Machine) {
	e.drains.own.end(m)
	e.emptying.remove(m)
	e.revokeEvictions(m.Name)
	m.StopDraining()
	e.capacityChanged(m)
	e.log(LogConsolidationGivenUp, logMachine(m), logActive(m))
}

// evictOwn evicts what is under a budget on machines that the scheduler empties by choice.
func (e *Engine) evictOwn(now time.Time, booking *capacityBooking) {
	for _, m := range e.drains.own.sorted() {
		if m.State() != fleet.Live || m.ActiveAttempts() == 0 {
			e.drains.own.end(m)
			continue
		}
		if e.drains.own.since(now, m) > ownPatience && !m.InterruptionAnnounced() {
			e.keepMachine(m)
			continue
		}
		if !e.mayDisrupt(now) {
			continue
		}
		for _, group := range e.workOn(now, m).groups {
			if e.judge(now, group).Kind == drain.Allowed && booking.book(group, false) {
				e.evict(now, group)
			}
		}
	}
}
