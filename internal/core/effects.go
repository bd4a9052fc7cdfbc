package core

import (
	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
)

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	OK           bool // 200; otherwise the heartbeat is refused with 503
	FencingToken uint64
	Held         bool // worth holding for a moment, then to be completed by Collect
	Commands     []fleet.Command
}

// Direct is a set of commands to be sent to a worker at once.
type Direct struct {
	Machine, Addr string
	Incarnation   uint64
	FencingToken  uint64
	Commands      []fleet.Command
}

// ScaleOut is a request for machines; Name is unique over all terms.
type ScaleOut struct {
	Name       string
	Type, Zone string
	Spot       bool
	Count      int
}

// Effects is what a step wants done.
type Effects struct {
	Response *HeartbeatResponse
	Direct   []Direct
	ScaleOut []ScaleOut
	ScaleIn  [][]string
	Drains   []drain.PlanWrite // plans of drains whose records are to be written
	// HigherFencingToken is one that a worker has seen: somebody else has claimed a higher term, or
	// this one. 0: none has been seen.
	HigherFencingToken uint64
	// AttemptNumbersExhausted says that this term has to end for want of attempt numbers; the
	// next one can go on.
	AttemptNumbersExhausted bool
	Preempted               []*fleet.Attempt // attempts that make way for a job with a better claim
	Log                     []LogRecord
}

// Deposed reports whether this term is over since a higher one exists.
func (e *Effects) Deposed() bool { return e.HigherFencingToken != 0 }
