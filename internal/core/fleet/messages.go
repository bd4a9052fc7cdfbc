package fleet

import "time"

// ExitCause says why a task exited.
type ExitCause uint8

// Causes of exits.
const (
	CauseNone ExitCause = iota
	CauseDone
	CauseStopped
	CauseGangPeerLost
	CauseGangIncomplete
	CauseError
	CauseInsufficientResources
	CauseAlreadyPresent
	CauseUnknownTask
)

var exitCauseNames = [...]string{"none", "done", "stopped", "gang peer lost", "gang incomplete", "error",
	"insufficient resources", "already present", "unknown task"}

// String returns the cause's name, as the log has it.
func (c ExitCause) String() string { return exitCauseNames[c] }

// CommandKind is a command to a worker.
type CommandKind uint8

// Commands to workers.
const (
	Start CommandKind = iota
	Stop
	Forget
)

// Command is one command to a worker.
type Command struct {
	Kind    CommandKind
	Ref     string
	Task    int
	Attempt uint64
	Grace   time.Duration
}

// TaskStatus is one task in a worker's heartbeat.
type TaskStatus struct {
	Ref          string
	Task         int
	Attempt      uint64
	State        AttemptState
	Cause        ExitCause
	Checkpointed bool
}

// Heartbeat is a worker's heartbeat.
type Heartbeat struct {
	Machine, Addr, Type, Zone           string
	Spot                                bool
	Incarnation, Sequence, FencingToken uint64
	InterruptionIn                      time.Duration // negative: none
	Tasks                               []TaskStatus
}
