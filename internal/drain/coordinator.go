package drain

import (
	"slices"
	"sort"
	"time"
)

// Coordinator is a leader's view of all plans for one term: which machines are to be drained
// next, which are being drained, and how far each is.
type Coordinator struct {
	Policy   *Policy
	Ledger   *Ledger
	plans    map[string]*planState
	order    []*planState // by age
	machines map[string]*Machine
	roster   *roster
	queued   map[string]int // how many plans have a machine in their queue
	resume   int            // which active machine is looked at next
	active   []*Machine
}

// planState is a plan with its progress.
type planState struct {
	Plan
	version  uint64
	queue    []string // machines to be drained, in this order
	queued   map[string]bool
	deferred map[string]Verdict // why machines in the queue couldn't be drained when last looked at
	active   int                // machines being drained
	takenIn  time.Time
	nextLook time.Time // when the queue is looked at again
	refused  int       // machines in a row that couldn't be cordoned
	retryAt  time.Time // when a write of the plan is tried again
	writing  bool
}

// StoredPlan is a plan with its version in the state service.
type StoredPlan struct {
	Plan    Plan
	Version uint64
}

// StoredMachines is a page of machines in the state service.
type StoredMachines struct {
	Name    string
	Version uint64
	Record  MachinePage
}

// StoredCharges is a page of charges in the state service.
type StoredCharges struct {
	Name    string
	Version uint64
	Record  ChargePage
}

// Stored is all that the state service holds of drains.
type Stored struct {
	Plans    []StoredPlan
	Machines []StoredMachines
	Charges  []StoredCharges
}

// NewCoordinator takes over what the state service holds.
func NewCoordinator(now time.Time, policy *Policy, stored Stored, newName func() string, pageLimit func() int) *Coordinator {
	c := &Coordinator{Policy: policy, Ledger: NewLedger(policy, newName, pageLimit), plans: map[string]*planState{},
		machines: map[string]*Machine{}, roster: newRoster(newName, pageLimit), queued: map[string]int{}}
	for _, page := range stored.Charges {
		c.Ledger.Recover(page)
	}
	for _, page := range stored.Machines {
		for _, m := range c.roster.recover(page) {
			c.machines[m.Name] = m
		}
	}
	for _, plan := range stored.Plans {
		c.put(now, plan)
	}
	for _, m := range c.machines {
		c.recount(m)
	}
	c.sortActive()
	for _, p := range c.order {
		if p.Phase.Final() {
			c.end(p)
		}
	}
	return c
}

// recount takes a recovered machine into its plan's counts; one whose plan is gone or was
// cancelled is let go.
func (c *Coordinator) recount(m *Machine) {
	p := c.plans[m.Plan]
	switch {
	case p == nil || p.Phase == Cancelled || p.Phase == Completed:
		delete(c.machines, m.Name)
		c.roster.remove(m)
	case m.state.active():
		p.active++
		c.active = append(c.active, m)
	}
}

func (c *Coordinator) sortActive() {
	sort.Slice(c.active, func(i, k int) bool { return c.active[i].Name < c.active[k].Name })
}

// SetPlan takes in a plan's record. It returns the machines that are no longer cordoned, and
// whether the plan now wants to hear of all machines (Add).
func (c *Coordinator) SetPlan(now time.Time, stored StoredPlan) (uncordoned []string, fresh bool) {
	p := c.plans[stored.Plan.ID]
	if p != nil && stored.Version <= p.version {
		return nil, false
	}
	fresh = stored.Plan.Through != "" && (p == nil || p.Through == "")
	p = c.put(now, stored)
	if p.Phase.Final() {
		uncordoned = c.end(p)
	}
	return uncordoned, fresh
}

// put notes a plan's record.
func (c *Coordinator) put(now time.Time, stored StoredPlan) *planState {
	p := c.plans[stored.Plan.ID]
	if p == nil {
		p = &planState{queued: map[string]bool{}, deferred: map[string]Verdict{}, takenIn: now}
		c.plans[stored.Plan.ID] = p
		c.order = append(c.order, p)
	}
	p.Plan, p.version, p.nextLook = stored.Plan, stored.Version, time.Time{}
	sort.Slice(c.order, func(i, k int) bool { return c.order[i].before(c.order[k]) })
	return p
}

func (p *planState) before(o *planState) bool {
	if p.CreatedMS != o.CreatedMS {
		return p.CreatedMS < o.CreatedMS
	}
	return p.ID < o.ID
}

