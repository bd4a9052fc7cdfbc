package fleet

import (
	"cmp"
	"strconv"
	"time"
)

// AttemptState is the state of an attempt on its machine.
type AttemptState uint8

// States of an attempt. The first three are set by the leader; the others are reported by the
// worker.
const (
	Intended       AttemptState = iota // decided, but not yet in the start log of the state service
	Recorded                           // the start log holds that it may be on the machine
	Sent                               // the start command was sent in the answer to a heartbeat
	Fetching                           // the worker fetches its image
	WaitingForGang                     // waits for the other tasks of its gang
	Running                            // the task runs
	Checkpointing                      // saves its progress before it stops
	Exited                             // has ended, see ExitCause
)

// Eviction is the stage of an attempt's eviction by a drain.
type Eviction uint8

// Stages of an eviction. The command is sent only in the answer to a heartbeat, since a worker
// never carries out a command from such an answer late.
const (
	NotEvicted       Eviction = iota
	EvictionApproved          // to be sent with the next answer, if it is still allowed then
	EvictionSent              // sent with an answer
)

// TaskID identifies a task: the job's reference and the task's number in the job.
type TaskID struct {
	Ref  string
	Task int
}

// String returns the task's name as users and workers know it: j-000412/3.
func (t TaskID) String() string { return t.Ref + "/" + strconv.Itoa(t.Task) }

// Compare orders tasks by job, then by number.
func (t TaskID) Compare(o TaskID) int {
	if c := cmp.Compare(t.Ref, o.Ref); c != 0 {
		return c
	}
	return cmp.Compare(t.Task, o.Task)
}

// Attempt is one attempt to run a task, which is, or may be, on a machine.
type Attempt struct {
	TaskID
	Number         uint64        // unique over all terms; shared by the tasks of a gang that start together
	Machine        *Machine      // where it is, or may be
	Page           *StartLogPage // the page of the start log that lists it; nil: none does yet
	CPUs           float64
	GPUs           float64
	MemGB          float64
	Image          string
	Inherited      bool // from an earlier term: only a heartbeat under this term's fencing token proves it gone
	Unwanted       bool // reported though it should not run: stopped, and its result is ignored
	ServiceReplica bool // a service's replica, which runs until the service is cancelled

	state      AttemptState
	StateSince time.Time // when it entered its state
	RunStart   time.Time // when it was first seen running; zero: never

	// Its start command.
	NotBefore     time.Time     // earliest time at which it may be sent
	SentAt        time.Time     // when it was sent
	FetchEstimate time.Duration // expected duration of the image fetch when it was sent

	// commandSequence is the sequence number of the heartbeat whose answer carried the last command
	// about the attempt. It is 0 if the next heartbeat needn't show the effect of a command.
	commandSequence uint64

	// Its end.
	stop        stopRequest
	eviction    Eviction
	Cause       ExitCause // why it exited
	ExitHandled bool      // the exit was processed; the worker may forget the attempt
}

// stopRequest says whether, when and how an attempt was asked to stop.
type stopRequest struct {
	requested bool
	at        time.Time
	grace     time.Duration // time allowed for a checkpoint
}

// State returns the attempt's state.
func (a *Attempt) State() AttemptState { return a.state }

// move changes the attempt's state; no other method does, except that AddAttempt sets the first
// one. It returns false if nothing changes. Exited is final.
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

// CommandSequence returns the sequence number of the heartbeat whose answer carried the last command
// about the attempt, if the next heartbeat must show the command's effect; else 0.
func (a *Attempt) CommandSequence() uint64 { return a.commandSequence }

// CommandSent records that a command about the attempt is sent with the answer to its machine's
// newest heartbeat.
func (a *Attempt) CommandSent() { a.commandSequence = a.Machine.Sequence() }

// RequestStop asks the attempt to stop, with a checkpoint first if grace allows. It replaces an
// eviction. For an attempt whose start was just sent, the next heartbeat must still show the effect
// of the start.
func (a *Attempt) RequestStop(now time.Time, grace time.Duration) {
	a.stop = stopRequest{requested: true, at: now, grace: grace}
	a.eviction = NotEvicted
	if a.state != Sent {
		a.commandSequence = 0
	}
}

// Stopping reports whether the attempt was told to stop, or will be with the next answer.
func (a *Attempt) Stopping() bool { return a.stop.requested }

// StopAt returns when the attempt was asked to stop.
func (a *Attempt) StopAt() time.Time { return a.stop.at }

// Grace returns how much time the stop allows for a checkpoint.
func (a *Attempt) Grace() time.Duration { return a.stop.grace }

// Eviction returns the stage of the attempt's eviction.
func (a *Attempt) Eviction() Eviction { return a.eviction }

// ApproveEviction lets the eviction be sent with the next answer, if it is still allowed then.
func (a *Attempt) ApproveEviction() { a.eviction = EvictionApproved }

// WithdrawEviction takes back an approved eviction that hasn't been sent. One that was sent stays.
func (a *Attempt) WithdrawEviction() {
	if a.eviction == EvictionApproved {
		a.eviction = NotEvicted
	}
}

// SendEviction records that the eviction is sent with the answer to the machine's newest heartbeat.
func (a *Attempt) SendEviction(now time.Time, grace time.Duration) {
	a.stop = stopRequest{requested: true, at: now, grace: grace}
	a.eviction = EvictionSent
	a.CommandSent()
}

// EvictionIgnored reports whether a heartbeat after the eviction was sent shows no sign of it, which
// means that the answer with the eviction was lost.
func (a *Attempt) EvictionIgnored() bool {
	return a.eviction == EvictionSent && a.state != Checkpointing && a.commandSequence < a.Machine.Sequence()
}

// ForgetEviction undoes an eviction that the worker has ignored, see EvictionIgnored.
func (a *Attempt) ForgetEviction() { a.eviction, a.stop.requested = NotEvicted, false }

// NoteExit records why the attempt exited. No effect of an earlier command is expected any more.
func (a *Attempt) NoteExit(cause ExitCause) { a.Cause, a.commandSequence = cause, 0 }

// Leaving reports whether the attempt has exited, is stopping, or is about to be told to stop.
func (a *Attempt) Leaving() bool {
	return a.stop.requested || a.eviction != NotEvicted || a.state == Checkpointing || a.state == Exited
}
