package drain

import "time"

// Ledger records the charges: the interruptions of tasks that count against budgets. It is stored in
// pages that only the leader writes, under its term, and a voluntary interruption may begin only once
// the page with its charge is stored: a leader whose term ends in between leaves one charge too many,
// never one too few (docs/draining.md, "Proof").
type Ledger struct {
	policy  *Policy
	pages   chargePages
	index   chargeIndex
	windows budgetWindows
	totals  map[Scope]*Totals
}

// NewLedger returns an empty ledger. The function newName returns a page name that was never used
// before; pageLimit returns how many bytes a page may have.
func NewLedger(policy *Policy, newName func() string, pageLimit func() int) *Ledger {
	return &Ledger{policy: policy, pages: newChargePages(newName, pageLimit), index: newChargeIndex(),
		windows: newBudgetWindows(policy), totals: map[Scope]*Totals{}}
}

// Recover adds the charges of a page that the state service holds.
func (l *Ledger) Recover(stored StoredChargePage) {
	p := l.pages.newPage(stored.Name)
	p.version = stored.Version
	for _, job := range stored.Record.Jobs {
		for _, e := range job.Entries {
			l.recoverCharge(p, &Charge{Team: job.Team, Class: job.Class, TaskKey: TaskKey{job.Job, e.Task},
				Attempt: e.Attempt, Kind: e.Kind, AtMS: e.AtMS, EndMS: e.EndMS, stored: true})
		}
	}
}

// recoverCharge adds a charge of a stored page. Two pages have the same charge if a leader split a
// page and its term ended before it had written both halves. Then the charge stays on the page that
// was recovered first, and the other page has to be written without it.
func (l *Ledger) recoverCharge(p *chargePage, c *Charge) {
	if known := l.Find(c.TaskKey, c.Attempt); known != nil {
		l.merge(known, c)
		l.pages.dirty[p] = true
		return
	}
	p.add(c)
	l.add(c)
}

// merge combines a charge with its duplicate on another page. If either is open, so is the result;
// else it has the later end. Either way the interruption counts for the longer time.
func (l *Ledger) merge(c, duplicate *Charge) {
	end := max(c.EndMS, duplicate.EndMS)
	if c.Open() || duplicate.Open() {
		end = 0
	}
	if end != c.EndMS {
		c.EndMS = end
		l.pages.changed(c)
	}
}

// add adds a charge to the index, the windows and the totals.
func (l *Ledger) add(c *Charge) {
	l.index.add(c)
	l.windows.add(c)
	scope := c.scope()
	if l.totals[scope] == nil {
		l.totals[scope] = &Totals{}
	}
	if c.Kind == Voluntary {
		l.totals[scope].Voluntary++
	} else {
		l.totals[scope].Involuntary++
	}
}

// Charge charges an interruption of an attempt and returns the charge. An attempt is interrupted only
// once: if it has a charge already, that one is returned, reopened if it had ended.
func (l *Ledger) Charge(now time.Time, team, class string, task TaskKey, attempt uint64, kind InterruptionKind) *Charge {
	if c := l.Find(task, attempt); c != nil {
		l.reopen(now, c)
		return c
	}
	c := &Charge{Team: team, Class: class, TaskKey: task, Attempt: attempt, Kind: kind, AtMS: now.UnixMilli()}
	l.pages.append(c)
	l.add(c)
	return c
}

// reopen reopens the charge of an attempt that was believed gone and has turned up again. The state
// service may hold the charge as ended, so the charge has to be stored again.
func (l *Ledger) reopen(now time.Time, c *Charge) {
	if !c.Open() {
		c.AtMS, c.EndMS, c.stored = now.UnixMilli(), 0, false
		l.pages.changed(c)
	}
}

// Find returns the charge of an attempt, or nil if it has none.
func (l *Ledger) Find(task TaskKey, attempt uint64) *Charge { return l.index.find(task, attempt) }

// AttemptGone records that an attempt is known to be gone, and ends its charge if it has an open one.
func (l *Ledger) AttemptGone(now time.Time, task TaskKey, attempt uint64) {
	if c := l.Find(task, attempt); c != nil && c.Open() {
		c.EndMS = now.UnixMilli()
		l.pages.changed(c)
	}
}

// Withdraw removes the open voluntary charge of an attempt, if it has one. The caller has made sure
// that no leader can still stop the attempt because of that charge. Withdraw does nothing while the
// charge's page is being written.
func (l *Ledger) Withdraw(task TaskKey, attempt uint64) {
	c := l.Find(task, attempt)
	if c == nil || !c.Open() || c.Kind != Voluntary || c.page.writing {
		return
	}
	c.page.remove(c)
	l.pages.changed(c)
	l.windows.remove(c)
	l.totals[c.scope()].Voluntary--
	l.index.remove(c)
}

// OpenCharges lists the charges of attempts that aren't known to be gone, sorted by job, task and
// attempt.
func (l *Ledger) OpenCharges() []*Charge { return l.index.open() }

// ChargedTasks lists the tasks of a job that have charges, in order.
func (l *Ledger) ChargedTasks(job string) []int { return l.index.tasks(job) }

// ChargedJobs lists the jobs that have charges, in order.
func (l *Ledger) ChargedJobs() []string { return l.index.jobs() }

// JobFinished records that a job is over: its tasks can't be interrupted again.
func (l *Ledger) JobFinished(job string) { l.index.jobFinished(job) }

// Writes lists the writes of pages that are due now, no more than the limit. If there are none, it
// searches for an obsolete page to delete instead, at most once per pruneInterval.
func (l *Ledger) Writes(now time.Time, limit int) []ChargePageWrite {
	out := l.pages.dirtyWrites(limit)
	if len(out) > 0 || limit <= 0 || now.Sub(l.pages.prunedAt) < pruneInterval {
		return out
	}
	l.pages.prunedAt = now
	if p := l.pages.obsolete(func(c *Charge) bool { return l.isNeeded(now, c) }); p != nil {
		out = append(out, ChargePageWrite{Name: p.name, Version: p.version, Delete: true})
	}
	return out
}

// isNeeded reports whether a charge may still count: its attempt may exist, its job's tasks may be
// interrupted again, or it may be in the window of some budget.
func (l *Ledger) isNeeded(now time.Time, c *Charge) bool {
	return c.Open() || !l.index.finishedJobs[c.Job] || now.Before(l.windows.leavesAt(c, l.policy.longestWindow()))
}

// Pending reports whether any page has changed since its last write started, or has to be written
// again.
func (l *Ledger) Pending() bool { return len(l.pages.dirty) > 0 }

// WriteStarted records that a write of a page is under way.
func (l *Ledger) WriteStarted(name string) { l.pages.writeStarted(name) }

// PageWritten records the outcome of a write of a page.
func (l *Ledger) PageWritten(w ChargePageWrite, outcome PageWriteOutcome) {
	p := l.pages.byName[w.Name]
	if p == nil {
		return
	}
	p.writeEnded(outcome)
	switch {
	case w.Delete && outcome.OK:
		l.forget(p)
	case w.Delete: // the next search for obsolete pages finds it again
	case outcome.OK:
		l.pages.written(p)
	default:
		l.pages.dirty[p] = true
	}
}

// PageRejected splits a page in two. It is to be called when the state service has rejected the page
// for a reason other than its version, which means that the page is too large.
func (l *Ledger) PageRejected(name string) { l.pages.split(name) }

// forget removes a page that the state service no longer holds, with its charges.
func (l *Ledger) forget(p *chargePage) {
	delete(l.pages.byName, p.name)
	for _, c := range p.charges {
		l.index.remove(c)
	}
}
