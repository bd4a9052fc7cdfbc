// Package drain empties machines that operators want replaced, within the disruption budgets
// that teams have declared: which plans there are and how far each machine is, what every
// interruption is charged to, and whether a task may be moved now. It does no input or output
// and reads no clock; the core carries out what it decides (docs/draining.md).
package drain

import (
	"slices"
	"time"
)

// Unlimited is the value of a limit that bounds nothing.
const Unlimited = -1

// Budget is the voluntary disruption that a team, or a class of a team's jobs, tolerates. All
// budgets that apply to a task have to allow its eviction.
type Budget struct {
	TaskInterruptions   int           // of one task, over its life; Unlimited: any number
	WindowInterruptions int           // of all tasks in scope within Window; Unlimited: any number
	Window              time.Duration // in which WindowInterruptions are counted
	MaxUnavailable      int           // tasks of one job that may be down at a time; Unlimited: any number
	Closed              []ClosedWindow
	FinishWait          time.Duration // that tasks which don't save are left to finish; 0: the default
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

// Policy is all budgets.
type Policy struct {
	Budgets map[Scope]Budget
	// FinishWait is how long tasks that don't save are left to finish where no budget says so.
	FinishWait time.Duration
	// Skew bounds how far a controller's time of day is off.
	Skew time.Duration
}

// scopedBudget is a budget with what it applies to.
type scopedBudget struct {
	scope  Scope
	budget Budget
}

// applying are the budgets that apply to a team's jobs of a class, the team's first.
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

// Limits tells whether any budget applies to a team's jobs of a class.
func (p *Policy) Limits(team, class string) bool { return len(p.applying(team, class)) > 0 }

// LimitsUnavailable tells whether a budget says how many tasks of a team's job of a class may be
// down at a time.
func (p *Policy) LimitsUnavailable(team, class string) bool {
	for _, b := range p.applying(team, class) {
		if b.budget.MaxUnavailable != Unlimited {
			return true
		}
	}
	return false
}

// longestWindow is the longest time over which interruptions are counted.
func (p *Policy) longestWindow() time.Duration {
	longest := time.Duration(0)
	for _, b := range p.Budgets {
		longest = max(longest, b.Window)
	}
	return longest
}

// margin is how much longer than its window an interruption counts: the clocks of two
// controllers that see it may be off in opposite directions.
func (p *Policy) margin() time.Duration { return 2 * p.Skew }

// finishWait is how long a task that doesn't save is left to finish by itself.
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
