package drain

import (
	"sort"
	"time"
)

// Status is what operators are shown of drains.
type Status struct {
	Plans  []PlanStatus   `json:"plans"` // the oldest first
	Scopes []ScopeStatus  `json:"interruptions,omitempty"`
	States map[string]int `json:"machines"` // of all plans, by state
}

// PlanStatus is a plan with its progress.
type PlanStatus struct {
	Plan
	PhaseName string          `json:"phase_name"`
	Machines  map[string]int  `json:"machines"` // by state
	Waiting   []MachineStatus `json:"waiting,omitempty"`
	More      int             `json:"more,omitempty"` // that wait and aren't listed
}

// MachineStatus is a machine that isn't empty yet, and why.
type MachineStatus struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// ScopeStatus is what a team or class has been interrupted, and what its budget allows.
type ScopeStatus struct {
	Scope
	Totals
	InWindow int           `json:"in_window"`
	Limit    int           `json:"limit"` // in the window; -1: none
	Window   time.Duration `json:"window,omitempty"`
}

// listedMachines is how many machines of a plan a status lists.
const listedMachines = 100

// Status tells of all plans and budgets.
func (c *Coordinator) Status(now time.Time) Status {
	s := Status{States: map[string]int{}}
	for _, p := range c.order {
		plan := c.planStatus(p)
		for state, n := range plan.Machines {
			s.States[state] += n
		}
		s.Plans = append(s.Plans, plan)
	}
	s.Scopes = c.scopes(now)
	return s
}

func (c *Coordinator) planStatus(p *planState) PlanStatus {
	out := PlanStatus{Plan: p.Plan, PhaseName: p.Phase.String(), Machines: map[string]int{}}
	list := func(name string, state MachineState, why Verdict) {
		if len(out.Waiting) >= listedMachines {
			out.More++
			return
		}
		out.Waiting = append(out.Waiting, MachineStatus{Name: name, State: state.String(), Reason: why.String()})
	}
	for _, m := range c.machinesOf(p.ID) {
		out.Machines[m.state.String()]++
		if m.state != Released {
			list(m.Name, m.state, m.Verdict)
		}
	}
	for _, name := range p.queue {
		out.Machines[Planned.String()]++
		list(name, Planned, p.deferred[name])
	}
	return out
}

// scopes tells of every budget, and of all that was interrupted without one.
func (c *Coordinator) scopes(now time.Time) []ScopeStatus {
	byScope := map[Scope]*ScopeStatus{}
	of := func(scope Scope) *ScopeStatus {
		if byScope[scope] == nil {
			byScope[scope] = &ScopeStatus{Scope: scope, Limit: Unlimited}
		}
		return byScope[scope]
	}
	for scope, budget := range c.Policy.Budgets {
		s := of(scope)
		s.Limit, s.Window = budget.WindowInterruptions, budget.Window
		if budget.Window > 0 {
			s.InWindow, _ = c.Ledger.windowUse(scope, budget.Window, now, nil)
		}
	}
	for scope, totals := range c.Ledger.totals {
		for _, of := range []*ScopeStatus{of(scope), of(Scope{Team: scope.Team})} {
			of.Voluntary += totals.Voluntary
			of.Involuntary += totals.Involuntary
		}
	}
	var out []ScopeStatus
	for _, s := range byScope {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Scope.Compare(out[k].Scope) < 0 })
	return out
}
