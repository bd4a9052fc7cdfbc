package recovery

// MachineState is how far the recovery of a machine has come.
type MachineState uint8

// States of a machine.
const (
	Expected  MachineState = iota // recorded, and hasn't sent a heartbeat in this term
	Reported                      // has sent a heartbeat without this term's fencing token, and isn't Unknown
	Differing                     // has sent one with the token; an unrecorded attempt has to be ended
	Settled                       // has sent one with the token; all attempts on it are recorded
	Missing                       // given up: unresponsive, its lease expired, or being deleted
	Unknown                       // not recorded, and hasn't sent a heartbeat with this term's fencing token
	machineStateCount
)

// machineStateNames are shown to operators, and other programs may match them.
var machineStateNames = [...]string{"expected", "reported", "differing", "settled", "missing", "unknown"}

// String returns the name of the state that operators see.
func (s MachineState) String() string { return machineStateNames[s] }

// TermState is how far the recovery of a term has come.
type TermState uint8

// States of a term, in the order in which they are reached.
const (
	Collecting TermState = iota // too little is known of the machines to place tasks
	Settling                    // tasks are placed; machines are still Expected, Reported or Differing
	Paced                       // every machine has left Expected, Reported and Differing; the rate of starts is still limited
	Normal                      // the recovery is over
)

// termStateNames are shown to operators, and other programs may match them.
var termStateNames = [...]string{"collecting", "settling", "paced", "normal"}

// String returns the name of the state that operators see.
func (s TermState) String() string { return termStateNames[s] }
