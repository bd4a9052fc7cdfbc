package drain

import (
	"slices"
	"time"
)

// Status is the state of all drains as shown to operators.
type Status struct {
	Plans  []PlanStatus   `json:"plans"` // the oldest first
	Scopes []ScopeStatus  `json:"interruptions,omitempty"`
	States map[string]int `json:"machines"` // number of machines of all plans, by state
}

// PlanStatus is a plan with its progress.
type PlanStatus struct {
	Plan
	PhaseName string          `json:"phase_name"`
	Machines  map[string]int  `json:"machines"` // number by state
	Waiting   []MachineStatus `json:"waiting,omitempty"`
	More      int             `json:"more,omitempty"` // how many machines Waiting leaves out
}

// MachineStatus is the state of a machine that still exists, and the reason why it isn't empty.
type MachineStatus struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// ScopeStatus says how often tasks in a scope were interrupted, and what its budget allows.
type ScopeStatus struct {
	Scope
	Totals
	InWindow int           `json:"in_window"`
	Limit    int           `json:"limit"` // of interruptions in the window, or Unlimited
	Window   time.Duration `json:"window,omitempty"`
}

// maxListedMachines is how many machines of a plan a status lists at most.
const maxListedMachines = 100

// Status returns the status of all plans and budgets.
func (c *Coordinator) Status(now time.Time) Status {
	s := Status{States: map[string]int{}}
	for _, p := range c.plans.byAge {
		plan := c.planStatus(p)
		for state, n := range plan.Machines {
			s.States[state] += n
		}
		s.Plans = append(s.Plans, plan)
	}
	s.Scopes = c.scopeStatus(now)
	return s
}

func (c *Coordinator) planStatus(p *planProgress) PlanStatus {
	out := PlanStatus{Plan: p.Plan, PhaseName: p.Phase.String(), Machines: map[string]int{}}
	list := func(name string, state MachineState, verdict Verdict) {
		if len(out.Waiting) >= maxListedMachines {
			out.More++
			return
		}
		out.Waiting = append(out.Waiting, MachineStatus{Name: name, State: state.String(), Reason: verdict.String()})
	}
	for _, m := range c.machines.of(p.ID) {
		out.Machines[m.state.String()]++
		if m.state != Released {
			list(m.Name, m.state, m.Verdict)
		}
	}
	for _, name := range p.queue.names {
		out.Machines[Planned.String()]++
		list(name, Planned, p.queue.deferredFor[name])
	}
	return out
}

// scopeStatus lists, sorted, every scope that has a budget or was interrupted. An interruption counts
// in the scope of the class and in that of the whole team.
func (c *Coordinator) scopeStatus(now time.Time) []ScopeStatus {
	byScope := map[Scope]*ScopeStatus{}
	statusOf := func(scope Scope) *ScopeStatus {
		if byScope[scope] == nil {
			byScope[scope] = &ScopeStatus{Scope: scope, Limit: Unlimited}
		}
		return byScope[scope]
	}
	for scope, budget := range c.Policy.Budgets {
		s := statusOf(scope)
		s.Limit, s.Window = budget.WindowInterruptions, budget.Window
		if budget.Window > 0 {
			s.InWindow, _ = c.Ledger.windows.count(scope, budget.Window, now, nil)
		}
	}
	for scope, totals := range c.Ledger.totals {
		for _, s := range []*ScopeStatus{statusOf(scope), statusOf(Scope{Team: scope.Team})} {
			s.Voluntary += totals.Voluntary
			s.Involuntary += totals.Involuntary
		}
	}
	var out []ScopeStatus
	for _, s := range byScope {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b ScopeStatus) int { return a.Scope.Compare(b.Scope) })
	return out
}
