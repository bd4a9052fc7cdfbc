package drain

import (
	"slices"
	"strings"
	"time"
)

// Unlimited is the value of a limit that isn't set.
const Unlimited = -1

// Budget is the voluntary disruption that a team, or a class of a team's jobs, tolerates. A task
// may be evicted only if all budgets that apply to it allow that.
type Budget struct {
	// TaskInterruptions limits the interruptions of one task over its life, or is Unlimited.
	TaskInterruptions int
	// WindowInterruptions limits the interruptions of all tasks in scope within any period of
	// length Window, or is Unlimited.
	WindowInterruptions int
	Window              time.Duration
	// MaxUnavailable limits how many tasks of one job may be down at a time, or is Unlimited.
	MaxUnavailable int
	// Closed holds the times of day during which nothing in scope may be evicted.
	Closed []ClosedWindow
	// FinishWait is how long tasks without checkpoints are left to finish by themselves before
	// they are evicted; 0 means that this budget sets no wait.
	FinishWait time.Duration
}

// NewBudget returns a budget that limits nothing.
func NewBudget() Budget {
	return Budget{TaskInterruptions: Unlimited, WindowInterruptions: Unlimited, MaxUnavailable: Unlimited}
}

// Scope names what a budget applies to.
type Scope struct {
	Team  string `json:"team"`
	Class string `json:"class,omitempty"` // empty: all of the team's jobs
}

// String returns the scope as operators write it.
func (s Scope) String() string {
	if s.Class == "" {
		return s.Team
	}
	return s.Team + "/" + s.Class
}

// Compare orders scopes by the text that String returns.
func (s Scope) Compare(o Scope) int { return strings.Compare(s.String(), o.String()) }

// Policy holds the budgets of all scopes and the settings that aren't specific to a scope.
type Policy struct {
	Budgets map[Scope]Budget
	// FinishWait is the wait for tasks to which no budget with a FinishWait of its own applies.
	FinishWait time.Duration
	// Skew is the largest error of a controller's clock.
	Skew time.Duration
}

// scopedBudget is a budget together with its scope.
type scopedBudget struct {
	scope  Scope
	budget Budget
}

// budgetsFor returns the budgets that apply to jobs of a team and class, that of the whole team
// first. A job without a class is only in the team's scope, whose budget is returned once.
func (p *Policy) budgetsFor(team, class string) []scopedBudget {
	var out []scopedBudget
	for _, scope := range []Scope{{Team: team}, {Team: team, Class: class}} {
		budget, set := p.Budgets[scope]
		if set && !slices.ContainsFunc(out, func(o scopedBudget) bool { return o.scope == scope }) {
			out = append(out, scopedBudget{scope, budget})
		}
	}
	return out
}

// HasBudget reports whether any budget applies to jobs of a team and class.
func (p *Policy) HasBudget(team, class string) bool { return len(p.budgetsFor(team, class)) > 0 }

// LimitsUnavailable reports whether any budget that applies to jobs of a team and class limits how
// many tasks of a job may be down at a time.
func (p *Policy) LimitsUnavailable(team, class string) bool {
	for _, b := range p.budgetsFor(team, class) {
		if b.budget.MaxUnavailable != Unlimited {
			return true
		}
	}
	return false
}

// longestWindow returns the longest window of all budgets. An interruption that ended longer ago
// than that, plus clockMargin, counts in no window.
func (p *Policy) longestWindow() time.Duration {
	longest := time.Duration(0)
	for _, b := range p.Budgets {
		longest = max(longest, b.Window)
	}
	return longest
}

// clockMargin returns how much longer than the window's length an interruption counts. The clocks of
// the leader that recorded it and of the leader that counts it may be off in opposite directions.
func (p *Policy) clockMargin() time.Duration { return 2 * p.Skew }

// finishWait returns how long a task without checkpoints is left to finish by itself: the longest
// wait of the budgets that apply, or the default.
func (p *Policy) finishWait(budgets []scopedBudget) time.Duration {
	wait := time.Duration(0)
	for _, b := range budgets {
		wait = max(wait, b.budget.FinishWait)
	}
	if wait == 0 {
		return p.FinishWait
	}
	return wait
}
