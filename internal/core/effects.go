package core

import (
	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
)

// HeartbeatResponse is the answer to a heartbeat.
type HeartbeatResponse struct {
	OK           bool // status 200; otherwise the heartbeat is refused with status 503
	FencingToken uint64
	Hold         bool // not to be sent yet: the caller waits briefly and then applies HeldResponseDue
	Commands     []fleet.Command
}

// DirectCommands holds commands that are to be sent to a worker at once, not with the answer to a
// heartbeat.
type DirectCommands struct {
	Machine, Addr string
	Incarnation   uint64
	FencingToken  uint64
	Commands      []fleet.Command
}

// ScaleOut is a request to the cloud for machines. Its Name is unique over all terms.
type ScaleOut struct {
	Name       string
	Type, Zone string
	Spot       bool
	Count      int
}

// Effects holds what the caller has to carry out after a step.
type Effects struct {
	Response       *HeartbeatResponse
	DirectCommands []DirectCommands
	ScaleOut       []ScaleOut
	ScaleIn        [][]string        // requests for releases, each with the names of its machines
	Drains         []drain.PlanWrite // drain plans whose records are to be written
	// HigherFencingToken is a fencing token that a worker has from another leader, which shows that
	// a higher term, or this same one, has been claimed elsewhere; 0 if there is none.
	HigherFencingToken uint64
	// AttemptNumbersExhausted says that this term has to end because it has used up its attempt
	// numbers. The next term starts with new ones.
	AttemptNumbersExhausted bool
	Preempted               []*fleet.Attempt // attempts that are stopped to free capacity for other jobs
	Log                     []LogRecord
}

// Deposed reports whether this term has to end because another leader has claimed it or a higher
// one.
func (e *Effects) Deposed() bool { return e.HigherFencingToken != 0 }
