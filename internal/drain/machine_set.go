package drain

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// machineSet holds the machines that plans have claimed and the pages in which they are stored.
type machineSet struct {
	byName       map[string]*Machine
	active       []*Machine     // those that are being drained, sorted by name
	activeByPlan map[string]int // by plan, how many machines it is draining
	cursor       int            // round-robin position of nextActive, taken modulo len(active)
	pages        machinePages
}

func newMachineSet(pages machinePages) machineSet {
	return machineSet{byName: map[string]*Machine{}, activeByPlan: map[string]int{}, pages: pages}
}

// recover adds the machines of a page that the state service holds.
func (s *machineSet) recover(stored StoredMachinePage) {
	for _, m := range s.pages.recover(stored) {
		s.byName[m.Name] = m
	}
}

// activate adds a machine to those that are being drained.
func (s *machineSet) activate(m *Machine) {
	at, _ := slices.BinarySearchFunc(s.active, m, compareNames)
	s.active = slices.Insert(s.active, at, m)
	s.activeByPlan[m.Plan]++
}

func (s *machineSet) deactivate(m *Machine) {
	s.active = slices.DeleteFunc(s.active, func(o *Machine) bool { return o == m })
	if s.activeByPlan[m.Plan]--; s.activeByPlan[m.Plan] == 0 {
		delete(s.activeByPlan, m.Plan)
	}
}

// cordon claims a machine for a plan, in state Cordoned.
func (s *machineSet) cordon(now time.Time, name, plan string) *Machine {
	m := &Machine{Name: name, Plan: plan, CordonedAt: now}
	s.byName[name] = m
	m.move(Cordoned)
	s.activate(m)
	s.pages.changed(m)
	return m
}

// move changes a machine's state, or returns false if its present state doesn't allow that. A machine
// that becomes Planned or Uncordoned is removed: its plan no longer claims it.
func (s *machineSet) move(m *Machine, to MachineState) bool {
	wasActive := m.state.active()
	if !m.move(to) {
		return false
	}
	if wasActive && !to.active() {
		s.deactivate(m)
	}
	if to == Planned || to == Uncordoned {
		s.remove(m)
	} else {
		s.pages.changed(m)
	}
	return true
}

// remove removes a machine that its plan no longer claims, also from its page.
func (s *machineSet) remove(m *Machine) {
	delete(s.byName, m.Name)
	s.pages.remove(m)
}

// of lists the machines that a plan has claimed, sorted by name.
func (s *machineSet) of(plan string) []*Machine {
	var out []*Machine
	for _, m := range s.byName {
		if m.Plan == plan {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareNames)
	return out
}

// all lists all machines, sorted by name.
func (s *machineSet) all() []*Machine {
	return slices.SortedFunc(maps.Values(s.byName), compareNames)
}

// claimed reports whether the given plan has claimed a machine.
func (s *machineSet) claimed(name, plan string) bool {
	m := s.byName[name]
	return m != nil && m.Plan == plan
}

// nextActive lists machines that are being drained, each at most once and no more than the limit.
// Successive calls go through all of them round-robin.
func (s *machineSet) nextActive(limit int) []*Machine {
	n := min(limit, len(s.active))
	out := make([]*Machine, 0, n)
	for range n {
		s.cursor++
		out = append(out, s.active[s.cursor%len(s.active)])
	}
	return out
}

func compareNames(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }
