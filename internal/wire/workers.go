package wire

// This file mirrors the workers' interface (PROTOCOL: Workers -> controller nodes; Controller nodes
// -> workers).

import (
	"math"
	"strings"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Paths of the workers' interface: controllers serve HeartbeatPath, workers serve the others.
const (
	HeartbeatPath    = "/agent/beat"
	OrdersPath       = "/orders"
	WorkerStatusPath = "/status"
)

// States of a task on a machine, in the protocol's words.
const (
	TaskFetching       = "fetching"
	TaskWaitingForGang = "waiting"
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing"
	TaskExited         = "ended"
)

// Causes of a task's exit, in the protocol's words.
const (
	CauseDone                  = "done"
	CauseStopped               = "stopped"
	CauseGangPeerLost          = "mates_gone"
	CauseGangIncomplete        = "alone"
	CauseError                 = "error"
	CauseInsufficientResources = "no_room"
	CauseAlreadyPresent        = "busy"
	CauseUnknownTask           = "no_such"
)

// Commands to a worker, in the protocol's words.
const (
	VerbStart  = "start"
	VerbStop   = "halt"
	VerbForget = "clear"
)

// Heartbeat is the body of POST /agent/beat, and of a worker's responses to direct commands and status
// requests. Shift is the worker's incarnation, Tick the heartbeat's sequence number, and Gavel the
// fencing token that the worker knows. Its fields are pointers to distinguish an absent field from a
// zero value.
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
	Lots     []HeartbeatTask `cbor:"lots"`
}

// HeartbeatTask is the status of one task on a worker's machine. Cause and Kept only count for a task
// that has exited; Kept says that it saved a checkpoint.
type HeartbeatTask struct {
	Lot    *string `cbor:"lot"`
	Try    *uint64 `cbor:"try"`
	Status *string `cbor:"status"`
	Cause  *string `cbor:"cause"`
	Kept   *bool   `cbor:"kept"`
}

// taskStates maps the protocol's words to the states of tasks.
var taskStates = map[string]fleet.AttemptState{
	TaskFetching:       fleet.Fetching,
	TaskWaitingForGang: fleet.WaitingForGang,
	TaskRunning:        fleet.Running,
	TaskCheckpointing:  fleet.Checkpointing,
	TaskExited:         fleet.Exited,
}

// exitCauses maps the protocol's words to the causes of exits.
var exitCauses = map[string]fleet.ExitCause{
	CauseDone:                  fleet.CauseDone,
	CauseStopped:               fleet.CauseStopped,
	CauseGangPeerLost:          fleet.CauseGangPeerLost,
	CauseGangIncomplete:        fleet.CauseGangIncomplete,
	CauseError:                 fleet.CauseError,
	CauseInsufficientResources: fleet.CauseInsufficientResources,
	CauseAlreadyPresent:        fleet.CauseAlreadyPresent,
	CauseUnknownTask:           fleet.CauseUnknownTask,
}

// ParseHeartbeat decodes and validates a worker's heartbeat. Every error wraps codec.ErrMalformed.
func ParseHeartbeat(body []byte) (fleet.Heartbeat, error) {
	var message Heartbeat
	if err := unmarshalMap(body, &message); err != nil {
		return fleet.Heartbeat{}, err
	}
	heartbeat, err := parseMachineStatus(&message)
	if err != nil {
		return heartbeat, err
	}
	for i := range message.Lots {
		task, err := parseTaskStatus(&message.Lots[i])
		if err != nil {
			return heartbeat, err
		}
		heartbeat.Tasks = append(heartbeat.Tasks, task)
	}
	return heartbeat, nil
}

// noInterruption is the value of fleet.Heartbeat.InterruptionIn for a machine without an interruption
// notice.
const noInterruption = -1

