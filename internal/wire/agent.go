package wire

import (
	"fmt"
	"math"
	"time"

	"gingertally/internal/core/fleet"
)

// Beat mirrors a worker's report.
type Beat struct {
	Stall    *string   `cbor:"stall"`
	Endpoint *string   `cbor:"endpoint"`
	Build    *string   `cbor:"build"`
	Yard     *string   `cbor:"yard"`
	Loaners  *bool     `cbor:"loaners"`
	Shift    *uint64   `cbor:"shift"`
	Tick     *uint64   `cbor:"tick"`
	Gavel    *uint64   `cbor:"gavel"`
	WarningS *float64  `cbor:"warning_s"`
	Lots     []beatLot `cbor:"lots"`
}

type beatLot struct {
	Lot    *string `cbor:"lot"`
	Try    *uint64 `cbor:"try"`
	Status *string `cbor:"status"`
	Cause  *string `cbor:"cause"`
	Kept   *bool   `cbor:"kept"`
}

var taskStates = map[string]fleet.TaskState{
	"fetching": fleet.Fetching, "waiting": fleet.WaitingForGang, "running": fleet.Running,
	"flushing": fleet.Saving, "ended": fleet.Exited,
}

var exitCauses = map[string]fleet.Cause{
	"done": fleet.CauseDone, "stopped": fleet.CauseStopped, "mates_gone": fleet.CauseMatesGone,
	"alone": fleet.CauseAlone, "error": fleet.CauseError, "no_room": fleet.CauseNoRoom,
	"busy": fleet.CauseBusy, "no_such": fleet.CauseUnknown,
}

// ParseReport decodes and checks a worker's report. Every error is ErrMalformed.
func ParseReport(body []byte) (fleet.Report, error) {
	if len(body) > MaxBody || !isMap(body) {
		return fleet.Report{}, fmt.Errorf("%w: not a map within the size limit", ErrMalformed)
	}
	var beat Beat
	if err := Unmarshal(body, &beat); err != nil {
		return fleet.Report{}, err
	}
	report, err := parseMachine(&beat)
	if err != nil {
		return report, err
	}
	for i := range beat.Lots {
		task, err := parseTask(&beat.Lots[i])
		if err != nil {
			return report, err
		}
		report.Tasks = append(report.Tasks, task)
	}
	return report, nil
}

// noNotice stands for a machine that its cloud hasn't announced to take away.
const noNotice = -1

// parseMachine reads what a report says of the machine itself.
func parseMachine(beat *Beat) (fleet.Report, error) {
	named := beat.Stall != nil && *beat.Stall != "" && beat.Endpoint != nil && beat.Build != nil && beat.Yard != nil && beat.Loaners != nil
	ordered := beat.Shift != nil && beat.Tick != nil && beat.Gavel != nil
	if !named || !ordered {
		return fleet.Report{}, fmt.Errorf("%w: a field of the report is missing", ErrMalformed)
	}
	report := fleet.Report{
		Machine: *beat.Stall, Addr: *beat.Endpoint, Type: *beat.Build, Zone: *beat.Yard, Spot: *beat.Loaners,
		Session: *beat.Shift, Seq: *beat.Tick, FencingToken: *beat.Gavel, Notice: noNotice,
	}
	if beat.WarningS == nil {
		return report, nil
	}
	if math.IsNaN(*beat.WarningS) || math.IsInf(*beat.WarningS, 0) {
		return report, fmt.Errorf("%w: warning_s", ErrMalformed)
	}
	report.Notice = max(0, time.Duration(*beat.WarningS*float64(time.Second)))
	return report, nil
}

// parseTask reads what a report says of one task.
func parseTask(lot *beatLot) (fleet.TaskReport, error) {
	var task fleet.TaskReport
	if lot.Lot == nil || lot.Try == nil || lot.Status == nil {
		return task, fmt.Errorf("%w: a field of a reported task is missing", ErrMalformed)
	}
	ref, number, err := ParseTaskName(*lot.Lot)
	if err != nil {
		return task, err
	}
	state, known := taskStates[*lot.Status]
	if !known {
		return task, fmt.Errorf("%w: task state %q", ErrMalformed, *lot.Status)
	}
	task = fleet.TaskReport{Ref: ref, Task: number, Attempt: *lot.Try, State: state}
	if state != fleet.Exited {
		return task, nil
	}
	if lot.Cause == nil {
		return task, fmt.Errorf("%w: exit without a cause", ErrMalformed)
	}
	if task.Cause, known = exitCauses[*lot.Cause]; !known {
		task.Cause = fleet.CauseError // an unknown cause is a bad exit
	}
	task.Saved = lot.Kept != nil && *lot.Kept
	return task, nil
}

// Orders is the answer to a report, and, with the worker's session in Shift, a direct
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
		order := Order{Lot: TaskName(command.Ref, command.Task), Try: command.Attempt}
		switch command.Op {
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
