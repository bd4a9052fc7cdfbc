package fleet

import "time"

// ExitCause is the reason why an attempt exited, as its worker reports it.
type ExitCause uint8

// Causes of exits.
const (
	CauseNone                  ExitCause = iota // hasn't exited
	CauseDone                                   // the task is done
	CauseStopped                                // it was told to stop
	CauseGangPeerLost                           // another task of its gang ended without being done
	CauseGangIncomplete                         // the other tasks of its gang didn't arrive in time
	CauseError                                  // the task failed
	CauseInsufficientResources                  // the machine had too few free resources to start it
	CauseAlreadyPresent                         // an attempt of the task was already on the machine
	CauseUnknownTask                            // the worker doesn't know the task
)

var exitCauseNames = [...]string{"none", "done", "stopped", "gang peer lost", "gang incomplete", "error",
	"insufficient resources", "already present", "unknown task"}

// String returns the cause's name, as it appears in the log.
func (c ExitCause) String() string { return exitCauseNames[c] }

// CommandKind is the kind of a command to a worker.
type CommandKind uint8

// Kinds of commands to workers.
const (
	Start  CommandKind = iota // start an attempt
	Stop                      // stop an attempt
	Forget                    // no longer report an attempt that has exited
)

// Command is one command to a worker.
type Command struct {
	Kind    CommandKind
	Ref     string
	Task    int
	Attempt uint64
	Grace   time.Duration // of a Stop: time allowed for a checkpoint
}

// TaskStatus is the status of one task in a worker's heartbeat.
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
	InterruptionIn                      time.Duration // until the cloud takes it back; negative: no notice
	Tasks                               []TaskStatus
}
