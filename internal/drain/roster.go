package drain

import "sort"

// roster keeps the states of machines in pages of the state service. Only the leader writes
// them, under its term.
type roster struct {
	newName   func() string
	pageLimit func() int
	pages     map[string]*machinePage
	open      *machinePage
	dirty     map[*machinePage]bool
	lifting   map[string]int // machines that are off their pages here, and may be on them in the store
}

func newRoster(newName func() string, pageLimit func() int) *roster {
	return &roster{newName: newName, pageLimit: pageLimit, pages: map[string]*machinePage{}, dirty: map[*machinePage]bool{}, lifting: map[string]int{}}
}

func (r *roster) newPage(name string) *machinePage {
	p := &machinePage{name: name, bytes: pageBytes, machines: map[*Machine]bool{}}
	r.pages[name] = p
	return p
}

// recover takes in a page that the state service holds.
func (r *roster) recover(stored StoredMachines) []*Machine {
	p := r.newPage(stored.Name)
	p.inStore, p.version = true, stored.Version
	var out []*Machine
	for _, e := range stored.Record.Machines {
		m := &Machine{Name: e.Name, Plan: e.Plan, Since: timeOf(e.SinceMS), state: e.State, stored: e.State, page: p}
		p.machines[m] = true
		p.bytes += m.bytes()
		out = append(out, m)
	}
	return out
}

// changed notes that a machine's state is to be written.
func (r *roster) changed(m *Machine) {
	if m.page == nil {
		if r.open == nil || r.open.bytes+m.bytes() > r.pageLimit() {
			r.open = r.newPage(r.newName())
		}
		m.page = r.open
		m.page.machines[m] = true
		m.page.bytes += m.bytes()
	}
	r.dirty[m.page] = true
}

// remove takes a machine off its page.
func (r *roster) remove(m *Machine) {
	if m.page == nil {
		return
	}
	delete(m.page.machines, m)
	m.page.bytes -= m.bytes()
	r.dirty[m.page] = true
	if m.page.inStore || m.page.sending {
		m.page.lifted = append(m.page.lifted, m.Name)
		r.lifting[m.Name]++
	}
	m.page, m.stored = nil, Planned
}

// MachineWrite is a page of machines that is to be written over a version of it; Drop: to be
// dropped.
type MachineWrite struct {
	Name    string
	Version uint64
	Record  MachinePage
	Drop    bool
}

// writes lists pages that are to be written now, some at the most.
func (r *roster) writes(most int) []MachineWrite {
	var names []string
	for p := range r.dirty {
		switch {
		case p.sending || p.after != nil:
		case len(p.machines) == 0 && !p.inStore:
			delete(r.dirty, p)
		default:
			names = append(names, p.name)
		}
	}
	sort.Strings(names)
	var out []MachineWrite
	for _, name := range names[:min(most, len(names))] {
		p := r.pages[name]
		out = append(out, MachineWrite{Name: name, Version: p.version, Record: p.record(), Drop: len(p.machines) == 0})
	}
	return out
}

// started notes that a page is on its way to the state service.
func (r *roster) started(name string) {
	p := r.pages[name]
	if p == nil {
		return
	}
	delete(r.dirty, p)
	p.sending, p.sent, p.sentLifted = true, map[*Machine]MachineState{}, len(p.lifted)
	for m := range p.machines {
		p.sent[m] = m.state
	}
}

// written brings the outcome of a write of a page, and returns the machines that the state
// service no longer holds there. After a write that failed, it may hold what was sent all the
// same.
func (r *roster) written(name string, outcome Outcome) []string {
	p := r.pages[name]
	if p == nil {
		return nil
	}
	p.sending, p.inStore = false, true
	if outcome.OK || outcome.Known {
		p.version = outcome.Version
	}
	if !outcome.OK {
		r.dirty[p] = true
		return nil
	}
	lifted := p.lifted[:p.sentLifted:p.sentLifted]
	p.lifted = p.lifted[p.sentLifted:]
	for _, name := range lifted {
		if r.lifting[name]--; r.lifting[name] == 0 {
			delete(r.lifting, name)
		}
	}
	if len(p.sent) == 0 {
		p.inStore = false
		if len(p.machines) == 0 && p != r.open {
			delete(r.pages, name)
		}
	}
	for m, state := range p.sent {
		if m.page == p {
			m.stored = state
		}
	}
	for o := range r.dirty {
		if o.after == p {
			o.after = nil
		}
	}
	return lifted
}

// refused takes in that the state service takes a page under no circumstances: half of its
// machines move to a page of their own, which is written first.
func (r *roster) refused(name string) {
	p := r.pages[name]
	if p == nil {
		return
	}
	p.sending = false
	r.dirty[p] = true
	if r.open == p {
		r.open = nil
	}
	machines := p.sorted()
	if len(machines) < 2 {
		return
	}
	next := r.newPage(r.newName())
	for _, m := range machines[len(machines)/2:] {
		delete(p.machines, m)
		p.bytes -= m.bytes()
		next.machines[m] = true
		next.bytes += m.bytes()
		m.page = next
	}
	p.after = next
	r.dirty[next] = true
}

// Writes lists pages of machines that are to be written now, some at the most.
func (c *Coordinator) Writes(most int) []MachineWrite { return c.roster.writes(most) }

// Pending tells whether a page of machines or charges is to be written.
func (c *Coordinator) Pending() bool { return len(c.roster.dirty) > 0 || c.Ledger.Pending() }

// WriteStarted notes that a page of machines is on its way to the state service.
func (c *Coordinator) WriteStarted(name string) { c.roster.started(name) }

// Refused takes in that the state service takes a page of machines under no circumstances.
func (c *Coordinator) Refused(name string) { c.roster.refused(name) }

// Written brings the outcome of a write of a page of machines. It returns those that aren't on
// it any more.
func (c *Coordinator) Written(name string, outcome Outcome) []string {
	return c.roster.written(name, outcome)
}

// CordonStored tells whether the state service holds that a machine gets no starts.
func (m *Machine) CordonStored() bool { return m.stored.cordoned() }
