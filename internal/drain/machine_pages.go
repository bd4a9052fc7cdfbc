package drain

import "slices"

// machinePages divides the machines of plans into pages that fit a value of the state service, and
// keeps track of which pages have to be written. Only the leader writes them, under its term.
type machinePages struct {
	newName   func() string // returns a page name that was never used before
	pageLimit func() int    // returns how many bytes a page may have
	byName    map[string]*machinePage
	filling   *machinePage // takes new machines; nil: the next machine starts a new page
	dirty     map[*machinePage]bool
	// removed holds, by machine, the number of pages that it was taken off and whose stored form
	// may still name it.
	removed map[string]int
}

func newMachinePages(newName func() string, pageLimit func() int) machinePages {
	return machinePages{newName: newName, pageLimit: pageLimit, byName: map[string]*machinePage{},
		dirty: map[*machinePage]bool{}, removed: map[string]int{}}
}

// newPage adds an empty page.
func (s *machinePages) newPage(name string) *machinePage {
	p := &machinePage{pageState: pageState{name: name, bytes: pageBytes}, machines: map[*Machine]bool{}}
	s.byName[name] = p
	return p
}

// recover adds a page that the state service holds, and returns its machines.
func (s *machinePages) recover(stored StoredMachinePage) []*Machine {
	p := s.newPage(stored.Name)
	p.mayExist, p.version = true, stored.Version
	var out []*Machine
	for _, e := range stored.Record.Machines {
		m := &Machine{Name: e.Name, Plan: e.Plan, CordonedAt: timeOf(e.SinceMS), state: e.State, stored: e.State}
		p.add(m)
		out = append(out, m)
	}
	return out
}

// changed marks a machine's page as having to be written. A machine that is on no page is put on the
// one that is being filled.
func (s *machinePages) changed(m *Machine) {
	if m.page == nil {
		if s.filling == nil || s.filling.bytes+m.bytes() > s.pageLimit() {
			s.filling = s.newPage(s.newName())
		}
		s.filling.add(m)
	}
	s.dirty[m.page] = true
}

// remove takes a machine off its page. Until the page is written without it, a new leader may still
// find it there.
func (s *machinePages) remove(m *Machine) {
	p := m.page
	if p == nil {
		return
	}
	p.remove(m)
	s.dirty[p] = true
	if p.mayExist || p.writing {
		p.removed = append(p.removed, m.Name)
		s.removed[m.Name]++
	}
	m.page, m.stored = nil, Planned
}

// mayBeStored reports whether a machine was taken off a page whose stored form may still name it.
func (s *machinePages) mayBeStored(machine string) bool { return s.removed[machine] > 0 }

// writes lists the writes of changed pages that may start now, sorted by name and no more than the
// limit. A page without machines is deleted if it may exist.
func (s *machinePages) writes(limit int) []MachinePageWrite {
	var names []string
	for p := range s.dirty {
		switch {
		case p.writing || p.writtenAfter != nil:
		case len(p.machines) == 0 && !p.mayExist:
			delete(s.dirty, p)
		default:
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	var out []MachinePageWrite
	for _, name := range names[:min(limit, len(names))] {
		p := s.byName[name]
		out = append(out, MachinePageWrite{Name: name, Version: p.version, Record: p.record(), Delete: len(p.machines) == 0})
	}
	return out
}

// writeStarted records that a write of a page is under way, with the states that its machines have
// now.
func (s *machinePages) writeStarted(name string) {
	p := s.byName[name]
	if p == nil {
		return
	}
	delete(s.dirty, p)
	p.writing, p.statesInWrite, p.removedInWrite = true, map[*Machine]MachineState{}, len(p.removed)
	for m := range p.machines {
		p.statesInWrite[m] = m.state
	}
}

// writeEnded records the outcome of a write of a page, and returns the machines that the stored page
// no longer names. Even if the write isn't known to have been carried out, the state service may hold
// what was sent.
func (s *machinePages) writeEnded(name string, outcome PageWriteOutcome) []string {
	p := s.byName[name]
	if p == nil {
		return nil
	}
	p.writeEnded(outcome)
	p.mayExist = true
	if !outcome.OK {
		s.dirty[p] = true
		return nil
	}
	return s.written(p)
}

// written records that the state service holds a page as it was sent, or has deleted it if it was
// sent without machines. It returns the machines that the stored page no longer names.
func (s *machinePages) written(p *machinePage) []string {
	noLongerStored := p.removed[:p.removedInWrite:p.removedInWrite]
	p.removed = p.removed[p.removedInWrite:]
	for _, machine := range noLongerStored {
		if s.removed[machine]--; s.removed[machine] == 0 {
			delete(s.removed, machine)
		}
	}
	if len(p.statesInWrite) == 0 {
		p.mayExist = false
		if len(p.machines) == 0 && p != s.filling {
			delete(s.byName, p.name)
		}
	}
	for m, state := range p.statesInWrite {
		if m.page == p {
			m.stored = state
		}
	}
	for waiting := range s.dirty {
		if waiting.writtenAfter == p {
			waiting.writtenAfter = nil
		}
	}
	return noLongerStored
}

// split moves half of the machines of a page that the state service has rejected to a new page. The
// new page is written first, so that a stored machine is on some stored page at any time. A page with
// a single machine is only marked to be written again.
func (s *machinePages) split(name string) {
	p := s.byName[name]
	if p == nil {
		return
	}
	p.writing = false
	s.dirty[p] = true
	if s.filling == p {
		s.filling = nil
	}
	machines := p.sorted()
	if len(machines) < 2 {
		return
	}
	second := s.newPage(s.newName())
	for _, m := range machines[len(machines)/2:] {
		p.remove(m)
		second.add(m)
	}
	p.writtenAfter = second
	s.dirty[second] = true
}
