package wire

import (
	"fmt"
	"math"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/fleet"
)

// Heartbeat mirrors a worker's heartbeat.
type Heartbeat struct {
	Stall    *string         `cbor:"stall"`
	Endpoint *string         `cbor:"endpoint"`
	Build    *string         `cbor:"build"`
	Yard     *string         `cbor:"yard"`
	Loaners  *bool           `cbor:"loaners"`
	Shift    *uint64         `cbor:"shift"`
	Tick     *uint64         `cbor:"tick"`
	Gavel    *uint64         `cbor:"gavel"`
	WarningS *float64        `cbor:"warning_s"`
	Lots     []heartbeatTask `cbor:"lots"`
}

type heartbeatTask struct {
	Lot    *string `cbor:"lot"`
	Try    *uint64 `cbor:"try"`
	Status *string `cbor:"status"`
	Cause  *string `cbor:"cause"`
	Kept   *bool   `cbor:"kept"`
}

var taskStates = map[string]fleet.TaskState{
	"fetching": fleet.Fetching, "waiting": fleet.WaitingForGang, "running": fleet.Running,
	"flushing": fleet.Checkpointing, "ended": fleet.Exited,
}

var exitCauses = map[string]fleet.ExitCause{
	"done": fleet.CauseDone, "stopped": fleet.CauseStopped, "mates_gone": fleet.CauseGangPeerLost,
	"alone": fleet.CauseGangIncomplete, "error": fleet.CauseError, "no_room": fleet.CauseInsufficientResources,
	"busy": fleet.CauseAlreadyPresent, "no_such": fleet.CauseUnknownTask,
}

// ParseHeartbeat decodes and checks a worker's heartbeat. Every error is a codec.ErrMalformed.
func ParseHeartbeat(body []byte) (fleet.Heartbeat, error) {
	if len(body) > MaxBody || !codec.IsMap(body) {
		return fleet.Heartbeat{}, fmt.Errorf("%w: not a map within the size limit", codec.ErrMalformed)
	}
	var beat Heartbeat
	if err := codec.Unmarshal(body, &beat); err != nil {
		return fleet.Heartbeat{}, err
	}
	report, err := parseMachineStatus(&beat)
	if err != nil {
		return report, err
	}
	for i := range beat.Lots {
		task, err := parseTaskStatus(&beat.Lots[i])
		if err != nil {
			return report, err
		}
		report.Tasks = append(report.Tasks, task)
	}
	return report, nil
}

// noInterruption stands for a machine that its cloud hasn't announced to take away.
const noInterruption = -1

// parseMachineStatus reads what a heartbeat says of the machine itself.
func parseMachineStatus(beat *Heartbeat) (fleet.Heartbeat, error) {
	named := beat.Stall != nil && *beat.Stall != "" && beat.Endpoint != nil && beat.Build != nil && beat.Yard != nil && beat.Loaners != nil
	ordered := beat.Shift != nil && beat.Tick != nil && beat.Gavel != nil
	if !named || !ordered {
		return fleet.Heartbeat{}, fmt.Errorf("%w: a field of the report is missing", codec.ErrMalformed)
	}
	report := fleet.Heartbeat{
		Machine: *beat.Stall, Addr: *beat.Endpoint, Type: *beat.Build, Zone: *beat.Yard, Spot: *beat.Loaners,
		Incarnation: *beat.Shift, Sequence: *beat.Tick, FencingToken: *beat.Gavel, InterruptionIn: noInterruption,
	}
	if beat.WarningS == nil {
		return report, nil
	}
	if math.IsNaN(*beat.WarningS) || math.IsInf(*beat.WarningS, 0) {
		return report, fmt.Errorf("%w: warning_s", codec.ErrMalformed)
	}
	report.InterruptionIn = max(0, time.Duration(*beat.WarningS*float64(time.Second)))
	return report, nil
}

// parseTaskStatus reads what a heartbeat says of one task.
func parseTaskStatus(lot *heartbeatTask) (fleet.TaskStatus, error) {
	var task fleet.TaskStatus
	if lot.Lot == nil || lot.Try == nil || lot.Status == nil {
		return task, fmt.Errorf("%w: a field of a reported task is missing", codec.ErrMalformed)
	}
	ref, number, err := ParseTaskName(*lot.Lot)
	if err != nil {
		return task, err
	}
	state, known := taskStates[*lot.Status]
	if !known {
		return task, fmt.Errorf("%w: task state %q", codec.ErrMalformed, *lot.Status)
	}
	task = fleet.TaskStatus{Ref: ref, Task: number, Attempt: *lot.Try, State: state}
	if state != fleet.Exited {
		return task, nil
	}
	if lot.Cause == nil {
		return task, fmt.Errorf("%w: exit without a cause", codec.ErrMalformed)
	}
	if task.Cause, known = exitCauses[*lot.Cause]; !known {
		task.Cause = fleet.CauseError // an unknown cause is a bad exit
	}
	task.Checkpointed = lot.Kept != nil && *lot.Kept
	return task, nil
}

// Orders is the answer to a heartbeat, and, with the worker's incarnation in Shift, a direct
// command.
type Orders struct {
	Gavel  uint64  `cbor:"gavel"`
	Shift  uint64  `cbor:"shift,omitempty"`
	Orders []Order `cbor:"orders"`
}

// Order is one command to a worker.
type Order struct {
	Verb   string   `cbor:"verb"`
	Lot    string   `cbor:"lot"`
	Try    uint64   `cbor:"try"`
	Leeway *float64 `cbor:"leeway_s,omitempty"`
}

// Redirect is the body of a 421.
type Redirect struct {
	Clerk string `cbor:"clerk,omitempty"`
}

// OrdersOf puts commands into their wire form.
func OrdersOf(commands []fleet.Command) []Order {
	orders := make([]Order, 0, len(commands))
	for _, command := range commands {
		order := Order{Lot: fleet.TaskID{Ref: command.Ref, Task: command.Task}.String(), Try: command.Attempt}
		switch command.Kind {
		case fleet.Start:
			order.Verb = "start"
		case fleet.Stop:
			order.Verb = "halt"
			grace := command.Grace.Seconds()
			order.Leeway = &grace
		case fleet.Forget:
			order.Verb = "clear"
		}
		orders = append(orders, order)
	}
	return orders
}