// parseMachineStatus returns what a heartbeat says about the machine itself, without its tasks.
func parseMachineStatus(message *Heartbeat) (fleet.Heartbeat, error) {
	if field := message.missingField(); field != "" {
		return fleet.Heartbeat{}, malformed("%s of the heartbeat is missing", field)
	}
	heartbeat := fleet.Heartbeat{
		Machine: *message.Stall, Addr: *message.Endpoint, Type: *message.Build, Zone: *message.Yard,
		Spot: *message.Loaners, Incarnation: *message.Shift, Sequence: *message.Tick,
		FencingToken: *message.Gavel, InterruptionIn: noInterruption,
	}
	if message.WarningS == nil {
		return heartbeat, nil
	}
	if math.IsNaN(*message.WarningS) || math.IsInf(*message.WarningS, 0) {
		return heartbeat, malformed("warning_s")
	}
	heartbeat.InterruptionIn = max(0, time.Duration(*message.WarningS*float64(time.Second)))
	return heartbeat, nil
}

// missingField returns the name of the first required field that is absent; empty if all are present.
func (m *Heartbeat) missingField() string {
	switch {
	case m.Stall == nil || *m.Stall == "":
		return "stall"
	case m.Endpoint == nil:
		return "endpoint"
	case m.Build == nil:
		return "build"
	case m.Yard == nil:
		return "yard"
	case m.Loaners == nil:
		return "loaners"
	case m.Shift == nil:
		return "shift"
	case m.Tick == nil:
		return "tick"
	case m.Gavel == nil:
		return "gavel"
	}
	return ""
}

// parseTaskStatus returns what a heartbeat says about one task.
func parseTaskStatus(message *HeartbeatTask) (fleet.TaskStatus, error) {
	if message.Lot == nil || message.Try == nil || message.Status == nil {
		return fleet.TaskStatus{}, malformed("a field of a task in the heartbeat is missing")
	}
	ref, number, err := ParseTaskName(*message.Lot)
	if err != nil {
		return fleet.TaskStatus{}, err
	}
	state, known := taskStates[*message.Status]
	if !known {
		return fleet.TaskStatus{}, malformed("task state %q", *message.Status)
	}
	task := fleet.TaskStatus{Ref: ref, Task: number, Attempt: *message.Try, State: state}
	if state != fleet.Exited {
		return task, nil
	}
	if message.Cause == nil {
		return task, malformed("exit without a cause")
	}
	if task.Cause, known = exitCauses[*message.Cause]; !known {
		task.Cause = fleet.CauseError // a cause added by a later protocol version isn't taken for success
	}
	task.Checkpointed = message.Kept != nil && *message.Kept
	return task, nil
}

// Orders is the body of the response to a heartbeat. With the worker's incarnation in Shift it is also
// the body of POST /orders, which sends direct commands. Gavel is the leader's fencing token.
type Orders struct {
	Gavel  uint64  `cbor:"gavel"`
	Shift  uint64  `cbor:"shift,omitempty"`
	Orders []Order `cbor:"orders"`
}

// Order is one command to a worker. Leeway, which only VerbStop has, is the time in seconds that the
// task is given to save a checkpoint.
type Order struct {
	Verb   string   `cbor:"verb"`
	Lot    string   `cbor:"lot"`
	Try    uint64   `cbor:"try"`
	Leeway *float64 `cbor:"leeway_s,omitempty"`
}

// Redirect is the body of a response with status 421 to a heartbeat. Clerk is the name of the
// controller to which the worker should send its heartbeats.
type Redirect struct {
	Clerk string `cbor:"clerk,omitempty"`
}

// OrdersOf converts commands to their wire form.
func OrdersOf(commands []fleet.Command) []Order {
	orders := make([]Order, 0, len(commands))
	for _, command := range commands {
		orders = append(orders, orderOf(command))
	}
	return orders
}

func orderOf(command fleet.Command) Order {
	order := Order{Lot: fleet.TaskID{Ref: command.Ref, Task: command.Task}.String(), Try: command.Attempt}
	switch command.Kind {
	case fleet.Start:
		order.Verb = VerbStart
	case fleet.Stop:
		order.Verb = VerbStop
		grace := command.Grace.Seconds()
		order.Leeway = &grace
	case fleet.Forget:
		order.Verb = VerbForget
	}
	return order
}

