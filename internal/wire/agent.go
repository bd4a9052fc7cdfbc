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

// ParseReport decodes and checks a worker's report.
func ParseReport(body []byte) (fleet.Report, error) {
	var r fleet.Report
	if len(body) > MaxBody || !isMap(body) {
		return r, fmt.Errorf("%w: not a map within the size limit", ErrMalformed)
	}
	var m Beat
	if err := Unmarshal(body, &m); err != nil {
		return r, err
	}
	if m.Stall == nil || *m.Stall == "" || m.Endpoint == nil || m.Build == nil || m.Yard == nil ||
		m.Loaners == nil || m.Shift == nil || m.Tick == nil || m.Gavel == nil {
		return r, fmt.Errorf("%w: a field of the report is missing", ErrMalformed)
	}
	r = fleet.Report{Machine: *m.Stall, Addr: *m.Endpoint, Type: *m.Build, Zone: *m.Yard, Spot: *m.Loaners,
		Session: *m.Shift, Seq: *m.Tick, Token: *m.Gavel, Notice: -1}
	if m.WarningS != nil {
		if math.IsNaN(*m.WarningS) || math.IsInf(*m.WarningS, 0) {
			return r, fmt.Errorf("%w: warning_s", ErrMalformed)
		}
		r.Notice = max(0, time.Duration(*m.WarningS*float64(time.Second)))
	}
	for _, l := range m.Lots {
		if l.Lot == nil || l.Try == nil || l.Status == nil {
			return r, fmt.Errorf("%w: a field of a reported task is missing", ErrMalformed)
		}
		ref, task, err := ParseTaskName(*l.Lot)
		if err != nil {
			return r, err
		}
		st, ok := taskStates[*l.Status]
		if !ok {
			return r, fmt.Errorf("%w: task state %q", ErrMalformed, *l.Status)
		}
		t := fleet.TaskReport{Ref: ref, Task: task, Attempt: *l.Try, State: st}
		if st == fleet.Exited {
			if l.Cause == nil {
				return r, fmt.Errorf("%w: exit without a cause", ErrMalformed)
			}
			if t.Cause, ok = exitCauses[*l.Cause]; !ok {
				t.Cause = fleet.CauseError // an unknown cause is a bad exit
			}
			t.Saved = l.Kept != nil && *l.Kept
		}
		r.Tasks = append(r.Tasks, t)
	}
	return r, nil
}

// Orders is the answer to a report, and without Gavel's session the core of a
// direct command.
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
func OrdersOf(cmds []fleet.Command) []Order {
	out := make([]Order, 0, len(cmds))
	for _, c := range cmds {
		o := Order{Lot: TaskName(c.Ref, c.Task), Try: c.Attempt}
		switch c.Op {
		case fleet.Start:
			o.Verb = "start"
		case fleet.Stop:
			o.Verb = "halt"
			g := c.Grace.Seconds()
			o.Leeway = &g
		case fleet.Forget:
			o.Verb = "clear"
		}
		out = append(out, o)
	}
	return out
}
