package recovery

// MachineState is how far the differences of a machine are settled.
type MachineState uint8

// States of a machine.
const (
	Expected  MachineState = iota // it is recorded, and hasn't sent a heartbeat in this term
	Reported                      // it has sent a heartbeat, but none with this term's fencing token
	Differing                     // it has sent one with the token, and an attempt on it still has to be ended
	Settled                       // all that is on it is known
	Missing                       // it was given up: its lease has expired, or it is being deleted
	Unknown                       // it isn't recorded, and hasn't sent a heartbeat with this term's fencing token
	machineStates
)

// machineStateNames are shown to operators; other programs may look for them, too.
var machineStateNames = [...]string{"expected", "reported", "differing", "settled", "missing", "unknown"}

// String returns the name by which operators know the state.
func (s MachineState) String() string { return machineStateNames[s] }

// TermState is how far the recovery of a term has come.
type TermState uint8

// States of a term, in their order.
const (
	Collecting TermState = iota // too few machines have sent a heartbeat to place anything
	Settling                    // tasks are placed; some machines aren't settled
	Paced                       // all machines are settled; the rate of starts is still limited
	Normal                      // the recovery is over
)

// termStateNames are shown to operators; other programs may look for them, too.
var termStateNames = [...]string{"collecting", "settling", "paced", "normal"}

// String returns the name by which operators know the state.
func (s TermState) String() string { return termStateNames[s] }
