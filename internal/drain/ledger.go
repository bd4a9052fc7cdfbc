package drain

import (
	"slices"
	"sort"
	"time"
)

// Ledger is what interruptions are charged to. It is stored in pages that only the leader
// writes, under its term, and a voluntary interruption may begin only once the page with its
// charge is stored: a leader that ends in between leaves a charge too many, never one too few
// (docs/draining.md, "Proof").
type Ledger struct {
	policy    *Policy
	newName   func() string // makes names for new pages
	pageLimit func() int    // bytes that a page may have
	pages     map[string]*page
	open      *page // takes new charges
	dirty     map[*page]bool
	byTask    map[TaskKey][]*Charge
	byScope   map[Scope][]*Charge // that may still count in a window
	byJob     map[string]map[int]bool
	over      map[string]bool // jobs with charges that are over
	prunedAt  time.Time
	totals    map[Scope]*Totals
}

// Totals are the interruptions of a team's jobs of a class that the ledger holds.
type Totals struct {
	Voluntary   int `json:"voluntary"`
	Involuntary int `json:"involuntary"`
}

// NewLedger makes an empty ledger.
func NewLedger(policy *Policy, newName func() string, pageLimit func() int) *Ledger {
	return &Ledger{policy: policy, newName: newName, pageLimit: pageLimit, pages: map[string]*page{}, dirty: map[*page]bool{}, byTask: map[TaskKey][]*Charge{},
		byScope: map[Scope][]*Charge{}, byJob: map[string]map[int]bool{}, over: map[string]bool{}, totals: map[Scope]*Totals{}}
}

// Recover takes in a page that the state service holds.
func (l *Ledger) Recover(stored StoredCharges) {
	p := &page{name: stored.Name, version: stored.Version, bytes: pageBytes}
	l.pages[p.name] = p
	for _, job := range stored.Record.Jobs {
		for _, e := range job.Entries {
			c := &Charge{Team: job.Team, Class: job.Class, TaskKey: TaskKey{job.Job, e.Task}, Attempt: e.Attempt, Kind: e.Kind,
				AtMS: e.AtMS, EndMS: e.EndMS, page: p, stored: true}
			if twin := l.Find(c.TaskKey, c.Attempt); twin != nil {
				l.merge(twin, c)
				l.dirty[p] = true // a leader ended between the writes of a page and of its other half
				continue
			}
			p.add(c)
			l.index(c)
		}
	}
}

// merge takes a charge in that another page holds as well: open is the safer word, and the
// later end.
func (l *Ledger) merge(c, twin *Charge) {
	was := c.EndMS
	if c.Open() || twin.Open() {
		c.EndMS = 0
	} else {
		c.EndMS = max(c.EndMS, twin.EndMS)
	}
	if c.EndMS != was {
		l.dirty[c.page] = true
	}
}

func (p *page) add(c *Charge) {
	p.charges = append(p.charges, c)
	p.bytes += c.bytes()
}

func (l *Ledger) index(c *Charge) {
	l.byTask[c.TaskKey] = append(l.byTask[c.TaskKey], c)
	if l.byJob[c.Job] == nil {
		l.byJob[c.Job] = map[int]bool{}
	}
	l.byJob[c.Job][c.Task] = true
	for _, b := range l.policy.applying(c.Team, c.Class) {
		if b.budget.Window > 0 {
			l.byScope[b.scope] = append(l.byScope[b.scope], c)
		}
	}
	scope := Scope{c.Team, c.Class}
	if l.totals[scope] == nil {
		l.totals[scope] = &Totals{}
	}
	if c.Kind == Voluntary {
		l.totals[scope].Voluntary++
	} else {
		l.totals[scope].Involuntary++
	}
}

// Charge charges an interruption of an attempt. If the attempt has a charge already, that one
// stands for it: an attempt is interrupted once.
func (l *Ledger) Charge(now time.Time, team, class string, task TaskKey, attempt uint64, kind Kind) *Charge {
	if c := l.Find(task, attempt); c != nil {
		l.reopen(now, c)
		return c
	}
	c := &Charge{Team: team, Class: class, TaskKey: task, Attempt: attempt, Kind: kind, AtMS: now.UnixMilli()}
	if l.open == nil || l.open.sending || l.open.bytes+c.bytes() > l.pageLimit() {
		l.open = &page{name: l.newName(), bytes: pageBytes}
		l.pages[l.open.name] = l.open
	}
	c.page = l.open
	l.open.add(c)
	l.dirty[l.open] = true
	l.index(c)
	return c
}

// reopen takes a charge back into use whose attempt was taken for gone and has turned up again.
func (l *Ledger) reopen(now time.Time, c *Charge) {
	if !c.Open() {
		c.AtMS, c.EndMS, c.stored = now.UnixMilli(), 0, false
		l.dirty[c.page] = true
	}
}

// Find is the charge of an attempt; nil if it has none.
func (l *Ledger) Find(task TaskKey, attempt uint64) *Charge {
	for _, c := range l.byTask[task] {
		if c.Attempt == attempt {
			return c
		}
	}
	return nil
}

// End notes that an attempt is known to be gone, with whatever was charged for it.
func (l *Ledger) End(now time.Time, task TaskKey, attempt uint64) {
	if c := l.Find(task, attempt); c != nil && c.Open() {
		c.EndMS = now.UnixMilli()
		l.dirty[c.page] = true
	}
}

// Void takes back a voluntary charge that is certain never to be spent: no leader can stop the
// attempt under it any more.
func (l *Ledger) Void(task TaskKey, attempt uint64) {
	c := l.Find(task, attempt)
	if c == nil || !c.Open() || c.Kind != Voluntary || c.page.sending {
		return
	}
	p := c.page
	p.charges = slices.DeleteFunc(p.charges, func(o *Charge) bool { return o == c })
	p.bytes -= c.bytes()
	l.dirty[p] = true
	for _, b := range l.policy.applying(c.Team, c.Class) {
		l.byScope[b.scope] = slices.DeleteFunc(l.byScope[b.scope], func(o *Charge) bool { return o == c })
	}
	l.totals[Scope{c.Team, c.Class}].Voluntary--
	l.forgetCharge(c)
}

// OpenCharges lists the charges of attempts that aren't known to be gone, by job and task.
func (l *Ledger) OpenCharges() []*Charge {
	var out []*Charge
	for _, charges := range l.byTask {
		for _, c := range charges {
			if c.Open() {
				out = append(out, c)
			}
		}
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		return a.Task < b.Task || a.Task == b.Task && a.Attempt < b.Attempt
	})
	return out
}

// interruptions counts how often a task was interrupted, but for one of its attempts.
func (l *Ledger) interruptions(t TaskAttempt) int {
	n := 0
	for _, c := range l.byTask[t.TaskKey] {
		if c.Attempt != t.Attempt {
			n++
		}
	}
	return n
}

// ChargedTasks lists the tasks of a job that were ever interrupted.
func (l *Ledger) ChargedTasks(job string) []int {
	var out []int
	for task := range l.byJob[job] {
		out = append(out, task)
	}
	sort.Ints(out)
	return out
}

// windowUse is how many interruptions count in a scope's window, but for those of some
// attempts, and when the first of them no longer will; zero if that isn't known yet.
func (l *Ledger) windowUse(scope Scope, window time.Duration, now time.Time, except []TaskAttempt) (n int, until time.Time) {
	kept := l.byScope[scope][:0]
	for _, c := range l.byScope[scope] {
		leaves := l.leavesWindow(c, window)
		if !c.Open() && !now.Before(leaves) {
			continue
		}
		kept = append(kept, c)
		if names(except, c) {
			continue
		}
		n++
		if !c.Open() && (until.IsZero() || leaves.Before(until)) {
			until = leaves
		}
	}
	l.byScope[scope] = kept
	return n, until
}

// leavesWindow is when a charge whose attempt is gone stops counting in a window.
func (l *Ledger) leavesWindow(c *Charge, window time.Duration) time.Time {
	return timeOf(c.EndMS).Add(window + l.policy.margin())
}

func names(attempts []TaskAttempt, c *Charge) bool {
	for _, t := range attempts {
		if t.TaskKey == c.TaskKey && t.Attempt == c.Attempt {
			return true
		}
	}
	return false
}

// JobOver notes that a job is over: its tasks can't be interrupted again.
func (l *Ledger) JobOver(job string) {
	if l.byJob[job] == nil {
		return
	}
	l.over[job] = true
}

// ChargedJobs lists the jobs with charges.
func (l *Ledger) ChargedJobs() []string {
	var out []string
	for job := range l.byJob {
		out = append(out, job)
	}
	sort.Strings(out)
	return out
}