// taskStateWords and exitCauseWords are the inverses of taskStates and exitCauses.
var (
	taskStateWords = inverse(taskStates)
	exitCauseWords = inverse(exitCauses)
)

// inverse returns the inverse of a one-to-one map.
func inverse[V comparable](byWord map[string]V) map[V]string {
	words := make(map[V]string, len(byWord))
	for word, value := range byWord {
		words[value] = word
	}
	return words
}

// HeartbeatOf converts a heartbeat to its wire form. Only emulated workers and tests use it, since
// controllers don't send heartbeats.
func HeartbeatOf(heartbeat fleet.Heartbeat) Heartbeat {
	message := Heartbeat{
		Stall: &heartbeat.Machine, Endpoint: &heartbeat.Addr, Build: &heartbeat.Type, Yard: &heartbeat.Zone,
		Loaners: &heartbeat.Spot, Shift: &heartbeat.Incarnation, Tick: &heartbeat.Sequence,
		Gavel: &heartbeat.FencingToken, Lots: make([]HeartbeatTask, 0, len(heartbeat.Tasks)),
	}
	if heartbeat.InterruptionIn >= 0 {
		seconds := heartbeat.InterruptionIn.Seconds()
		message.WarningS = &seconds
	}
	for _, task := range heartbeat.Tasks {
		message.Lots = append(message.Lots, heartbeatTaskOf(task))
	}
	return message
}

func heartbeatTaskOf(task fleet.TaskStatus) HeartbeatTask {
	name := fleet.TaskID{Ref: task.Ref, Task: task.Task}.String()
	state := taskStateWords[task.State]
	message := HeartbeatTask{Lot: &name, Try: &task.Attempt, Status: &state}
	if task.State == fleet.Exited {
		cause := exitCauseWords[task.Cause]
		message.Cause, message.Kept = &cause, &task.Checkpointed
	}
	return message
}

// CommandsOf converts commands from their wire form. Only emulated workers and tests use it. Every
// error wraps codec.ErrMalformed.
func CommandsOf(orders []Order) ([]fleet.Command, error) {
	commands := make([]fleet.Command, 0, len(orders))
	for _, order := range orders {
		ref, task, err := ParseTaskName(order.Lot)
		if err != nil {
			return nil, err
		}
		command := fleet.Command{Ref: ref, Task: task, Attempt: order.Try}
		switch order.Verb {
		case VerbStart:
			command.Kind = fleet.Start
		case VerbStop:
			command.Kind = fleet.Stop
		case VerbForget:
			command.Kind = fleet.Forget
		default:
			return nil, malformed("verb %q", order.Verb)
		}
		if order.Leeway != nil {
			command.Grace = time.Duration(*order.Leeway * float64(time.Second))
		}
		commands = append(commands, command)
	}
	return commands, nil
}

// maxTaskDigits is the largest number of digits of a task's number.
const maxTaskDigits = 9

// ParseTaskName splits the name of a task, such as j-000412/3, into its job's ref and its number.
// Every error wraps codec.ErrMalformed.
func ParseTaskName(name string) (ref string, task int, err error) {
	ref, digits, ok := strings.Cut(name, "/")
	if !ok || !pipeline.ValidRef(ref) {
		return "", 0, malformed("task name %q", name)
	}
	if task, ok = parseTaskNumber(digits); !ok {
		return "", 0, malformed("task name %q", name)
	}
	return ref, task, nil
}

// parseTaskNumber parses a decimal number. It accepts no sign and no leading zeros, so that each task
// has only one name.
func parseTaskNumber(digits string) (number int, ok bool) {
	leadingZero := len(digits) > 1 && digits[0] == '0'
	if digits == "" || len(digits) > maxTaskDigits || leadingZero {
		return 0, false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		number = number*10 + int(digit-'0')
	}
	return number, true
}
