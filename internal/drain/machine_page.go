package drain

import (
	"slices"
	"strings"
)

// MachineEntry is one machine in a stored page. Machines that are Planned or Uncordoned have none.
type MachineEntry struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Plan    string
	State   MachineState
	SinceMS int64 // when the machine was cordoned, in Unix milliseconds
}

// MachinePage is the stored form of one page of machines.
type MachinePage struct {
	Machines []MachineEntry `cbor:"m"`
}

// StoredMachinePage is a page of machines as the state service holds it.
type StoredMachinePage struct {
	Name    string
	Version uint64
	Record  MachinePage
}

// entryBytes is an upper bound of the stored size of an entry without the names of its machine and
// plan. The state service measures values in their JSON form.
const entryBytes = 28

// bytes returns an upper bound of the space that the machine takes on a page.
func (m *Machine) bytes() int { return entryBytes + len(m.Name) + len(m.Plan) }

// machinePage is one page of machines and the state of its writes.
type machinePage struct {
	pageState
	machines      map[*Machine]bool
	mayExist      bool                      // the state service may hold the page
	statesInWrite map[*Machine]MachineState // the states that the write under way contains
	// removed holds the machines that were taken off the page and that the stored page may still
	// name, in the order of their removal. The write under way lacks the first removedInWrite of
	// them.
	removed        []string
	removedInWrite int
	writtenAfter   *machinePage // has to be stored before this page is written; nil: none
}

// add puts a machine on the page.
func (p *machinePage) add(m *Machine) {
	p.machines[m] = true
	p.bytes += m.bytes()
	m.page = p
}

// remove takes a machine off the page.
func (p *machinePage) remove(m *Machine) {
	delete(p.machines, m)
	p.bytes -= m.bytes()
}

// sorted lists the machines of the page by name.
func (p *machinePage) sorted() []*Machine {
	out := make([]*Machine, 0, len(p.machines))
	for m := range p.machines {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// record returns the stored form of the page.
func (p *machinePage) record() MachinePage {
	out := MachinePage{}
	for _, m := range p.sorted() {
		entry := MachineEntry{Name: m.Name, Plan: m.Plan, State: m.state, SinceMS: m.CordonedAt.UnixMilli()}
		out.Machines = append(out.Machines, entry)
	}
	return out
}
