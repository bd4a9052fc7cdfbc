package drain

import "time"

// Coordinator is a leader's view of all plans for one term: which machines are to be cordoned next,
// which are being drained, and how far each is.
type Coordinator struct {
	Policy *Policy
	Ledger *Ledger

	plans    planSet
	machines machineSet
}

// StoredPlan is a plan with its version in the state service.
type StoredPlan struct {
	Plan    Plan
	Version uint64
}

// Stored is all that the state service holds of drains.
type Stored struct {
	Plans    []StoredPlan
	Machines []StoredMachines
	Charges  []StoredCharges
}

// NewCoordinator goes on from what the state service holds. The function newName returns a name
// that no page has had; pageLimit returns how many bytes a page may have.
func NewCoordinator(
	now time.Time, policy *Policy, stored Stored, newName func() string, pageLimit func() int,
) *Coordinator {
	c := &Coordinator{
		Policy:   policy,
		Ledger:   NewLedger(policy, newName, pageLimit),
		plans:    newPlanSet(),
		machines: newMachineSet(newMachinePages(newName, pageLimit)),
	}
	for _, page := range stored.Charges {
		c.Ledger.Recover(page)
	}
	for _, page := range stored.Machines {
		c.machines.recover(page)
	}
	for _, plan := range stored.Plans {
		c.plans.put(now, plan)
	}
	for _, m := range c.machines.all() {
		c.adopt(m)
	}
	for _, p := range c.plans.finished() {
		c.scaleInMachines(p)
	}
	return c
}

// adopt takes a recovered machine into its plan's counts. One whose plan no longer exists, was
// cancelled or is completed is no longer claimed.
func (c *Coordinator) adopt(m *Machine) {
	p := c.plans.byID[m.Plan]
	switch {
	case p == nil || p.Phase == Cancelled || p.Phase == Completed:
		c.machines.remove(m)
	case m.state.active():
		c.machines.activate(m)
	}
}

// PlanStored takes in a plan's record as the state service holds it. It returns the machines that are
// uncordoned thereby. If needsMachines is true, the caller has to Add all machines: the plan can
// now say which of them it applies to.
func (c *Coordinator) PlanStored(now time.Time, stored StoredPlan) (uncordoned []string, needsMachines bool) {
	p := c.plans.byID[stored.Plan.ID]
	if p != nil && stored.Version <= p.version {
		return nil, false
	}
	needsMachines = stored.Plan.Through != "" && (p == nil || p.Through == "")
	p = c.plans.put(now, stored)
	if p.Phase.Final() {
		uncordoned = c.scaleInMachines(p)
	}
	return uncordoned, needsMachines
}

// scaleInMachines ends the work of a plan that is over. Its queue is cleared and its machines are
// uncordoned; if it has expired and says so, they stay cordoned instead. Machines that are empty
// already go on to be scaled in.
func (c *Coordinator) scaleInMachines(p *planProgress) (uncordoned []string) {
	p.queue.clear()
	end := Uncordoned
	if p.Phase == Expired && p.KeepCordoned {
		end = Failed
	}
	for _, m := range c.machines.of(p.ID) {
		if c.machines.move(m, end) && end == Uncordoned {
			uncordoned = append(uncordoned, m.Name)
		}
		if m.state == Released {
			c.machines.remove(m)
		}
	}
	return uncordoned
}

// Move changes a machine's state; false if its present state doesn't allow that.
func (c *Coordinator) Move(m *Machine, to MachineState) bool { return c.machines.move(m, to) }

// MachineAdded tells of a machine that exists: it is queued for all plans that select it.
func (c *Coordinator) MachineAdded(id MachineID) {
	for _, p := range c.plans.byAge {
		if p.takesMachines() && !p.queue.queued[id.Name] && p.Selects(id) && !c.machines.claimed(id.Name, p.ID) {
			p.queue.insert(id.Name)
		}
	}
}

// MachineRemoved tells that a machine no longer exists.
func (c *Coordinator) MachineRemoved(name string) {
	if m := c.machines.byName[name]; m != nil {
		c.machines.move(m, Released)
	}
	for _, p := range c.plans.byAge {
		p.queue.remove(name)
	}
}

