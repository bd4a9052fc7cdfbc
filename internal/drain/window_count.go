package drain

import (
	"slices"
	"time"
)

// budgetWindows counts the interruptions that fall into the windows of budgets.
type budgetWindows struct {
	policy  *Policy
	byScope map[Scope][]*Charge // charges that may still count in the scope's window
}

func newBudgetWindows(policy *Policy) budgetWindows {
	return budgetWindows{policy: policy, byScope: map[Scope][]*Charge{}}
}

// add adds a charge to the windows of all budgets that apply to it.
func (w *budgetWindows) add(c *Charge) {
	for _, b := range w.policy.budgetsFor(c.Team, c.Class) {
		if b.budget.Window > 0 {
			w.byScope[b.scope] = append(w.byScope[b.scope], c)
		}
	}
}

// remove removes a charge from all windows.
func (w *budgetWindows) remove(c *Charge) {
	for _, b := range w.policy.budgetsFor(c.Team, c.Class) {
		w.byScope[b.scope] = slices.DeleteFunc(w.byScope[b.scope], func(o *Charge) bool { return o == c })
	}
}

// count returns how many interruptions count in a scope's window, except those of some attempts, and
// when the next of them leaves it: zero if none does yet, since all of them are open. It also drops
// the charges that have left the window.
func (w *budgetWindows) count(scope Scope, window time.Duration, now time.Time, except []TaskAttempt,
) (n int, nextLeaves time.Time) {
	counting := w.byScope[scope][:0]
	for _, c := range w.byScope[scope] {
		leaves := w.leavesAt(c, window)
		if !c.Open() && !now.Before(leaves) {
			continue
		}
		counting = append(counting, c)
		if c.isFor(except) {
			continue
		}
		n++
		if !c.Open() && (nextLeaves.IsZero() || leaves.Before(nextLeaves)) {
			nextLeaves = leaves
		}
	}
	w.byScope[scope] = counting
	return n, nextLeaves
}

// leavesAt returns when a charge whose attempt is gone stops counting in a window of the given
// length.
func (w *budgetWindows) leavesAt(c *Charge, window time.Duration) time.Time {
	return timeOf(c.EndMS).Add(window + w.policy.clockMargin())
}
