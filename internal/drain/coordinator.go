package drain

import "time"

// Coordinator tracks all plans during one term of a leader: which machines are to be cordoned next,
// which are being drained, and the state of each.
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

// Stored holds everything about drains that the state service has.
type Stored struct {
	Plans    []StoredPlan
	Machines []StoredMachinePage
	Charges  []StoredChargePage
}

// NewCoordinator returns a coordinator that continues from what the state service holds. The function
// newName returns a page name that was never used before; pageLimit returns how many bytes a page
// may have.
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
		c.endPlan(p)
	}
	return c
}

// adopt adds a recovered machine to those that are being drained, if its state is an active one. A
// machine whose plan no longer exists, was cancelled or is completed is removed: no plan claims it any
// more.
func (c *Coordinator) adopt(m *Machine) {
	p := c.plans.byID[m.Plan]
	switch {
	case p == nil || p.Phase == Cancelled || p.Phase == Completed:
		c.machines.remove(m)
	case m.state.active():
		c.machines.activate(m)
	}
}

// PlanStored updates a plan to the record that the state service holds, unless this or a newer
// version is known already. It returns the machines that are uncordoned as a result. If needsMachines
// is true, the caller has to call MachineAdded for all machines: only now does the plan say to which
// of them it applies.
func (c *Coordinator) PlanStored(now time.Time, stored StoredPlan) (uncordoned []string, needsMachines bool) {
	p := c.plans.byID[stored.Plan.ID]
	if p != nil && stored.Version <= p.version {
		return nil, false
	}
	needsMachines = stored.Plan.Through != "" && (p == nil || p.Through == "")
	p = c.plans.put(now, stored)
	if p.Phase.Final() {
		uncordoned = c.endPlan(p)
	}
	return uncordoned, needsMachines
}

// endPlan ends the work of a plan that is over: it clears the plan's queue, uncordons its machines
// and returns them. If the plan has expired and has KeepCordoned set, its machines become Failed
// instead and stay cordoned. Machines that are already empty are still scaled in.
func (c *Coordinator) endPlan(p *planProgress) (uncordoned []string) {
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

// Move changes a machine's state, or returns false if its present state doesn't allow that.
func (c *Coordinator) Move(m *Machine, to MachineState) bool { return c.machines.move(m, to) }

// MachineAdded records that a machine exists. The machine is queued for every unfinished plan that
// selects it and hasn't claimed it yet.
func (c *Coordinator) MachineAdded(m MachineInfo) {
	for _, p := range c.plans.byAge {
		if p.takesMachines() && !p.queue.queued[m.Name] && p.Selects(m) && !c.machines.claimed(m.Name, p.ID) {
			p.queue.insert(m.Name)
		}
	}
}

// MachineRemoved records that a machine no longer exists: it is taken out of all queues, and is
// Released if a plan has claimed it.
func (c *Coordinator) MachineRemoved(name string) {
	if m := c.machines.byName[name]; m != nil {
		c.machines.move(m, Released)
	}
	for _, p := range c.plans.byAge {
		p.queue.remove(name)
	}
}

// Cordoned reports whether no task may be started on a machine. A machine that was uncordoned still
// counts as cordoned until the state service has stored the change, since a leader that takes over
// before that would find it cordoned.
func (c *Coordinator) Cordoned(name string) bool {
	m := c.machines.byName[name]
	return m != nil && m.state.cordoned() || c.machines.pages.mayBeStored(name)
}

// Emptied reports whether a plan has emptied a machine. If it still exists, it has to be scaled in.
func (c *Coordinator) Emptied(name string) bool {
	m := c.machines.byName[name]
	return m != nil && (m.state == Empty || m.state == Released)
}

// Queued reports whether a machine is in the queue of any plan.
func (c *Coordinator) Queued(name string) bool { return c.plans.queued(name) }

// Machine returns the machine with a name, or nil if no plan has claimed it.
func (c *Coordinator) Machine(name string) *Machine { return c.machines.byName[name] }

// PlanPhase returns the phase of the plan that has claimed a machine.
func (c *Coordinator) PlanPhase(m *Machine) Phase { return c.plans.byID[m.Plan].Phase }

// Surge returns the Surge of the plan that has claimed a machine.
func (c *Coordinator) Surge(m *Machine) int { return c.plans.byID[m.Plan].Surge }

// PlanDeadline returns the deadline of a plan, or the zero time if it has none.
func (c *Coordinator) PlanDeadline(plan string) time.Time { return c.plans.byID[plan].DeadlineAt() }

// NextActive returns machines that are being drained, no more than the limit. Successive calls go
// through all of them round-robin.
func (c *Coordinator) NextActive(limit int) []*Machine { return c.machines.nextActive(limit) }

// NextToCordon proposes a machine to be cordoned, and the plan that it is for; both are empty if no
// plan can take another machine now. The caller answers each proposal with Cordon, DeferMachine or,
// if the machine no longer exists, MachineRemoved. A plan whose queue holds no machine that it could
// claim is passed over for queueRetryInterval.
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

// Cordon claims a proposed machine for its plan and cordons it.
func (c *Coordinator) Cordon(now time.Time, name, plan string) *Machine {
	queue := &c.plans.byID[plan].queue
	queue.deferredInRow = 0
	queue.remove(name)
	return c.machines.cordon(now, name, plan)
}

// DeferMachine puts a machine at the end of its plan's queue, since it can't be emptied now. It may
// be one that was proposed, or one that the plan has cordoned already; the latter is uncordoned.
func (c *Coordinator) DeferMachine(now time.Time, name, plan string, reason Verdict) {
	if m := c.machines.byName[name]; m != nil {
		c.machines.move(m, Planned)
	}
	c.plans.byID[plan].queue.deferMachine(now, name, reason)
}

// MachinePageWrites lists the writes of pages of machines that are due, no more than the limit.
func (c *Coordinator) MachinePageWrites(limit int) []MachinePageWrite {
	return c.machines.pages.writes(limit)
}

// Pending reports whether any page of machines or charges has changed since its last write started,
// or has to be written again.
func (c *Coordinator) Pending() bool { return len(c.machines.pages.dirty) > 0 || c.Ledger.Pending() }

// MachinePageWriteStarted records that a write of a page of machines is under way.
func (c *Coordinator) MachinePageWriteStarted(name string) { c.machines.pages.writeStarted(name) }

// MachinePageRejected splits a page of machines in two. It is to be called when the state service has
// rejected the page for a reason other than its version, which means that the page is too large.
func (c *Coordinator) MachinePageRejected(name string) { c.machines.pages.split(name) }

// MachinePageWritten records the outcome of a write of a page of machines, and returns the machines
// that the stored page no longer names.
func (c *Coordinator) MachinePageWritten(name string, outcome PageWriteOutcome) []string {
	return c.machines.pages.writeEnded(name, outcome)
}