// end has a plan that is over let its machines go: all of them, or, if its deadline has
// passed and it says so, those that aren't cordoned.
func (c *Coordinator) end(p *planState) (uncordoned []string) {
	for _, name := range p.queue {
		c.dequeue(p, name)
	}
	p.queue = nil
	for _, m := range c.machinesOf(p.ID) {
		to := Uncordoned
		if p.Phase == Expired && p.KeepCordoned {
			to = Failed
		}
		if c.Move(m, to) && to == Uncordoned {
			uncordoned = append(uncordoned, m.Name)
		}
		if m.state == Released {
			delete(c.machines, m.Name)
			c.roster.remove(m)
		}
	}
	return uncordoned
}

// machinesOf lists the machines that a plan has claimed, by name.
func (c *Coordinator) machinesOf(plan string) []*Machine {
	var out []*Machine
	for _, m := range c.machines {
		if m.Plan == plan {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

// Move takes a machine to another state; false if nothing changes.
func (c *Coordinator) Move(m *Machine, to MachineState) bool {
	was := m.state
	if !m.move(to) {
		return false
	}
	p := c.plans[m.Plan]
	if was.active() && !to.active() {
		c.active = slices.DeleteFunc(c.active, func(o *Machine) bool { return o == m })
		if p != nil {
			p.active--
		}
	}
	if to == Planned || to == Uncordoned {
		delete(c.machines, m.Name)
		c.roster.remove(m)
		return true
	}
	c.roster.changed(m)
	return true
}

// Add tells of a machine that is known.
func (c *Coordinator) Add(id MachineID) {
	for _, p := range c.order {
		if !p.Phase.Final() && p.Through != "" && !p.queued[id.Name] && p.Selects(id) && !c.claimedBy(id.Name, p) {
			p.queued[id.Name] = true
			c.queued[id.Name]++
			at := sort.SearchStrings(p.queue, id.Name)
			p.queue = slices.Insert(p.queue, at, id.Name)
		}
	}
}

func (c *Coordinator) claimedBy(name string, p *planState) bool {
	m := c.machines[name]
	return m != nil && m.Plan == p.ID
}

func (c *Coordinator) dequeue(p *planState, name string) {
	if !p.queued[name] {
		return
	}
	delete(p.queued, name)
	delete(p.deferred, name)
	if c.queued[name]--; c.queued[name] == 0 {
		delete(c.queued, name)
	}
}

// MachineRemoved tells that a machine is gone.
func (c *Coordinator) MachineRemoved(name string) {
	if m := c.machines[name]; m != nil {
		c.Move(m, Released)
	}
	for _, p := range c.order {
		if p.queued[name] {
			c.dequeue(p, name)
			p.queue = slices.DeleteFunc(p.queue, func(o string) bool { return o == name })
		}
	}
}

// Cordoned tells whether a machine gets no starts. One that is let go stays cordoned until the
// state service holds that, as for any leader that takes over.
func (c *Coordinator) Cordoned(name string) bool {
	m := c.machines[name]
	return m != nil && m.state.cordoned() || c.roster.lifting[name] > 0
}

// Finished tells whether a machine was emptied: if it is still there, it is to be released.
func (c *Coordinator) Finished(name string) bool {
	m := c.machines[name]
	return m != nil && (m.state == Empty || m.state == Released)
}

// Planned tells whether a machine is about to be drained.
func (c *Coordinator) Planned(name string) bool { return c.queued[name] > 0 }

// Machine is a machine that is being drained, or was; nil if it is neither.
func (c *Coordinator) Machine(name string) *Machine { return c.machines[name] }

// PlanPhase is the phase of a machine's plan.
func (c *Coordinator) PlanPhase(m *Machine) Phase { return c.plans[m.Plan].Phase }

// Surge is how many replacements a machine's plan may rent ahead.
func (c *Coordinator) Surge(m *Machine) int { return c.plans[m.Plan].Surge }

// PlanDeadline is when a plan has to be through; zero if there is no bound.
func (c *Coordinator) PlanDeadline(plan string) time.Time { return c.plans[plan].End() }

// NextActive lists machines that are being drained, in turns, each at most once.
func (c *Coordinator) NextActive(most int) []*Machine {
	n := min(most, len(c.active))
	out := make([]*Machine, 0, n)
	for range n {
		c.resume++
		out = append(out, c.active[c.resume%len(c.active)])
	}
	return out
}

// lookAgain is when a queue is looked at again in which nothing could be drained.
const lookAgain = 2 * time.Second

// Next proposes a machine to be cordoned for a plan that has room in its stage; empty if
// there is none. The one that proposes says with Cordon or Defer what became of it.
func (c *Coordinator) Next(now time.Time) (name, plan string) {
	for _, p := range c.order {
		if p.Phase != Running || p.Through == "" || p.active >= p.MaxAtOnce || now.Before(p.nextLook) {
			continue
		}
		for _, name := range p.queue {
			if c.machines[name] == nil {
				return name, p.ID
			}
		}
		p.nextLook = now.Add(lookAgain)
	}
	return "", ""
}

// Cordon has a plan claim a machine.
func (c *Coordinator) Cordon(now time.Time, name, plan string) *Machine {
	p := c.plans[plan]
	m := &Machine{Name: name, Plan: plan, Since: now}
	c.machines[name] = m
	m.move(Cordoned)
	p.active++
	p.refused = 0
	c.active = append(c.active, m)
	c.sortActive()
	c.dequeue(p, name)
	p.queue = slices.DeleteFunc(p.queue, func(o string) bool { return o == name })
	c.roster.changed(m)
	return m
}

// Defer puts a machine behind all others of its plan, whether it is cordoned already or only
// proposed: it can't be emptied now.
func (c *Coordinator) Defer(now time.Time, name, plan string, why Verdict) {
	p := c.plans[plan]
	p.deferred[name] = why
	if m := c.machines[name]; m != nil {
		c.Move(m, Planned)
	}
	p.queue = slices.DeleteFunc(p.queue, func(o string) bool { return o == name })
	p.queue = append(p.queue, name)
	if !p.queued[name] {
		p.queued[name] = true
		c.queued[name]++
	}
	if p.refused++; p.refused >= len(p.queue) {
		p.refused, p.nextLook = 0, now.Add(lookAgain)
	}
}

// PlanWrite is a plan's record that is to be written over a version of it; Drop: that is to
// be dropped.
type PlanWrite struct {
	Plan    Plan
	Version uint64
	Drop    bool
}

const (
	// planRetry is the pause after a write of a plan's record.
	planRetry = 2 * time.Second
	// keptPlans is how many plans that are over are kept for operators to look at.
	keptPlans = 20
)

// PlanWrites lists records of plans that change by themselves: the last machine of a new
// plan, the end of one whose machines are all gone, or whose deadline has passed, and plans
// that have long been over. Newest is the last machine known; complete tells whether all
// machines that exist are known.
func (c *Coordinator) PlanWrites(now time.Time, newest string, complete bool) []PlanWrite {
	var out []PlanWrite
	for _, p := range c.order {
		next, changes := c.nextRecord(now, p, newest, complete)
		if changes && !p.writing && !now.Before(p.retryAt) {
			p.writing = true
			out = append(out, PlanWrite{Plan: next, Version: p.version, Drop: p.Phase.Final()})
		}
	}
	return out
}

// nextRecord is what a plan's record is to become by itself.
func (c *Coordinator) nextRecord(now time.Time, p *planState, newest string, complete bool) (next Plan, changes bool) {
	next = p.Plan
	switch end := p.End(); {
	case p.Phase.Final():
		return next, c.isOldest(p)
	case !end.IsZero() && now.After(end):
		return next, next.MoveTo(Expired)
	case p.Through == "" && newest != "" && complete:
		next.Through = newest
		return next, true
	case p.Through != "" && len(p.queue) == 0 && p.active == 0 && complete && now.Sub(p.takenIn) > settleTime:
		return next, next.MoveTo(Completed)
	}
	return next, false
}

// isOldest tells whether a plan is the first to be forgotten of more plans that are over than
// are kept. One with machines that stay cordoned isn't forgotten.
func (c *Coordinator) isOldest(p *planState) bool {
	var finished []*planState
	for _, o := range c.order {
		if o.Phase.Final() {
			finished = append(finished, o)
		}
	}
	if len(finished) <= keptPlans {
		return false
	}
	oldest := slices.IndexFunc(finished, func(o *planState) bool { return len(c.machinesOf(o.ID)) == 0 })
	return oldest >= 0 && finished[oldest] == p
}

// settleTime is how long a leader has to know a plan before it can find that none of its
// machines is left.
const settleTime = 10 * time.Second

// PlanWritten notes that a write of a plan's record has ended. The record as it now is comes
// by SetPlan, unless it was dropped.
func (c *Coordinator) PlanWritten(now time.Time, w PlanWrite, ok bool) {
	p := c.plans[w.Plan.ID]
	if p == nil {
		return
	}
	p.writing, p.retryAt = false, now.Add(planRetry)
	if w.Drop && ok {
		delete(c.plans, p.ID)
		c.order = slices.DeleteFunc(c.order, func(o *planState) bool { return o == p })
	}
}
