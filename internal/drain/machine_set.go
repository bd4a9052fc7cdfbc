package drain

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// machineSet holds the machines that plans have claimed, and the pages that they are stored in.
type machineSet struct {
	byName       map[string]*Machine
	active       []*Machine     // those that are being drained, by name
	activeByPlan map[string]int // how many of them each plan has
	lastReturned int            // position in active up to which nextActive has come
	pages        machinePages
}

func newMachineSet(pages machinePages) machineSet {
	return machineSet{byName: map[string]*Machine{}, activeByPlan: map[string]int{}, pages: pages}
}

// recover takes in the machines of a page that the state service holds.
func (s *machineSet) recover(stored StoredMachines) {
	for _, m := range s.pages.recover(stored) {
		s.byName[m.Name] = m
	}
}

// activate counts a machine among those that are being drained.
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

// cordon has a plan claim a machine.
func (s *machineSet) cordon(now time.Time, name, plan string) *Machine {
	m := &Machine{Name: name, Plan: plan, CordonedAt: now}
	s.byName[name] = m
	m.move(Cordoned)
	s.activate(m)
	s.pages.changed(m)
	return m
}

// move changes a machine's state; false if its present state doesn't allow that. A machine that is
// put back into the queue or uncordoned is no longer claimed.
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

// remove forgets a machine.
func (s *machineSet) remove(m *Machine) {
	delete(s.byName, m.Name)
	s.pages.remove(m)
}

// of lists the machines that a plan has claimed, by name.
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

// all lists all machines by name.
func (s *machineSet) all() []*Machine {
	return slices.SortedFunc(maps.Values(s.byName), compareNames)
}

// claimed reports whether a plan has claimed a machine.
func (s *machineSet) claimed(name, plan string) bool {
	m := s.byName[name]
	return m != nil && m.Plan == plan
}

// nextActive lists machines that are being drained, in turns, each at most once.
func (s *machineSet) nextActive(limit int) []*Machine {
	n := min(limit, len(s.active))
	out := make([]*Machine, 0, n)
	for range n {
		s.lastReturned++
		out = append(out, s.active[s.lastReturned%len(s.active)])
	}
	return out
}

func compareNames(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }
