package drain

import (
	"fmt"
	"time"
)

// TaskAttempt is an attempt of a task.
type TaskAttempt struct {
	TaskKey
	Attempt uint64
}

// Candidate is what would be interrupted together to empty a machine: one task, or all tasks
// of a gang.
type Candidate struct {
	Team, Class string
	Job         string
	Tasks       []TaskAttempt
	Down        int           // other tasks of the job that are down
	Replicas    int           // of a service; 0: it isn't one, and comes to an end by itself
	Checkpoints bool          // it saves its progress when it is stopped
	Takes       time.Duration // from the decision until the last task has left, at the most
	Since       time.Time     // since when its machine has been cordoned
}

// VerdictKind says whether something may be evicted.
type VerdictKind uint8

// Kinds of verdicts.
const (
	Allowed VerdictKind = iota
	NotYet              // it may be later
	Never               // nothing that lies ahead will allow it
)

// Cause is why something may not be evicted, or a machine isn't empty yet.
type Cause uint8

// Causes.
const (
	CauseNone Cause = iota
	CauseTaskBudget
	CauseWindowBudget
	CauseUnavailable
	CauseClosed
	CauseFinishing
	CauseDeadline
	CauseNoCapacity
	CauseReplacement
	CauseLeaving
	CauseNotStored
	CauseUnsettled
	CauseAwaitingHeartbeat
	CausePaused
)

var causeTexts = [...]string{
	CauseNone:              "",
	CauseTaskBudget:        "a task has no interruption left",
	CauseWindowBudget:      "the interruptions of the window are used up",
	CauseUnavailable:       "too many tasks of the job are down",
	CauseClosed:            "a closed window",
	CauseFinishing:         "tasks are left to finish",
	CauseDeadline:          "not before the plan's deadline",
	CauseNoCapacity:        "no room elsewhere",
	CauseReplacement:       "its replacement isn't up",
	CauseLeaving:           "tasks are leaving",
	CauseNotStored:         "the state service hasn't taken the charge",
	CauseUnsettled:         "capacity is missing or the leader is new",
	CauseAwaitingHeartbeat: "the machine doesn't report",
	CausePaused:            "the plan is paused",
}

// String returns the cause as operators see it.
func (c Cause) String() string { return causeTexts[c] }

// Verdict tells whether something may be evicted, and if not, why, because of whose budget,
// and until when.
type Verdict struct {
	Kind  VerdictKind
	Cause Cause
	Scope Scope     // whose budget; empty: nobody's
	Job   string    // which job it is about
	Until time.Time // zero: not known
	// OnlyEnds says that no budget will ever allow it: it has to come to its end.
	OnlyEnds bool
}

// String returns the verdict as operators see it.
func (v Verdict) String() string {
	if v.Kind == Allowed {
		return ""
	}
	text := v.Cause.String()
	if v.Scope.Team != "" {
		text += fmt.Sprintf(" (budget of %s)", v.Scope)
	}
	if v.Job != "" {
		text += " for " + v.Job
	}
	if !v.Until.IsZero() {
		text += " until " + v.Until.UTC().Format(time.RFC3339)
	}
	return text
}

// serviceUnavailableParts: of a service without a budget, one replica of so many may be down
// at a time, and always one.
const serviceUnavailableParts = 10

// Judge tells whether a candidate may be evicted now, as far as budgets go.
func (p *Policy) Judge(now time.Time, ledger *Ledger, c *Candidate) Verdict {
	budgets := p.applying(c.Team, c.Class)
	worst := Verdict{Job: c.Job}
	for _, b := range budgets {
		worst = worse(worst, judgeLimits(now, ledger, c, b))
		worst = worse(worst, p.judgeClosed(now, c, b))
	}
	if c.Replicas > 1 && c.Down+len(c.Tasks) > p.mostReplicasDown(c) {
		worst = worse(worst, Verdict{Kind: NotYet, Cause: CauseUnavailable, Job: c.Job})
	}
	if until := c.Since.Add(p.finishWait(budgets)); !c.Checkpoints && c.Replicas == 0 && now.Before(until) {
		worst = worse(worst, Verdict{Kind: NotYet, Cause: CauseFinishing, Job: c.Job, Until: until})
	}
	return worst
}

// mostReplicasDown is how many of a service's replicas may be down at a time. Whatever a
// budget says, one stays up.
func (p *Policy) mostReplicasDown(c *Candidate) int {
	if p.LimitsUnavailable(c.Team, c.Class) {
		return c.Replicas - 1 // the budget's own limit is judged beside this one
	}
	return max(1, c.Replicas/serviceUnavailableParts)
}

// worse is the verdict that forbids more.
func worse(a, b Verdict) Verdict {
	switch {
	case a.Kind != b.Kind:
		if b.Kind > a.Kind {
			return b
		}
	case b.OnlyEnds != a.OnlyEnds:
		if b.OnlyEnds {
			return b
		}
	case b.Kind == NotYet && b.Until.After(a.Until):
		return b
	}
	return a
}

// judgeLimits holds one budget's numbers against a candidate.
func judgeLimits(now time.Time, ledger *Ledger, c *Candidate, b scopedBudget) Verdict {
	n := len(c.Tasks)
	if limit := b.budget.TaskInterruptions; limit != Unlimited {
		for _, t := range c.Tasks {
			if ledger.interruptions(t)+1 > limit {
				return c.exhausted(b.scope, CauseTaskBudget)
			}
		}
	}
	if limit := b.budget.WindowInterruptions; limit != Unlimited {
		used, until := ledger.windowUse(b.scope, b.budget.Window, now, c.Tasks)
		if n > limit {
			return c.exhausted(b.scope, CauseWindowBudget)
		}
		if used+n > limit {
			return Verdict{Kind: NotYet, Cause: CauseWindowBudget, Scope: b.scope, Job: c.Job, Until: until}
		}
	}
	if limit := b.budget.MaxUnavailable; limit != Unlimited {
		if n > limit {
			return c.exhausted(b.scope, CauseUnavailable)
		}
		if c.Down+n > limit {
			return Verdict{Kind: NotYet, Cause: CauseUnavailable, Scope: b.scope, Job: c.Job}
		}
	}
	return Verdict{Job: c.Job}
}

// exhausted is the verdict on what no budget will ever allow: it is left to finish, or, if it
// doesn't come to an end by itself, its machine can't be emptied.
func (c *Candidate) exhausted(scope Scope, cause Cause) Verdict {
	kind := NotYet
	if c.Replicas > 0 {
		kind = Never
	}
	return Verdict{Kind: kind, Cause: cause, Scope: scope, Job: c.Job, OnlyEnds: true}
}

// judgeClosed tells whether a candidate would leave outside all closed windows of a budget.
func (p *Policy) judgeClosed(now time.Time, c *Candidate, b scopedBudget) Verdict {
	open, ok := openFrom(b.budget.Closed, now, c.Takes, p.Skew)
	switch {
	case !ok:
		return c.exhausted(b.scope, CauseClosed)
	case open.After(now):
		return Verdict{Kind: NotYet, Cause: CauseClosed, Scope: b.scope, Job: c.Job, Until: open}
	}
	return Verdict{Job: c.Job}
}

// MayMoveNow tells whether no closed window forbids that a team's work leaves its machine
// within a time from now.
func (p *Policy) MayMoveNow(now time.Time, team, class string, takes time.Duration) bool {
	for _, b := range p.applying(team, class) {
		if open, ok := openFrom(b.budget.Closed, now, takes, p.Skew); !ok || open.After(now) {
			return false
		}
	}
	return true
}
