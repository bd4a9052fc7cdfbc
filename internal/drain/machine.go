package drain

import (
	"slices"
	"strings"
	"time"
)

// MachineState is how far a machine of a plan is.
type MachineState uint8

// States of a machine in a plan.
const (
	Planned    MachineState = iota // it will be drained
	Cordoned                       // it gets no more starts
	Replacing                      // a replacement is rented or boots
	Emptying                       // its work finishes or is evicted
	Empty                          // nothing is on it any more; it is to be released
	Released                       // it is gone
	Uncordoned                     // the plan was cancelled, or its deadline has passed
	Failed                         // its deadline has passed, and it stays cordoned
)

var machineStateNames = [...]string{"planned", "cordoned", "replacing", "emptying", "empty", "released", "uncordoned", "failed"}

// String returns the state's name, as operators see it.
func (s MachineState) String() string { return machineStateNames[s] }

// machineChanges are the states that may follow each state.
var machineChanges = map[MachineState][]MachineState{
	Planned:   {Cordoned, Released, Uncordoned, Failed},
	Cordoned:  {Planned, Replacing, Emptying, Empty, Released, Uncordoned, Failed},
	Replacing: {Planned, Cordoned, Emptying, Empty, Released, Uncordoned, Failed},
	Emptying:  {Planned, Replacing, Empty, Released, Uncordoned, Failed},
	Empty:     {Released},
	Failed:    {Released, Uncordoned},
}

// Machine is a machine of a plan.
type Machine struct {
	Name, Plan string
	Since      time.Time // when it was last cordoned
	Verdict    Verdict   // why it isn't empty yet
	Checked    time.Time // when it was last looked at
	state      MachineState
	stored     MachineState // the state that the state service is known to hold
	page       *machinePage
}

// State returns the machine's state.
func (m *Machine) State() MachineState { return m.state }

// cordoned tells whether a machine in this state gets no starts.
func (s MachineState) cordoned() bool { return s != Planned && s != Uncordoned }

// active tells whether a machine in this state is being drained.
func (s MachineState) active() bool { return s >= Cordoned && s <= Empty }

// move is the one place where a machine of a plan changes state; false if nothing changes.
func (m *Machine) move(to MachineState) bool {
	if !slices.Contains(machineChanges[m.state], to) {
		return false
	}
	m.state = to
	return true
}

// MachineEntry is one machine in a stored page. Machines that are only planned, or were
// uncordoned, have none.
type MachineEntry struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Plan    string
	State   MachineState
	SinceMS int64
}

// MachinePage is the value of one page of machines.
type MachinePage struct {
	Machines []MachineEntry `cbor:"m"`
}

// What an entry takes of a page at the most besides its names, in the JSON form that the
// state service counts in.
const entryBytes = 28

func (m *Machine) bytes() int { return entryBytes + len(m.Name) + len(m.Plan) }

// machinePage is one value with the states of machines in the state service.
type machinePage struct {
	name       string
	version    uint64 // in the state service; 0: it is not there as far as is known
	machines   map[*Machine]bool
	bytes      int
	sending    bool
	inStore    bool
	sent       map[*Machine]MachineState // by the write under way
	lifted     []string                  // machines that were on it and may be so in the store
	sentLifted int                       // how many of them the write under way has removed
	after      *machinePage              // which is to be written first; nil: none
}

// sorted lists the machines of a page by name.
func (p *machinePage) sorted() []*Machine {
	out := make([]*Machine, 0, len(p.machines))
	for m := range p.machines {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// record is the page in its stored form.
func (p *machinePage) record() MachinePage {
	out := MachinePage{}
	for _, m := range p.sorted() {
		out.Machines = append(out.Machines, MachineEntry{Name: m.Name, Plan: m.Plan, State: m.state, SinceMS: m.Since.UnixMilli()})
	}
	return out
}
