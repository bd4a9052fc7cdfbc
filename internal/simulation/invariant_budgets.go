package simulation

import (
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// disruptionBudgets: a stop by the service's own choice keeps to all disruption budgets of its job, and the state
// service holds a charge for it before the worker is told. The invariant knows nothing of the planner: it counts
// the stops that reach tasks while nothing else asks for their end.
//
// Deliberate faults, in TestDrainChecksSeeFaults: "charges after the stop", "charges kept in memory", "a gang
// charged as one task", "closed windows forgotten", "budgets of tasks forgotten", "budgets of windows forgotten",
// "bounds on unavailable tasks forgotten".
type disruptionBudgets struct {
	w             *World
	interruptions []interruption
	perTask       map[string]int
	counted       map[string]bool           // attempts
	unavailable   map[*userJob]map[int]bool // tasks that were stopped by choice and don't run again yet
	leaving       map[*task]bool            // stopped by choice, and still on their machines
	stopSentAt    map[string]time.Time      // by attempt
	productionLed time.Time                 // when the version in production was last seen to lead
}

// interruption is a stop by choice.
type interruption struct {
	at          time.Time
	team, class string
}

// lateCommands is how late direct commands may arrive in these worlds.
const lateCommands = 40 * time.Second

func newDisruptionBudgets(w *World) *disruptionBudgets {
	return &disruptionBudgets{w: w, perTask: map[string]int{}, counted: map[string]bool{},
		unavailable: map[*userJob]map[int]bool{}, leaving: map[*task]bool{}, stopSentAt: map[string]time.Time{}}
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

// budgetsOf are the budgets that apply to a job.
func (i *disruptionBudgets) budgetsOf(j *userJob) map[drain.Scope]drain.Budget {
	budgets := map[drain.Scope]drain.Budget{}
	for _, scope := range []drain.Scope{{Team: j.spec.Team}, {Team: j.spec.Team, Class: j.spec.Class}} {
		if budget, ok := i.w.drains.policy.Budgets[scope]; ok {
			budgets[scope] = budget
		}
	}
	return budgets
}

// checkStop checks a stop that has reached a worker.
func (i *disruptionBudgets) checkStop(t *task) {
	if i.counted[t.key()] || t.job.done[t.index] || !i.w.checker.ledger.stoppedByChoice(t) ||
		i.gangIncomplete(t) || i.gangEndsAnyway(t) || i.productionLedRecently() {
		return
	}
	budgets := i.budgetsOf(t.job)
	if len(budgets) == 0 {
		return
	}
	i.counted[t.key()] = true
	i.perTask[taskName(t)]++
	i.interruptions = append(i.interruptions, interruption{i.w.now, t.job.spec.Team, t.job.spec.Class})
	i.w.drains.count("interruptions by choice")
	if isGang(t.job) {
		i.w.drains.count("interruptions of gangs")
	}
	i.leaving[t] = true
	if i.unavailable[t.job] == nil {
		i.unavailable[t.job] = map[int]bool{}
	}
	i.unavailable[t.job][t.index] = true
	i.checkCharged(t)
	for scope, budget := range budgets {
		i.checkBudget(t, scope, budget)
	}
}

// gangIncomplete tells whether a gang's task has lost another, or hasn't got it yet: what is left of the gang has
// to stop.
func (i *disruptionBudgets) gangIncomplete(t *task) bool {
	if !isGang(t.job) {
		return false
	}
	for index := range t.job.spec.Tasks {
		if i.counted[taskKey(t.job.spec.Ref, index, t.attempt)] {
			return false // another of its tasks was stopped by choice
		}
	}
	return len(t.job.mates(t.attempt)) < t.job.spec.Tasks
}

// gangEndsAnyway tells whether something else than the service's choice asks for the end of another task of a
// gang, so that all of it stops.
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
		if !ledger.stoppedByChoice(o) {
			return true
		}
	}
	return false
}

// checkExit checks that a task that was stopped by choice has left before its team's work must not move any
// more. Stops that may be carried out late are excepted: those of gangs, which are direct commands, and those on
// a machine that hung when the stop was sent.
func (i *disruptionBudgets) checkExit(t *task) {
	if !i.leaving[t] {
		return
	}
	delete(i.leaving, t)
	if t.job.cancelRequested || !t.checkpointed || isGang(t.job) || t.m.hungUntil.After(i.stopSentAt[t.key()]) {
		return
	}
	for scope, budget := range i.budgetsOf(t.job) {
		if closedAt(budget, i.w.now) {
			i.w.checker.fail("closed: %s is still saving on %s in a closed window of %s", taskName(t), t.m.name, scope)
		}
	}
}

// checkCharged checks that the state service holds a charge for a stop.
func (i *disruptionBudgets) checkCharged(t *task) {
	for key, it := range i.w.store.items {
		if !strings.HasPrefix(key, chargePrefix) {
			continue
		}
		var page drain.ChargePage
		if codec.Unmarshal(it.value, &page) != nil {
			i.w.checker.fail("%s can't be read", key)
			return
		}
		if hasCharge(page, t) {
			return
		}
	}
	i.w.checker.fail("uncharged: %s is stopped on %s by choice, and no charge is stored", taskName(t), t.m.name)
}

// hasCharge tells whether a page of charges names an attempt.
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

// checkBudget holds one budget against a stop.
func (i *disruptionBudgets) checkBudget(t *task, scope drain.Scope, b drain.Budget) {
	fail := i.w.checker.fail
	if n := i.perTask[taskName(t)]; b.TaskInterruptions != drain.Unlimited && n > b.TaskInterruptions {
		fail("task budget: %s is stopped for the %d. time on %s, %d allowed", taskName(t), n, t.m.name, b.TaskInterruptions)
	}
	if n := i.countWithin(scope, b.Window); b.WindowInterruptions != drain.Unlimited && n > b.WindowInterruptions {
		fail("window budget: %s is number %d of %s within %s, %d allowed",
			taskName(t), n, scope, b.Window, b.WindowInterruptions)
	}
	if n := len(i.unavailable[t.job]); b.MaxUnavailable != drain.Unlimited && n > b.MaxUnavailable {
		fail("unavailable: with %s, %d tasks are down by choice, %d allowed", taskName(t), n, b.MaxUnavailable)
	}
	at := i.w.now
	if sent := i.stopSentAt[t.key()]; isGang(t.job) || t.m.hungUntil.After(sent) {
		at = sent // direct commands may be late, and a machine that hung acts when it goes on
	}
	if closedAt(b, at) {
		fail("closed: %s is stopped on %s in a closed window of %s", taskName(t), t.m.name, scope)
	}
}

// countWithin counts the interruptions of a scope in the last so much time.
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

// productionLedRecently tells whether the version in production, which knows of no budgets, led until so shortly
// before that its commands may still arrive.
func (i *disruptionBudgets) productionLedRecently() bool {
	for _, n := range i.w.nodes {
		if n.runsProduction && n.engine != nil {
			i.productionLed = i.w.now
		}
	}
	return !i.productionLed.IsZero() && i.w.now.Sub(i.productionLed) < lateCommands
}

// isGang tells whether a job's tasks are stopped together, by direct commands.
func isGang(j *userJob) bool { return j.spec.Shape == pipeline.Gang && j.spec.Tasks > 1 }

// closedAt tells whether a moment, by true time, is in a closed window.
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
