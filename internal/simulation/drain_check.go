package simulation

import (
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/statestore"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// Keys of what leaders store of drains.
const (
	cordonPrefix = "drain/cordon/"
	chargePrefix = "drain/charge/"
)

// drainCheck holds the disruption budgets against what workers do. It knows nothing of the
// planner: it counts the stops that reach tasks by nothing but the service's choice.
type drainCheck struct {
	d             *drainOperators
	interruptions []interruption
	perTask       map[string]int
	counted       map[string]bool           // attempts
	down          map[*userJob]map[int]bool // tasks stopped by choice that don't run again
	leaving       map[*task]bool            // stopped by choice, still on their machines
	cordoned      map[string]time.Time      // machines, and since when the store says so
	pages         map[string][]string       // machines on each stored page
	sent          map[string]time.Time      // when a stop of an attempt was sent
	released      map[string]bool           // machines
	oldLed        time.Time                 // when the version in production was last seen to lead
}

// interruption is a stop by choice.
type interruption struct {
	at          time.Time
	team, class string
}

func newDrainCheck(d *drainOperators) *drainCheck {
	return &drainCheck{d: d, perTask: map[string]int{}, counted: map[string]bool{}, down: map[*userJob]map[int]bool{},
		leaving: map[*task]bool{}, cordoned: map[string]time.Time{}, sent: map[string]time.Time{}, released: map[string]bool{}, pages: map[string][]string{}}
}

// applying are the budgets that apply to a job.
func (c *drainCheck) applying(j *userJob) map[drain.Scope]drain.Budget {
	out := map[drain.Scope]drain.Budget{}
	for _, scope := range []drain.Scope{{Team: j.spec.Team}, {Team: j.spec.Team, Class: j.spec.Class}} {
		if b, ok := c.d.policy.Budgets[scope]; ok {
			out[scope] = b
		}
	}
	return out
}

// toldToStop checks a stop that has reached a worker.
func (w *World) drainToldToStop(t *task) {
	if w.drains == nil {
		return
	}
	c := w.drains.check
	key := taskKey(t.job.spec.Ref, t.index, t.attempt)
	if c.counted[key] || t.job.done[t.index] || !w.checker.byChoice(t) || c.gangBroken(t) || c.gangExcused(t) || c.productionLed() {
		return
	}
	budgets := c.applying(t.job)
	if len(budgets) == 0 {
		return
	}
	c.counted[key] = true
	c.perTask[taskName(t)]++
	c.interruptions = append(c.interruptions, interruption{w.now, t.job.spec.Team, t.job.spec.Class})
	c.d.count("interruptions by choice")
	if isGang(t.job) {
		c.d.count("interruptions of gangs")
	}
	c.leaving[t] = true
	c.goesDown(t)
	c.charged(t)
	for scope, b := range budgets {
		c.withinBudget(t, scope, b)
	}
}

// gangBroken tells whether a gang's task has lost another, or hasn't got it yet: what is left
// of it has to stop.
func (c *drainCheck) gangBroken(t *task) bool {
	if !isGang(t.job) {
		return false
	}
	for i := range t.job.spec.Tasks {
		if c.counted[taskKey(t.job.spec.Ref, i, t.attempt)] {
			return false // another of its tasks was stopped by choice
		}
	}
	return len(t.job.mates(t.attempt)) < t.job.spec.Tasks
}

// gangExcused tells whether something else than the service's choice asks for the end of
// another task of a gang: all of it stops.
func (c *drainCheck) gangExcused(t *task) bool {
	if !isGang(t.job) {
		return false
	}
	for i := range t.job.spec.Tasks {
		if c.d.w.checker.preemptedAttempts[taskKey(t.job.spec.Ref, i, t.attempt)] {
			return true
		}
	}
	for _, o := range t.job.mates(t.attempt) {
		if !c.d.w.checker.byChoice(o) {
			return true
		}
	}
	return false
}

func (c *drainCheck) goesDown(t *task) {
	if c.down[t.job] == nil {
		c.down[t.job] = map[int]bool{}
	}
	c.down[t.job][t.index] = true
}

// runsAgain counts that a task runs.
func (w *World) drainRuns(t *task) {
	if w.drains != nil {
		delete(w.drains.check.down[t.job], t.index)
	}
}

// drainLeft checks that a task which was stopped by choice has left before its team's work
// must not move any more.
func (w *World) drainLeft(t *task) {
	if w.drains == nil || !w.drains.check.leaving[t] {
		return
	}
	c := w.drains.check
	delete(c.leaving, t)
	if t.job.cancelRequested || !t.checkpointed || isGang(t.job) || t.m.hungUntil.After(c.sent[taskKey(t.job.spec.Ref, t.index, t.attempt)]) {
		return
	}
	for scope, b := range c.applying(t.job) {
		if closedAt(b, w.now) {
			w.checker.fail("closed: %s is still saving on %s in a closed window of %s", taskName(t), t.m.name, scope)
		}
	}
}

// charged checks that the state service holds a charge for a stop.
func (c *drainCheck) charged(t *task) {
	for key, it := range c.d.w.store.items {
		if !strings.HasPrefix(key, chargePrefix) {
			continue
		}
		var record drain.ChargePage
		if codec.Unmarshal(it.value, &record) != nil {
			c.d.w.checker.fail("%s can't be read", key)
			return
		}
		for _, job := range record.Jobs {
			for _, e := range job.Entries {
				if job.Job == t.job.spec.Ref && e.Task == t.index && e.Attempt == t.attempt {
					return
				}
			}
		}
	}
	c.d.w.checker.fail("uncharged: %s is stopped on %s by choice, and no charge is stored", taskName(t), t.m.name)
}

// withinBudget holds one budget against a stop.
func (c *drainCheck) withinBudget(t *task, scope drain.Scope, b drain.Budget) {
	w := c.d.w
	if b.TaskInterruptions != drain.Unlimited && c.perTask[taskName(t)] > b.TaskInterruptions {
		w.checker.fail("task budget: %s is stopped for the %d. time on %s, %d allowed", taskName(t), c.perTask[taskName(t)], t.m.name, b.TaskInterruptions)
	}
	if n := c.within(scope, b.Window); b.WindowInterruptions != drain.Unlimited && n > b.WindowInterruptions {
		w.checker.fail("window budget: %s is number %d of %s within %s, %d allowed", taskName(t), n, scope, b.Window, b.WindowInterruptions)
	}
	if n := len(c.down[t.job]); b.MaxUnavailable != drain.Unlimited && n > b.MaxUnavailable {
		w.checker.fail("unavailable: with %s, %d tasks are down by choice, %d allowed", taskName(t), n, b.MaxUnavailable)
	}
	at := w.now
	if sent := c.sent[taskKey(t.job.spec.Ref, t.index, t.attempt)]; isGang(t.job) || t.m.hungUntil.After(sent) {
		at = sent // direct commands may be late, and a machine that hung acts when it goes on
	}
	if closedAt(b, at) {
		w.checker.fail("closed: %s is stopped on %s in a closed window of %s", taskName(t), t.m.name, scope)
	}
}

// within counts the interruptions of a scope in the last so much time.
func (c *drainCheck) within(scope drain.Scope, window time.Duration) int {
	n := 0
	for _, i := range c.interruptions {
		if i.team == scope.Team && (scope.Class == "" || i.class == scope.Class) && c.d.w.now.Sub(i.at) < window {
			n++
		}
	}
	return n
}

// isGang tells whether a job's tasks are stopped together, by direct commands.
func isGang(j *userJob) bool { return j.spec.Shape == pipeline.Gang && j.spec.Tasks > 1 }

// drainCommandSent counts when a direct command was sent.
func (w *World) drainCommandSent(d core.Direct) {
	if w.drains == nil {
		return
	}
	for _, c := range d.Commands {
		key := taskKey(c.Ref, c.Task, c.Attempt)
		if c.Kind == fleet.Stop && w.drains.check.sent[key].IsZero() {
			w.drains.check.sent[key] = w.now
		}
	}
}

// productionLed tells whether the version in production, which knows of no budgets, led until
// so shortly before that its commands may still arrive.
func (c *drainCheck) productionLed() bool {
	for _, n := range c.d.w.nodes {
		if n.runsProduction && n.engine != nil {
			c.oldLed = c.d.w.now
		}
	}
	return !c.oldLed.IsZero() && c.d.w.now.Sub(c.oldLed) < lateCommands
}

// lateCommands is how late direct commands may arrive in these worlds.
const lateCommands = 40 * time.Second

// closedAt tells whether a true time is in a closed window.
func closedAt(b drain.Budget, moment time.Time) bool {
	now := moment.UTC()
	at := time.Duration(now.Hour())*time.Hour + time.Duration(now.Minute())*time.Minute + time.Duration(now.Second())*time.Second + time.Duration(now.Nanosecond())
	for _, w := range b.Closed {
		if at >= w.From && at < w.To {
			return true
		}
	}
	return false
}

// stored follows which machines the state service holds as cordoned.
func (c *drainCheck) stored(changes []statestore.Op) {
	for _, change := range changes {
		page := change.Key
		var record drain.MachinePage
		if !change.Delete && strings.HasPrefix(page, cordonPrefix) {
			if codec.Unmarshal(change.Value, &record) != nil {
				c.d.w.checker.fail("%s can't be read", page)
			}
		}
		if !strings.HasPrefix(page, cordonPrefix) {
			continue
		}
		before := c.pages[page]
		c.pages[page] = nil
		for _, m := range record.Machines {
			c.pages[page] = append(c.pages[page], m.Name)
			if c.cordoned[m.Name].IsZero() {
				c.cordoned[m.Name] = c.d.w.now
				c.d.count("machines cordoned")
			}
			if m.State == drain.Released && !c.released[m.Name] {
				c.released[m.Name] = true
				c.d.count("machines released")
			}
		}
		for _, name := range before {
			if !c.onAnyPage(name) {
				delete(c.cordoned, name)
			}
		}
	}
}

func (c *drainCheck) onAnyPage(name string) bool {
	for _, names := range c.pages {
		for _, n := range names {
			if n == name {
				return true
			}
		}
	}
	return false
}

// drainCordoned tells whether operators have a machine drained.
func (w *World) drainCordoned(m *machine) bool {
	return w.drains != nil && !w.drains.check.cordoned[m.name].IsZero()
}

// drainAnswered checks an answer to a report as it leaves: it starts nothing on a machine that
// the state service holds as cordoned. The version in production doesn't know of cordons. What
// a machine that hung makes of the answer when it goes on was sent in time.
func (w *World) drainAnswered(machine string, reply core.HeartbeatResponse) {
	if w.drains == nil {
		return
	}
	c := w.drains.check
	for _, command := range reply.Commands {
		key := taskKey(command.Ref, command.Task, command.Attempt)
		if command.Kind == fleet.Stop {
			c.sent[key] = w.now
		}
		if since := c.cordoned[machine]; command.Kind == fleet.Start && !since.IsZero() && !w.options.RollingUpgrade {
			w.checker.fail("cordoned: %s is started on %s, which has been cordoned for %s", key, machine, w.now.Sub(since))
		}
	}
}
