package core

import (
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

const (
	// responseMaxAge is how long after sending a heartbeat a worker accepts the response to it
	// (PROTOCOL).
	responseMaxAge = 4 * time.Second
	// evictionSlack is the time that a stop takes besides its delivery to the worker and the
	// checkpoint.
	evictionSlack = 2 * time.Second
	// directCommandTimeout is how long a direct command may take. Evictions use direct commands only
	// for gangs of several tasks, which have to be stopped together; all other tasks are evicted
	// with the response to a heartbeat.
	directCommandTimeout = 10 * time.Second
)

// machineWork is the work on a machine that is to be emptied.
type machineWork struct {
	groups       []*evictionGroup
	gangStarting bool // a gang is being started, and not all its tasks have been reported yet
}

// evictionGroup is what is evicted together: one task, or all tasks of a gang.
type evictionGroup struct {
	job       *pipeline.Job
	attempts  []*fleet.Attempt
	candidate drain.Candidate
	verdict   drain.Verdict
}

// workOn returns the work on a machine that can be evicted. It leaves out attempts that are leaving
// or haven't been reported yet, with the rest of their gangs, and attempts of jobs that aren't
// known or are over.
func (e *Engine) workOn(now time.Time, m *fleet.Machine) *machineWork {
	work := &machineWork{}
	seen := map[string]bool{}
	for _, a := range m.SortedAttempts() {
		j := e.jobs.get(a.Ref)
		if a.Leaving() || j == nil || j.Over() || a.Unwanted {
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

// taskKey returns the key of an attempt's task in the ledger of charges.
func taskKey(a *fleet.Attempt) drain.TaskKey { return drain.TaskKey{Job: a.Ref, Task: a.Task} }

// isGang reports whether a job is a gang of several tasks, which are stopped together.
func isGang(j *pipeline.Job) bool { return j.Shape == pipeline.Gang && len(j.Tasks) > 1 }

// allObserved reports whether all attempts have been reported by their machines.
func allObserved(attempts []*fleet.Attempt) bool {
	for _, a := range attempts {
		if a.State() < fleet.Fetching {
			return false
		}
	}
	return true
}

// anyLeaving reports whether any of the attempts is leaving its machine.
func anyLeaving(attempts []*fleet.Attempt) bool {
	for _, a := range attempts {
		if a.Leaving() {
			return true
		}
	}
	return false
}

// newEvictionGroup makes a group of attempts that would be interrupted together, and describes them
// as a candidate for the drain policy.
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

// evictionTime returns how long after the decision the last task of a group of the job is gone, at
// the latest.
func evictionTime(j *pipeline.Job) time.Duration {
	takes := responseMaxAge + evictionSlack
	if j.CheckpointInterval > 0 {
		takes += j.CheckpointTime
	}
	if isGang(j) {
		takes += directCommandTimeout
	}
	return takes
}

// tasksDown counts the tasks of a job that are down; the given attempts count as up. Of a service
// these are the replicas that don't run, of other jobs the tasks that were interrupted and don't run
// again yet. The latter are counted only if a budget limits them.
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

// replicasDown counts the replicas of a service that don't run or are leaving; the given attempts
// count as up.
func (e *Engine) replicasDown(j *pipeline.Job, except []*fleet.Attempt) int {
	up := map[int]bool{}
	for a := range e.usage.ofJob(j.Ref).attempts {
		if e.isUp(a) || slices.Contains(except, a) {
			up[a.Task] = true
		}
	}
	return len(j.Tasks) - len(up)
}

// taskUp reports whether a task runs and isn't about to be interrupted; the given attempts count as
// up.
func (e *Engine) taskUp(j *pipeline.Job, task int, except []*fleet.Attempt) bool {
	m := e.machines.get(j.Tasks[task].Machine)
	if m == nil {
		return false
	}
	a := m.Attempt(fleet.TaskID{Ref: j.Ref, Task: task})
	return a != nil && (e.isUp(a) || slices.Contains(except, a))
}

// isUp reports whether an attempt runs and isn't about to be interrupted.
func (e *Engine) isUp(a *fleet.Attempt) bool {
	return a.State() == fleet.Running && !a.Leaving() && !e.charged(a)
}

// charged reports whether an attempt has an open charge, so that its interruption may be under way.
func (e *Engine) charged(a *fleet.Attempt) bool {
	c := e.drains.coordinator.Ledger.Find(taskKey(a), a.Number)
	return c != nil && c.Open()
}

// judge returns the drain policy's verdict on a group as things are now: tasks that were evicted a
// moment ago count as down.
func (e *Engine) judge(now time.Time, g *evictionGroup) drain.Verdict {
	g.candidate.Down = e.tasksDown(g.job, g.attempts)
	return e.cfg.Drain.Judge(now, e.drains.coordinator.Ledger, &g.candidate)
}

// evictAllowed evicts the groups that may leave a machine. It returns what holds evictions up
// besides the policy: a lack of room, or charges that aren't stored yet.
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
			return e.ensureReplacement(now, dm)
		}
		e.drains.coordinator.Move(dm, drain.Emptying)
		if !e.evict(now, group) {
			blocked = drain.Verdict{Kind: drain.NotYet, Cause: drain.CauseNotStored}
		}
	}
	return blocked
}

// evict charges a group's interruption and, once the state service holds all its charges, has the
// group leave its machines. It returns false until then.
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

// sendEviction sends an approved eviction with a heartbeat's response if the task would still be
// gone before the next closed window. Otherwise it withdraws the approval, and the eviction is
// judged again.
func (e *Engine) sendEviction(now time.Time, m *fleet.Machine, a *fleet.Attempt) bool {
	j := e.jobs.get(a.Ref)
	if j == nil || !e.cfg.Drain.OutsideClosedWindows(now, j.Team, j.Class, evictionTime(j)) {
		a.WithdrawEviction()
		return false
	}
	a.SendEviction(now, j.CheckpointTime+time.Second)
	e.capacityChanged(m)
	e.log(LogTaskEvicted, logAttempt(a)...)
	return true
}

// revokeEvictions withdraws the evictions from a machine that haven't been sent.
func (e *Engine) revokeEvictions(machine string) {
	m := e.machines.get(machine)
	if m == nil {
		return
	}
	for a := range m.Attempts() {
		a.WithdrawEviction()
	}
}

// chargeCheckInterval is the least time between two searches for charges that won't be used.
const chargeCheckInterval = 10 * time.Second

// withdrawUnusedCharges withdraws the charges of attempts that keep running on machines that aren't
// drained any more. Those machines have sent heartbeats under this term, so they obey no stop from
// an earlier leader, and this leader hasn't sent one (TestUnspentChargeIsVoid).
func (e *Engine) withdrawUnusedCharges(now time.Time) {
	d := e.drains
	if now.Sub(d.chargesCheckedAt) < chargeCheckInterval {
		return
	}
	d.chargesCheckedAt = now
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

// endCharge records that an attempt is gone, which ends its charge if it has one.
func (e *Engine) endCharge(now time.Time, a *fleet.Attempt) {
	if e.drains != nil {
		e.drains.coordinator.Ledger.AttemptGone(now, taskKey(a), a.Number)
	}
}

// chargeInvoluntary charges an interruption that budgets can't forbid, so that it counts against
// what they still allow.
func (e *Engine) chargeInvoluntary(now time.Time, a *fleet.Attempt) {
	j := e.jobs.get(a.Ref)
	if e.drains == nil || j == nil || j.Over() || !e.cfg.Drain.HasBudget(j.Team, j.Class) {
		return
	}
	onMachine := a.State() >= fleet.Fetching && a.State() != fleet.Exited
	if a.Unwanted || a.Stopping() || !onMachine {
		return
	}
	ledger := e.drains.coordinator.Ledger
	for _, o := range e.interruptedWith(j, a) {
		ledger.Charge(now, j.Team, j.Class, taskKey(o), o.Number, drain.Involuntary)
	}
}

// interruptedWith returns the attempts that are interrupted together with an attempt: all of its
// gang, or only itself.
func (e *Engine) interruptedWith(j *pipeline.Job, a *fleet.Attempt) []*fleet.Attempt {
	if isGang(j) {
		return e.usage.attemptsOf(j.Ref)
	}
	return []*fleet.Attempt{a}
}

// budgetsAllowMove reports whether disruption budgets allow consolidation to move an attempt.
func (e *Engine) budgetsAllowMove(now time.Time, a *fleet.Attempt, j *pipeline.Job) bool {
	if e.drains == nil || !e.cfg.Drain.HasBudget(j.Team, j.Class) {
		return true
	}
	g := newEvictionGroup(now, j, e.interruptedWith(j, a))
	return e.judge(now, g).Kind == drain.Allowed
}

// stopForConsolidation stops the tasks on a machine that consolidation empties. Those under a
// disruption budget are left to evictForConsolidation, which charges their interruption first.
func (e *Engine) stopForConsolidation(now time.Time, m *fleet.Machine) {
	for _, a := range m.SortedAttempts() {
		j := e.jobs.get(a.Ref)
		switch {
		case j == nil || a.State() == fleet.Exited:
		case e.drains != nil && e.cfg.Drain.HasBudget(j.Team, j.Class):
			e.drains.consolidating.begin(now, m)
		default:
			e.stopWithCheckpoint(now, m, a, j)
		}
	}
}

// consolidationTimeout is how long consolidation tries to evict tasks under budgets from a machine.
const consolidationTimeout = time.Minute

// abortConsolidation gives up emptying a machine for consolidation, since budgets don't let the
// remaining tasks go. The machine takes tasks again.
func (e *Engine) abortConsolidation(m *fleet.Machine) {
	e.drains.consolidating.end(m)
	e.emptying.remove(m)
	e.revokeEvictions(m.Name)
	m.StopDraining()
	e.capacityChanged(m)
	e.log(LogConsolidationGivenUp, logMachine(m), logActive(m))
}

// evictForConsolidation evicts tasks under disruption budgets from the machines that consolidation
// empties.
func (e *Engine) evictForConsolidation(now time.Time, booking *capacityBooking) {
	for _, m := range e.drains.consolidating.sorted() {
		if m.State() != fleet.Live || m.ActiveAttempts() == 0 {
			e.drains.consolidating.end(m)
			continue
		}
		if e.drains.consolidating.elapsed(now, m) > consolidationTimeout && !m.InterruptionAnnounced() {
			e.abortConsolidation(m)
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
