package fleet

import "time"

// Cause says why a task exited.
type Cause uint8

// Causes of exits.
const (
	CauseNone Cause = iota
	CauseDone
	CauseStopped
	CauseGangPeerLost
	CauseGangIncomplete
	CauseError
	CauseInsufficientResources
	CauseAlreadyPresent
	CauseUnknownTask
)

// Op is a command to a worker.
type Op uint8

// Commands to workers.
const (
	Start Op = iota
	Stop
	Forget
)

// Command is one command to a worker.
type Command struct {
	Op      Op
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
	State        TaskState
	Cause        Cause
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
