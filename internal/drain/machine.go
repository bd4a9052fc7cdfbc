package drain

import (
	"slices"
	"time"
)

// MachineState says how far a machine of a plan is.
type MachineState uint8

// States of a machine in a plan.
const (
	Planned    MachineState = iota // in the plan's queue
	Cordoned                       // gets no more starts
	Replacing                      // waits until a replacement has been created and has booted
	Emptying                       // its tasks finish or are evicted
	Empty                          // has no tasks any more and will be scaled in
	Released                       // no longer exists
	Uncordoned                     // the plan was cancelled, or its deadline has passed
	Failed                         // the plan's deadline has passed, and it stays cordoned
)

var machineStateNames = [...]string{
	"planned", "cordoned", "replacing", "emptying", "empty", "released", "uncordoned", "failed",
}

// String returns the state's name, as operators see it.
func (s MachineState) String() string { return machineStateNames[s] }

// machineChanges lists the states that may follow each state.
var machineChanges = map[MachineState][]MachineState{
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
	Checked    time.Time // when it was last looked at

	state  MachineState
	stored MachineState // the state that the state service is known to hold
	page   *machinePage // nil: it is on no page
}

// State returns the machine's state.
func (m *Machine) State() MachineState { return m.state }

// CordonStored reports whether the state service is known to hold that the machine is cordoned.
func (m *Machine) CordonStored() bool { return m.stored.cordoned() }

// cordoned reports whether a machine in this state gets no starts.
func (s MachineState) cordoned() bool { return s != Planned && s != Uncordoned }

// active reports whether a machine in this state counts against its plan's MaxAtOnce.
func (s MachineState) active() bool { return s >= Cordoned && s <= Empty }

// move changes the machine's state, unless the present state doesn't allow that; then it returns
// false. No other function changes it.
func (m *Machine) move(to MachineState) bool {
	if !slices.Contains(machineChanges[m.state], to) {
		return false
	}
	m.state = to
	return true
}
