package drain

import (
	"slices"
	"strings"
	"time"
)

// Unlimited is the value of a limit that bounds nothing.
const Unlimited = -1

// Budget is the voluntary disruption that a team, or a class of a team's jobs, tolerates. A task
// may be evicted only if all budgets that apply to it allow that.
type Budget struct {
	// TaskInterruptions limits the interruptions of one task over its life, or is Unlimited.
	TaskInterruptions int
	// WindowInterruptions limits the interruptions of all tasks in scope within any time as long
	// as Window, or is Unlimited.
	WindowInterruptions int
	Window              time.Duration
	// MaxUnavailable limits how many tasks of one job may be down at a time, or is Unlimited.
	MaxUnavailable int
	// Closed are times of day during which nothing in scope may be evicted.
	Closed []ClosedWindow
	// FinishWait is how long tasks without checkpoints are left to finish by themselves before
	// they are evicted; 0 stands for the policy's default.
	FinishWait time.Duration
}

// NewBudget makes a budget that limits nothing.
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

// Compare orders scopes by their text, which is that of the team, then the class.
func (s Scope) Compare(o Scope) int { return strings.Compare(s.String(), o.String()) }

// Policy holds the budgets of all scopes, and the defaults beside them.
type Policy struct {
	Budgets map[Scope]Budget
	// FinishWait applies where no budget has a FinishWait of its own.
	FinishWait time.Duration
	// Skew bounds how far a controller's time of day is off.
	Skew time.Duration
}

// scopedBudget is a budget together with its scope.
type scopedBudget struct {
	scope  Scope
	budget Budget
}

// applying returns the budgets that apply to a team's jobs of a class: the budget of the whole team
// first. A job without a class is in the team's scope only, which counts once.
func (p *Policy) applying(team, class string) []scopedBudget {
	var out []scopedBudget
	for _, scope := range []Scope{{Team: team}, {Team: team, Class: class}} {
		budget, set := p.Budgets[scope]
		if set && !slices.ContainsFunc(out, func(o scopedBudget) bool { return o.scope == scope }) {
			out = append(out, scopedBudget{scope, budget})
		}
	}
	return out
}

// Limits reports whether any budget applies to a team's jobs of a class.
func (p *Policy) Limits(team, class string) bool { return len(p.applying(team, class)) > 0 }

// LimitsUnavailable reports whether any budget that applies to a team's jobs of a class limits how
// many tasks of a job may be down at a time.
func (p *Policy) LimitsUnavailable(team, class string) bool {
	for _, b := range p.applying(team, class) {
		if b.budget.MaxUnavailable != Unlimited {
			return true
		}
	}
	return false
}

// longestWindow returns the longest window of all budgets: a charge older than that counts in none.
func (p *Policy) longestWindow() time.Duration {
	longest := time.Duration(0)
	for _, b := range p.Budgets {
		longest = max(longest, b.Window)
	}
	return longest
}

// clockMargin returns how much longer than its window an interruption counts. The leader that
// recorded it and the leader that judges by it may have clocks that are off in opposite directions.
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
