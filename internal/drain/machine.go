package drain

import (
	"slices"
	"time"
)

// MachineState is the progress of a machine in a plan.
type MachineState uint8

// States of a machine in a plan.
const (
	Planned    MachineState = iota // in the plan's queue
	Cordoned                       // no more tasks are started on it
	Replacing                      // waits for a replacement to be created and to boot
	Emptying                       // waits for its tasks to finish or to be evicted
	Empty                          // has no tasks any more and will be scaled in
	Released                       // no longer exists
	Uncordoned                     // the plan was cancelled, or its deadline has passed
	Failed                         // the plan's deadline has passed, and it stays cordoned
)

var machineStateNames = [...]string{
	"planned", "cordoned", "replacing", "emptying", "empty", "released", "uncordoned", "failed",
}

// String returns the state's name as shown to operators.
func (s MachineState) String() string { return machineStateNames[s] }

// machineTransitions lists, for each state, the states that may follow it.
var machineTransitions = map[MachineState][]MachineState{
	Planned:   {Cordoned, Released, Uncordoned, Failed},
	Cordoned:  {Planned, Replacing, Emptying, Empty, Released, Uncordoned, Failed},
	Replacing: {Planned, Cordoned, Emptying, Empty, Released, Uncordoned, Failed},
	Emptying:  {Planned, Replacing, Empty, Released, Uncordoned, Failed},
	Empty:     {Released},
	Failed:    {Released, Uncordoned},
}

// Machine is a machine that a plan has claimed.
type Machine struct {
	Name, Plan string
	CordonedAt time.Time // when it was cordoned
	Verdict    Verdict   // why it isn't empty yet
	CheckedAt  time.Time // when it was last examined

	state  MachineState
	stored MachineState // the state that the state service is known to hold; Planned if it holds none
	page   *machinePage // nil: it is on no page
}

// State returns the machine's state.
func (m *Machine) State() MachineState { return m.state }

// CordonStored reports whether the state service is known to hold the machine as cordoned.
func (m *Machine) CordonStored() bool { return m.stored.cordoned() }

// cordoned reports whether no tasks are started on a machine in this state.
func (s MachineState) cordoned() bool { return s != Planned && s != Uncordoned }

// active reports whether a machine in this state counts against its plan's MaxAtOnce.
func (s MachineState) active() bool { return s >= Cordoned && s <= Empty }

// move changes the machine's state, or returns false if the present state doesn't allow that. The
// state is changed in no other way.
func (m *Machine) move(to MachineState) bool {
	if !slices.Contains(machineTransitions[m.state], to) {
		return false
	}
	m.state = to
	return true
}
