package simulation

import (
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// disruptionBudgets: a voluntary stop, that is one by the service's own choice, respects all
// disruption budgets of its job, and the state service holds a charge for it before the worker is
// told. The invariant doesn't rely on the planner: it counts the stops that reach tasks while
// nothing else asks for their end.
//
// Deliberate faults, in TestDrainChecksSeeFaults: "charges after the stop", "charges kept in memory", "a gang
// charged as one task", "closed windows forgotten", "budgets of tasks forgotten", "budgets of windows forgotten",
// "bounds on unavailable tasks forgotten".
type disruptionBudgets struct {
	w                    *World
	interruptions        []interruption
	interruptionsPerTask map[string]int
	counted              map[string]bool           // attempts whose stop was counted
	unavailable          map[*userJob]map[int]bool // tasks that were stopped voluntarily and don't run again yet
	stopping             map[*task]bool            // stopped voluntarily, and still on their machines
	stopSentAt           map[string]time.Time      // by attempt: last in a response, or first directly
	productionLastLed    time.Time                 // when the version in production was last seen to lead
}

// interruption is a voluntary stop.
type interruption struct {
	at          time.Time
	team, class string
}

// maxCommandDelay is how late direct commands may arrive in these worlds.
const maxCommandDelay = 40 * time.Second

func newDisruptionBudgets(w *World) *disruptionBudgets {
	return &disruptionBudgets{w: w, interruptionsPerTask: map[string]int{}, counted: map[string]bool{},
		unavailable: map[*userJob]map[int]bool{}, stopping: map[*task]bool{}, stopSentAt: map[string]time.Time{}}
}

func (i *disruptionBudgets) observe(o observation) {
	switch o := o.(type) {
	case heartbeatAnswered:
		for _, command := range o.response.Commands {
			if command.Kind == fleet.Stop {
				i.stopSentAt[taskKey(command.Ref, command.Task, command.Attempt)] = i.w.now
			}
		}
	case directCommandsSent:
		for _, command := range o.direct.Commands {
			key := taskKey(command.Ref, command.Task, command.Attempt)
			if command.Kind == fleet.Stop && i.stopSentAt[key].IsZero() {
				i.stopSentAt[key] = i.w.now
			}
		}
	case stopReceived:
		i.checkStop(o.task)
	case taskRunning:
		delete(i.unavailable[o.task.job], o.task.index)
	case taskExited:
		i.checkExit(o.task)
	}
}

// budgetsOf returns the budgets that apply to a job: that of its team, and that of its class within
// the team.
func (i *disruptionBudgets) budgetsOf(j *userJob) map[drain.Scope]drain.Budget {
	budgets := map[drain.Scope]drain.Budget{}
	for _, scope := range []drain.Scope{{Team: j.spec.Team}, {Team: j.spec.Team, Class: j.spec.Class}} {
		if budget, ok := i.w.drains.policy.Budgets[scope]; ok {
			budgets[scope] = budget
		}
	}
	return budgets
}

// checkStop checks a stop that has reached a worker against the budgets, if it is voluntary.
func (i *disruptionBudgets) checkStop(t *task) {
	if i.counted[t.key()] || t.job.done[t.index] || !i.w.checker.ledger.stoppedVoluntarily(t) ||
		i.gangIncomplete(t) || i.gangEndsAnyway(t) || i.productionLedRecently() {
		return
	}
	budgets := i.budgetsOf(t.job)
	if len(budgets) == 0 {
		return
	}
	i.counted[t.key()] = true
	i.interruptionsPerTask[taskName(t)]++
	i.interruptions = append(i.interruptions, interruption{i.w.now, t.job.spec.Team, t.job.spec.Class})
	i.w.drains.count("interruptions by choice")
	if isGang(t.job) {
		i.w.drains.count("interruptions of gangs")
	}
	i.stopping[t] = true
	if i.unavailable[t.job] == nil {
		i.unavailable[t.job] = map[int]bool{}
	}
	i.unavailable[t.job][t.index] = true
	i.checkCharged(t)
	for scope, budget := range budgets {
		i.checkBudget(t, scope, budget)
	}
}

// gangIncomplete reports whether the stop of a gang's task follows from the gang being incomplete:
// another of its tasks was stopped voluntarily, has exited, or hasn't started yet.
func (i *disruptionBudgets) gangIncomplete(t *task) bool {
	if !isGang(t.job) {
		return false
	}
	for index := range t.job.spec.Tasks {
		if i.counted[taskKey(t.job.spec.Ref, index, t.attempt)] {
			return false // another of its tasks was stopped voluntarily
		}
	}
	return len(t.job.mates(t.attempt)) < t.job.spec.Tasks
}

// gangEndsAnyway reports whether the gang has to stop in any case, because something other than the
// service's choice asks for the end of one of its tasks.
func (i *disruptionBudgets) gangEndsAnyway(t *task) bool {
	if !isGang(t.job) {
		return false
	}
	ledger := i.w.checker.ledger
	for index := range t.job.spec.Tasks {
		if ledger.preemptedAttempts[taskKey(t.job.spec.Ref, index, t.attempt)] {
			return true
		}
	}
	for _, o := range t.job.mates(t.attempt) {
		if !ledger.stoppedVoluntarily(o) {
			return true
		}
	}
	return false
}

// checkExit checks that a task that was stopped voluntarily has exited before the next closed
// window of its budgets. Stops that may be carried out late are exempt: those of gangs, which are
// direct commands, and those on a machine that was hung when the stop was sent. So are tasks of a
// job that is being cancelled, and tasks that exit without a checkpoint.
func (i *disruptionBudgets) checkExit(t *task) {
	if !i.stopping[t] {
		return
	}
	delete(i.stopping, t)
	if t.job.cancelRequested || !t.checkpointed || isGang(t.job) || t.m.hungUntil.After(i.stopSentAt[t.key()]) {
		return
	}
	for scope, budget := range i.budgetsOf(t.job) {
		if closedAt(budget, i.w.now) {
			i.w.checker.fail("closed: %s is still on %s in a closed window of %s", taskName(t), t.m.name, scope)
		}
	}
}

// checkCharged checks that the state service holds a charge for the stop of a task.
func (i *disruptionBudgets) checkCharged(t *task) {
	for key, it := range i.w.store.items {
		if !strings.HasPrefix(key, chargePrefix) {
			continue
		}
		var page drain.ChargePage
		if codec.Unmarshal(it.value, &page) != nil {
			i.w.checker.fail("%s can't be decoded", key)
			return
		}
		if hasCharge(page, t) {
			return
		}
	}
	i.w.checker.fail("uncharged: %s is stopped voluntarily on %s, and no charge is stored", taskName(t), t.m.name)
}

// hasCharge reports whether a page of charges has one for an attempt.
func hasCharge(page drain.ChargePage, t *task) bool {
	for _, job := range page.Jobs {
		for _, entry := range job.Entries {
			if job.Job == t.job.spec.Ref && entry.Task == t.index && entry.Attempt == t.attempt {
				return true
			}
		}
	}
	return false
}

// checkBudget checks a stop against one budget.
func (i *disruptionBudgets) checkBudget(t *task, scope drain.Scope, b drain.Budget) {
	fail := i.w.checker.fail
	if n := i.interruptionsPerTask[taskName(t)]; b.TaskInterruptions != drain.Unlimited && n > b.TaskInterruptions {
		fail("task budget: %s is interrupted %d times, now on %s, %d allowed", taskName(t), n, t.m.name, b.TaskInterruptions)
	}
	if n := i.countWithin(scope, b.Window); b.WindowInterruptions != drain.Unlimited && n > b.WindowInterruptions {
		fail("window budget: %s is interruption %d of %s within %s, %d allowed",
			taskName(t), n, scope, b.Window, b.WindowInterruptions)
	}
	if n := len(i.unavailable[t.job]); b.MaxUnavailable != drain.Unlimited && n > b.MaxUnavailable {
		fail("unavailable: with %s, %d tasks are voluntarily unavailable, %d allowed", taskName(t), n, b.MaxUnavailable)
	}
	at := i.w.now
	if sent := i.stopSentAt[t.key()]; isGang(t.job) || t.m.hungUntil.After(sent) {
		at = sent // direct commands may be late, and a hung machine acts when it resumes
	}
	if closedAt(b, at) {
		fail("closed: %s is stopped on %s in a closed window of %s", taskName(t), t.m.name, scope)
	}
}

// countWithin counts the interruptions of a scope in the window that ends now.
func (i *disruptionBudgets) countWithin(scope drain.Scope, window time.Duration) int {
	n := 0
	for _, past := range i.interruptions {
		inScope := past.team == scope.Team && (scope.Class == "" || past.class == scope.Class)
		if inScope && i.w.now.Sub(past.at) < window {
			n++
		}
	}
	return n
}

// productionLedRecently reports whether the version in production, which doesn't know budgets,
// leads or led so recently that its commands may still arrive.
func (i *disruptionBudgets) productionLedRecently() bool {
	for _, n := range i.w.nodes {
		if n.runsProduction && n.engine != nil {
			i.productionLastLed = i.w.now
		}
	}
	return !i.productionLastLed.IsZero() && i.w.now.Sub(i.productionLastLed) < maxCommandDelay
}

// isGang reports whether a job's tasks are stopped together, by direct commands.
func isGang(j *userJob) bool { return j.spec.Shape == pipeline.Gang && j.spec.Tasks > 1 }

// closedAt reports whether a moment of simulated time, in UTC, is in a closed window of a budget.
func closedAt(b drain.Budget, moment time.Time) bool {
	at := moment.UTC()
	sinceMidnight := at.Sub(time.Date(at.Year(), at.Month(), at.Day(), 0, 0, 0, 0, time.UTC))
	for _, window := range b.Closed {
		if sinceMidnight >= window.From && sinceMidnight < window.To {
			return true
		}
	}
	return false
}
