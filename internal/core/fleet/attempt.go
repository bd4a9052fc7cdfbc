package fleet

import (
	"cmp"
	"strconv"
	"time"
)

// AttemptState is the state of an attempt on its machine.
type AttemptState uint8

// States of an attempt. The first three are known only here; the rest are what
// the machine reports.
const (
	Intended AttemptState = iota // decided; the store doesn't hold it yet
	Recorded                     // the store holds that it may be on the machine
	Sent                         // the start went out in a heartbeat's response
	Fetching
	WaitingForGang
	Running
	Checkpointing
	Exited
)

// Eviction is how far the eviction of an attempt by a drain is.
type Eviction uint8

// Stages of an eviction. It goes out only in the answer to a heartbeat, which no machine carries
// out late.
const (
	NotEvicted       Eviction = iota
	EvictionApproved          // it goes with the next answer, if that is still in time
	EvictionSent              // it went with an answer
)

// TaskID names a task.
type TaskID struct {
	Ref  string
	Task int
}

// String names the task as users and workers do: j-000412/3.
func (t TaskID) String() string { return t.Ref + "/" + strconv.Itoa(t.Task) }

// Compare orders tasks by job, and within it by number.
func (t TaskID) Compare(o TaskID) int {
	if c := cmp.Compare(t.Ref, o.Ref); c != 0 {
		return c
	}
	return cmp.Compare(t.Task, o.Task)
}

// Attempt is one attempt that is, or may be, on a machine.
type Attempt struct {
	TaskID
	Number         uint64        // unique over all terms; the tasks of a gang share one
	Machine        *Machine      // where it is, or may be
	Page           *StartLogPage // the page of the start log that names it; nil: none does yet
	CPUs           float64
	GPUs           float64
	MemGB          float64
	Image          string
	Inherited      bool // from an earlier term: only a heartbeat under this term's fencing token proves it gone
	Unrecorded     bool // not wanted here; stopped and never counted as a result of ours
	ServiceReplica bool // a service's: stays until the service is cancelled

	state      AttemptState
	StateSince time.Time // when it entered its state
	RunStart   time.Time // when it was first seen to run; zero: it hasn't been

	// Its start.
	NotBefore     time.Time     // when it may leave
	SentAt        time.Time     // when it left
	FetchEstimate time.Duration // how long the image was then expected to take

	// commandSequence is the heartbeat in whose answer the machine last got a command about it;
	// 0: none that the next heartbeat must show an effect of.
	commandSequence uint64

	// Its end.
	stop        stopRequest
	eviction    Eviction
	Cause       ExitCause // of its exit
	ExitHandled bool      // the exit was dealt with; the worker may forget it
}

// stopRequest is what an attempt was told about stopping.
type stopRequest struct {
	requested bool
	at        time.Time
	grace     time.Duration // for saving
}

// State returns the attempt's state.
func (a *Attempt) State() AttemptState { return a.state }

// move is the one place where an attempt changes state. It returns false if
// nothing changes; an exit is final.
func (a *Attempt) move(now time.Time, to AttemptState) bool {
	if a.state == to || a.state == Exited {
		return false
	}
	a.state, a.StateSince = to, now
	if to == Running && a.RunStart.IsZero() {
		a.RunStart = now
	}
	return true
}

// CommandSequence is the heartbeat in whose answer the machine last got a command about the
// attempt of which the next heartbeat must show an effect; 0 if there is none.
func (a *Attempt) CommandSequence() uint64 { return a.commandSequence }

// CommandSent notes that a command about the attempt goes with the answer to its machine's newest
// heartbeat.
func (a *Attempt) CommandSent() { a.commandSequence = a.Machine.Sequence() }

// RequestStop asks the attempt to stop, saving first if grace allows. It takes the place of an
// eviction. A start that is on its way goes before it.
func (a *Attempt) RequestStop(now time.Time, grace time.Duration) {
	a.stop = stopRequest{requested: true, at: now, grace: grace}
	a.eviction = NotEvicted
	if a.state != Sent {
		a.commandSequence = 0
	}
}

// Stopping reports whether the attempt was told to stop, or is to be told with the next answer.
func (a *Attempt) Stopping() bool { return a.stop.requested }

// StopAt is when the attempt was asked to stop.
func (a *Attempt) StopAt() time.Time { return a.stop.at }

// Grace is the time for saving that the stop allows.
func (a *Attempt) Grace() time.Duration { return a.stop.grace }

// Eviction is how far the eviction of the attempt is.
func (a *Attempt) Eviction() Eviction { return a.eviction }

// ApproveEviction lets the eviction go with the next answer, if that is still in time.
func (a *Attempt) ApproveEviction() { a.eviction = EvictionApproved }

// WithdrawEviction takes an eviction back that hasn't gone out.
func (a *Attempt) WithdrawEviction() {
	if a.eviction == EvictionApproved {
		a.eviction = NotEvicted
	}
}

// SendEviction notes that the eviction goes with the answer to its machine's newest heartbeat.
func (a *Attempt) SendEviction(now time.Time, grace time.Duration) {
	a.stop = stopRequest{requested: true, at: now, grace: grace}
	a.eviction = EvictionSent
	a.CommandSent()
}

// EvictionIgnored reports whether a worker that was told of an eviction goes on as if it hadn't been:
// the answer was dropped.
func (a *Attempt) EvictionIgnored() bool {
	return a.eviction == EvictionSent && a.state != Checkpointing && a.commandSequence < a.Machine.Sequence()
}

// ForgetEviction takes back an eviction that the worker has ignored.
func (a *Attempt) ForgetEviction() { a.eviction, a.stop.requested = NotEvicted, false }

// NoteExit takes in why the attempt has exited. What its machine was told before is settled.
func (a *Attempt) NoteExit(cause ExitCause) { a.Cause, a.commandSequence = cause, 0 }

// Leaving reports whether an attempt is to stop, or is about to be told so.
func (a *Attempt) Leaving() bool {
	return a.stop.requested || a.eviction != NotEvicted || a.state == Checkpointing || a.state == Exited
}