// PageWrite is a page of the ledger that is to be written over a version of it; Drop: to be
// dropped. A write that is carried out late must not take the place of a newer one.
type PageWrite struct {
	Name    string
	Version uint64
	Record  ChargePage
	Drop    bool
}

// Outcome is what is known of a write of a page. Version is that of the page as it now is in
// the state service; Known tells whether it could be found out.
type Outcome struct {
	OK      bool
	Version uint64
	Known   bool
}

// prunePause is the time between two looks for pages that nothing needs any more.
const prunePause = 30 * time.Second

// Writes lists pages that are to be written now, some at the most.
func (l *Ledger) Writes(now time.Time, most int) []PageWrite {
	var out []PageWrite
	for _, p := range l.dirtyPages() {
		if len(out) < most {
			out = append(out, PageWrite{Name: p.name, Version: p.version, Record: p.record()})
		}
	}
	if len(out) == 0 && most > 0 && now.Sub(l.prunedAt) >= prunePause {
		l.prunedAt = now
		if p := l.obsoletePage(now); p != nil {
			out = append(out, PageWrite{Name: p.name, Version: p.version, Drop: true})
		}
	}
	return out
}

// Pending tells whether anything is to be written at once.
func (l *Ledger) Pending() bool { return len(l.dirty) > 0 }

func (l *Ledger) dirtyPages() []*page {
	var out []*page
	for p := range l.dirty {
		if !p.sending && p.after == nil {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].name < out[k].name })
	return out
}

// obsoletePage is a page whose charges count nowhere any more; nil if there is none.
func (l *Ledger) obsoletePage(now time.Time) *page {
	var obsolete *page
	for _, p := range l.pages {
		if p != l.open && !p.sending && l.isObsolete(now, p) && (obsolete == nil || p.name < obsolete.name) {
			obsolete = p
		}
	}
	return obsolete
}

func (l *Ledger) isObsolete(now time.Time, p *page) bool {
	for _, c := range p.charges {
		if c.Open() || !l.over[c.Job] || now.Before(l.leavesWindow(c, l.policy.longestWindow())) {
			return false
		}
	}
	return true
}

// WriteStarted notes that a page is on its way to the state service.
func (l *Ledger) WriteStarted(name string) {
	if p := l.pages[name]; p != nil {
		p.sending, p.sent = true, len(p.charges)
		delete(l.dirty, p)
	}
}

// Written brings the outcome of a write of a page.
func (l *Ledger) Written(w PageWrite, outcome Outcome) {
	p := l.pages[w.Name]
	if p == nil {
		return
	}
	p.sending = false
	if outcome.OK || outcome.Known {
		p.version = outcome.Version
	}
	switch {
	case w.Drop && outcome.OK:
		l.forget(p)
	case !outcome.OK && !w.Drop:
		l.dirty[p] = true
	case !w.Drop:
		for _, c := range p.charges[:p.sent] {
			c.stored = true
		}
		for o := range l.dirty {
			if o.after == p {
				o.after = nil
			}
		}
	}
}

// Refused takes in that the state service takes a page under no circumstances: half of it moves
// to a page of its own, which is written first, so that no charge is missing in between.
func (l *Ledger) Refused(name string) {
	p := l.pages[name]
	if p == nil {
		return
	}
	p.sending = false
	l.dirty[p] = true
	if len(p.charges) < 2 {
		return
	}
	half := len(p.charges) / 2
	next := &page{name: l.newName(), bytes: pageBytes}
	l.pages[next.name] = next
	for _, c := range p.charges[half:] {
		next.add(c)
		p.bytes -= c.bytes()
		c.page = next
	}
	p.charges, p.after = p.charges[:half:half], next
	l.dirty[next] = true
	if l.open == p {
		l.open = nil
	}
}

// forget removes a page that the state service no longer holds.
func (l *Ledger) forget(p *page) {
	delete(l.pages, p.name)
	for _, c := range p.charges {
		l.forgetCharge(c)
	}
}

func (l *Ledger) forgetCharge(c *Charge) {
	charges := l.byTask[c.TaskKey]
	for i, o := range charges {
		if o == c {
			charges = append(charges[:i], charges[i+1:]...)
			break
		}
	}
	l.byTask[c.TaskKey] = charges
	if len(charges) > 0 {
		return
	}
	delete(l.byTask, c.TaskKey)
	delete(l.byJob[c.Job], c.Task)
	if len(l.byJob[c.Job]) == 0 {
		delete(l.byJob, c.Job)
		delete(l.over, c.Job)
	}
}
