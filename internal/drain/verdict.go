package drain

import (
	"fmt"
	"time"
)

// TaskAttempt identifies an attempt of a task.
type TaskAttempt struct {
	TaskKey
	Attempt uint64
}

// Candidate holds the tasks that would be evicted together to empty a machine: one task or a whole
// gang.
type Candidate struct {
	Team, Class  string
	Job          string
	Tasks        []TaskAttempt
	Down         int           // number of the job's other tasks that are down
	Replicas     int           // of a service; 0: a job whose tasks finish by themselves
	Checkpoints  bool          // tasks save their progress when they are stopped
	EvictionTime time.Duration // upper bound, from the decision until the last task is gone
	CordonedAt   time.Time     // when its machine was cordoned
}

// isService reports whether the candidate belongs to a service, which runs until it is cancelled.
func (c *Candidate) isService() bool { return c.Replicas > 0 }

// VerdictKind says whether something may be evicted.
type VerdictKind uint8

// Kinds of verdicts.
const (
	Allowed VerdictKind = iota
	NotYet              // it may be possible later
	Never               // it won't become possible
)

// Cause is the reason why something may not be evicted, or why a machine isn't empty yet.
type Cause uint8

// Causes. Judge returns those up to CauseFinishing; its callers set the others.
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

// String returns the cause as shown to operators.
func (c Cause) String() string { return causeTexts[c] }

// Verdict says whether something may be evicted or a machine emptied, and if not, why.
type Verdict struct {
	Kind  VerdictKind
	Cause Cause
	Scope Scope     // of the budget that forbids it; empty: no budget does
	Job   string    // whose tasks are judged
	Until time.Time // when the cause ends; zero: not known
	// MustFinish says that a budget will never allow the eviction: the tasks have to finish.
	MustFinish bool
}

// String returns the verdict as shown to operators: empty if it is Allowed.
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

// serviceUnavailableDivisor sets how many of a service's replicas may be down at a time where no budget
// sets MaxUnavailable: a tenth, but at least one.
const serviceUnavailableDivisor = 10

// Judge decides whether a candidate may be evicted now: by the budgets, by how many replicas a service
// needs, and by how long tasks are left to finish. Of several causes, the verdict names the strictest.
func (p *Policy) Judge(now time.Time, ledger *Ledger, c *Candidate) Verdict {
	budgets := p.budgetsFor(c.Team, c.Class)
	worst := Verdict{Job: c.Job}
	for _, b := range budgets {
		worst = worse(worst, judgeLimits(now, ledger, c, b))
		worst = worse(worst, p.judgeClosed(now, c, b))
	}
	if c.Replicas > 1 && c.Down+len(c.Tasks) > p.maxReplicasDown(c) {
		worst = worse(worst, Verdict{Kind: NotYet, Cause: CauseUnavailable, Job: c.Job})
	}
	if until := c.CordonedAt.Add(p.finishWait(budgets)); !c.Checkpoints && !c.isService() && now.Before(until) {
		worst = worse(worst, Verdict{Kind: NotYet, Cause: CauseFinishing, Job: c.Job, Until: until})
	}
	return worst
}

// maxReplicasDown returns how many replicas may be down at a time of a service that has several.
// Whatever a budget says, one stays up.
func (p *Policy) maxReplicasDown(c *Candidate) int {
	if p.LimitsUnavailable(c.Team, c.Class) {
		return c.Replicas - 1 // the budget's own limit is judged by judgeLimits
	}
	return max(1, c.Replicas/serviceUnavailableDivisor)
}

// worse returns the stricter of two verdicts: by their kind, then by MustFinish, then, if they are
// NotYet, by the later Until. If none is stricter, it returns a.
func worse(a, b Verdict) Verdict {
	switch {
	case a.Kind != b.Kind:
		if b.Kind > a.Kind {
			return b
		}
	case b.MustFinish != a.MustFinish:
		if b.MustFinish {
			return b
		}
	case b.Kind == NotYet && b.Until.After(a.Until):
		return b
	}
	return a
}

// judgeLimits judges a candidate by one budget's limits, and returns the verdict of the first limit
// that forbids the eviction.
func judgeLimits(now time.Time, ledger *Ledger, c *Candidate, b scopedBudget) Verdict {
	if v := judgeTasks(ledger, c, b); v.Kind != Allowed {
		return v
	}
	if v := judgeWindow(now, ledger, c, b); v.Kind != Allowed {
		return v
	}
	return judgeUnavailable(c, b)
}

// judgeTasks judges by the interruptions that each task has left over its life.
func judgeTasks(ledger *Ledger, c *Candidate, b scopedBudget) Verdict {
	limit := b.budget.TaskInterruptions
	if limit == Unlimited {
		return Verdict{}
	}
	for _, t := range c.Tasks {
		if ledger.index.otherInterruptions(t)+1 > limit {
			return c.exhausted(b.scope, CauseTaskBudget)
		}
	}
	return Verdict{}
}

// judgeWindow judges by the interruptions that are left in the budget's window.
func judgeWindow(now time.Time, ledger *Ledger, c *Candidate, b scopedBudget) Verdict {
	limit := b.budget.WindowInterruptions
	if limit == Unlimited {
		return Verdict{}
	}
	if len(c.Tasks) > limit {
		return c.exhausted(b.scope, CauseWindowBudget)
	}
	if used, until := ledger.windows.count(b.scope, b.budget.Window, now, c.Tasks); used+len(c.Tasks) > limit {
		return Verdict{Kind: NotYet, Cause: CauseWindowBudget, Scope: b.scope, Job: c.Job, Until: until}
	}
	return Verdict{}
}

// judgeUnavailable judges by how many tasks of the job may be down at a time.
func judgeUnavailable(c *Candidate, b scopedBudget) Verdict {
	limit := b.budget.MaxUnavailable
	switch {
	case limit == Unlimited:
		return Verdict{}
	case len(c.Tasks) > limit:
		return c.exhausted(b.scope, CauseUnavailable)
	case c.Down+len(c.Tasks) > limit:
		return Verdict{Kind: NotYet, Cause: CauseUnavailable, Scope: b.scope, Job: c.Job}
	}
	return Verdict{}
}

// exhausted returns the verdict on a candidate that a budget will never allow to be evicted. Tasks
// that finish by themselves are left to do so; the machine of a service's replica can't be emptied.
func (c *Candidate) exhausted(scope Scope, cause Cause) Verdict {
	kind := NotYet
	if c.isService() {
		kind = Never
	}
	return Verdict{Kind: kind, Cause: cause, Scope: scope, Job: c.Job, MustFinish: true}
}

// judgeClosed judges by a budget's closed windows: none may overlap the time from now until the
// candidate would be gone.
func (p *Policy) judgeClosed(now time.Time, c *Candidate, b scopedBudget) Verdict {
	open, ok := openFrom(b.budget.Closed, now, c.EvictionTime, p.Skew)
	switch {
	case !ok:
		return c.exhausted(b.scope, CauseClosed)
	case open.After(now):
		return Verdict{Kind: NotYet, Cause: CauseClosed, Scope: b.scope, Job: c.Job, Until: open}
	}
	return Verdict{Job: c.Job}
}

// OutsideClosedWindows reports whether the closed windows allow tasks of jobs of a team and class to be
// moved now, if that takes the given time.
func (p *Policy) OutsideClosedWindows(now time.Time, team, class string, takes time.Duration) bool {
	for _, b := range p.budgetsFor(team, class) {
		if open, ok := openFrom(b.budget.Closed, now, takes, p.Skew); !ok || open.After(now) {
			return false
		}
	}
	return true
}
