package fleet

import (
	"cmp"
	"strconv"
	"time"
)

// TaskState is the state of an attempt on its machine.
type TaskState uint8

// States of an attempt. The first three are known only here; the rest are what
// the machine reports.
const (
	Intended TaskState = iota // decided; the store doesn't hold it yet
	Recorded                  // the store holds that it may be on the machine
	Sent                      // the start went out in a heartbeat's response
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
	return cmp.Or(cmp.Compare(t.Ref, o.Ref), cmp.Compare(t.Task, o.Task))
}

// Attempt is one attempt that is, or may be, on a machine.
type Attempt struct {
	TaskID
	Number          uint64        // unique over all terms; the tasks of a gang share one
	Machine         *Machine      // where it is, or may be
	Page            *StartLogPage // the page of the start log that names it; nil: none does yet
	CPUs            float64
	GPUs            float64
	MemGB           float64
	Image           string
	Inherited       bool   // from an earlier term: only a heartbeat under this term's fencing token proves it gone
	Unrecorded      bool   // not wanted here; stopped and never counted as a result of ours
	CommandSequence uint64 // the heartbeat in whose answer the machine last got a command about it

	state      TaskState
	StateSince time.Time // when it entered its state
	RunStart   time.Time

	// Its start.
	NotBefore     time.Time     // when it may leave
	SentAt        time.Time     // when it left
	FetchEstimate time.Duration // how long the image was then expected to take

	// Its end.
	Stopping       bool // it was told to stop
	Eviction       Eviction
	StopAt         time.Time
	Grace          time.Duration // for saving
	Cause          ExitCause     // of its exit
	ExitHandled    bool          // the exit was dealt with; the worker may forget it
	ServiceReplica bool          // a service's: stays until the service is cancelled
}

// State returns the attempt's state.
func (a *Attempt) State() TaskState { return a.state }

// move is the one place where an attempt changes state. It returns false if
// nothing changes; an exit is final.
func (a *Attempt) move(now time.Time, to TaskState) bool {
	if a.state == to || a.state == Exited {
		return false
	}
	a.state, a.StateSince = to, now
	if to == Running && a.RunStart.IsZero() {
		a.RunStart = now
	}
	return true
}

// Leaving tells whether an attempt is to stop, or is about to be told so.
func (a *Attempt) Leaving() bool {
	return a.Stopping || a.Eviction != NotEvicted || a.state == Checkpointing || a.state == Exited
}