// Cordoned reports whether a machine gets no starts. One that was uncordoned here gets none until
// the state service holds that, since a leader that takes over earlier would still find it cordoned.
func (c *Coordinator) Cordoned(name string) bool {
	m := c.machines.byName[name]
	return m != nil && m.state.cordoned() || c.machines.pages.mayBeStored(name)
}

// Emptied reports whether a machine was emptied: if it still exists, it has to be scaled in.
func (c *Coordinator) Emptied(name string) bool {
	m := c.machines.byName[name]
	return m != nil && (m.state == Empty || m.state == Released)
}

// Queued reports whether a machine is in the queue of a plan.
func (c *Coordinator) Queued(name string) bool { return c.plans.queued(name) }

// Machine returns the machine of a name if a plan has claimed it, and else nil.
func (c *Coordinator) Machine(name string) *Machine { return c.machines.byName[name] }

// PlanPhase returns the phase of a machine's plan.
func (c *Coordinator) PlanPhase(m *Machine) Phase { return c.plans.byID[m.Plan].Phase }

// Surge returns how many replacements a machine's plan may have created ahead.
func (c *Coordinator) Surge(m *Machine) int { return c.plans.byID[m.Plan].Surge }

// PlanDeadline returns the deadline of a plan; zero if it has none.
func (c *Coordinator) PlanDeadline(plan string) time.Time { return c.plans.byID[plan].DeadlineAt() }

// NextActive lists machines that are being drained, no more than the limit. Successive calls go
// through all of them in turn.
func (c *Coordinator) NextActive(limit int) []*Machine { return c.machines.nextActive(limit) }

// NextToCordon proposes a machine to be cordoned, and the plan that it is for; both are empty if no plan
// can take another machine now. The caller answers each proposal by Cordon or Defer.
func (c *Coordinator) NextToCordon(now time.Time) (name, plan string) {
	for _, p := range c.plans.byAge {
		hasRoom := c.machines.activeByPlan[p.ID] < p.MaxAtOnce
		if p.Phase != Running || p.Through == "" || !hasRoom || now.Before(p.queue.retryAt) {
			continue
		}
		for _, name := range p.queue.names {
			if c.machines.byName[name] == nil {
				return name, p.ID
			}
		}
		p.queue.retryAt = now.Add(queueRetryInterval)
	}
	return "", ""
}

// Cordon has a plan claim the machine that was proposed for it.
func (c *Coordinator) Cordon(now time.Time, name, plan string) *Machine {
	queue := &c.plans.byID[plan].queue
	queue.deferredInRow = 0
	queue.remove(name)
	return c.machines.cordon(now, name, plan)
}

// DeferMachine puts a machine behind all others of its plan, since it can't be emptied now. It may be one
// that was proposed, or one that the plan has cordoned already.
func (c *Coordinator) DeferMachine(now time.Time, name, plan string, reason Verdict) {
	if m := c.machines.byName[name]; m != nil {
		c.machines.move(m, Planned)
	}
	c.plans.byID[plan].queue.deferMachine(now, name, reason)
}

// MachinePageWrites lists writes of pages of machines that are due now, no more than the limit.
func (c *Coordinator) MachinePageWrites(limit int) []MachinePageWrite {
	return c.machines.pages.writes(limit)
}

// Pending reports whether any page of machines or charges has changed since it was last written.
func (c *Coordinator) Pending() bool { return len(c.machines.pages.dirty) > 0 || c.Ledger.Pending() }

// MachinePageWriteStarted notes that a write of a page of machines is under way.
func (c *Coordinator) MachinePageWriteStarted(name string) { c.machines.pages.writeStarted(name) }

// MachinePageRejected takes in that the state service rejects a page of machines whatever its version: it is
// too large and is split in two.
func (c *Coordinator) MachinePageRejected(name string) { c.machines.pages.split(name) }

// MachinePageWritten takes in the outcome of a write of a page of machines, and returns the machines that the
// stored page no longer names.
func (c *Coordinator) MachinePageWritten(name string, outcome PageWriteOutcome) []string {
	return c.machines.pages.writeEnded(name, outcome)
}
