package recovery

// Reason classifies how a machine's report of an attempt differs from the records.
type Reason uint8

// Reasons of a Finding.
const (
	// RunningRecorded means that there is no difference: the reported attempt is recorded.
	RunningRecorded Reason = iota
	// RunningUnrecorded is an attempt that isn't recorded and that a heartbeat with this term's fencing
	// token reports as running.
	RunningUnrecorded
	// RecordedUnreported is a recorded attempt that a heartbeat of its machine doesn't list.
	RecordedUnreported
	// DoneUnrecorded is a reported result that the job's record doesn't contain yet.
	DoneUnrecorded
	// DoneJobOver is a reported result that isn't needed: its job is over, cancelled or unknown, or
	// its task is already done.
	DoneJobOver
	// RunningJobOver is an attempt that is still running although its job is over, cancelled or
	// unknown, or its task is already done.
	RunningJobOver
	// OlderHeartbeat is an unrecorded attempt in a heartbeat without this term's fencing token. The
	// heartbeat may have been delayed or duplicated in transit.
	OlderHeartbeat
	// NewerAttemptReported means that a machine reports a later attempt of a task than the one recorded
	// on it, which an earlier term started.
	NewerAttemptReported
	// OlderAttemptReported means that a machine reports another attempt of a task than the one that is
	// recorded on it or is about to be sent to it. As a rule the reported one is earlier; one that is
	// later than what this term started there is classified in the same way.
	OlderAttemptReported
	// HeldElsewhere means that another machine holds the task, may hold it or is about to be sent it.
	HeldElsewhere
	// Failed is an attempt that exited without a result.
	Failed
	reasonCount
)

// reasonNames are shown to operators, and other programs may match them.
var reasonNames = [...]string{
	"running and recorded",
	"running and never recorded",
	"recorded and not reported",
	"done, and the record isn't",
	"done, and the job is over",
	"running, and the job is over",
	"of an older term or epoch",
	"a newer attempt is there",
	"an older attempt is there",
	"another machine holds the task",
	"exited without a result",
}

// String returns the name of the reason that operators see.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := RunningRecorded; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Action is what is done about a difference.
type Action uint8

// Actions of a Finding.
const (
	// Keep updates the recorded attempt with the reported status.
	Keep Action = iota
	// Adopt records the running attempt, so that its task isn't placed again.
	Adopt
	// Stop has the worker end the attempt, which counts as running until it is proven gone.
	Stop
	// Ignore draws no conclusion from the report.
	Ignore
	// Wait assumes that the attempt may be running until it is proven gone by a heartbeat with this
	// term's fencing token, by the expiry of the worker's lease or by the machine's deletion.
	Wait
	// MarkLost treats the recorded attempt as gone, so that its task may be placed again.
	MarkLost
	// TakeResult stores the result, and only then lets the worker forget the attempt.
	TakeResult
	// Forget lets the worker forget the attempt.
	Forget
	// WithdrawFirst withdraws a start that hasn't been sent, and then classifies the report again.
	WithdrawFirst
	// Requeue lets the task be placed again.
	Requeue
)

var actionNames = [...]string{
	"keep", "adopt", "stop", "ignore", "wait", "mark lost", "take the result", "forget", "withdraw first", "requeue",
}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Finding is how an attempt's report differs from the records, and what is done about it.
type Finding struct {
	Reason Reason
	Action Action
}

// Holder says which attempt of a reported task is recorded, and whether it is on the machine that
// reports the task ("here") or on another one ("elsewhere").
type Holder uint8

// Holders.
const (
	HolderNone            Holder = iota // no attempt of the task is recorded
	HolderThisAttempt                   // the reported attempt, here
	HolderOlderHere                     // an earlier attempt, here
	HolderNewerHere                     // a later attempt, here; its start may have been sent
	HolderUnsentHere                    // another attempt, here; its start hasn't been sent
	HolderUnsentElsewhere               // another attempt, elsewhere; its start hasn't been sent
	HolderElsewhere                     // another attempt, elsewhere; its start may have been sent
)

// ObservedTask is a task as a heartbeat reports it, compared with what is recorded of it.
type ObservedTask struct {
	Holder        Holder
	Inherited     bool // the attempt recorded here is from an earlier term, and no heartbeat has reported it
	Exited        bool // the attempt has ended
	Done          bool // the attempt has ended with a result
	JobOpen       bool // the job is known and is neither over nor cancelled
	ResultWanted  bool // the task isn't done yet
	TermConfirmed bool // the heartbeat carries this term's fencing token
	Gang          bool // the task belongs to a gang of several tasks, which run all together or not at all
}

// Classify returns how a reported task differs from the records, and what to do about it.
func Classify(r ObservedTask) Finding {
	switch r.Holder {
	case HolderThisAttempt:
		return classifyRecorded(r)
	case HolderOlderHere:
		if r.Inherited {
			return Finding{NewerAttemptReported, MarkLost} // it was proven gone before the later one was placed
		}
		return Finding{OlderAttemptReported, Ignore}
	case HolderUnsentHere:
		return Finding{OlderAttemptReported, WithdrawFirst}
	case HolderNewerHere:
		return Finding{OlderAttemptReported, Ignore}
	}
	return classifyUnrecorded(r)
}

// classifyRecorded classifies an attempt that is recorded on the machine that reports it.
func classifyRecorded(r ObservedTask) Finding {
	switch {
	case !r.Exited:
		return Finding{RunningRecorded, Keep}
	case r.Done && r.JobOpen && r.ResultWanted:
		return Finding{DoneUnrecorded, TakeResult}
	case r.Done:
		return Finding{DoneJobOver, Forget}
	}
	return Finding{Failed, Requeue}
}

// classifyUnrecorded classifies an attempt that isn't recorded on the machine that reports it.
func classifyUnrecorded(r ObservedTask) Finding {
	switch {
	case r.Done && r.JobOpen && r.ResultWanted:
		return Finding{DoneUnrecorded, TakeResult}
	case r.Done:
		return Finding{DoneJobOver, Forget}
	case r.Exited:
		return Finding{Failed, Forget}
	case !r.TermConfirmed:
		return Finding{OlderHeartbeat, Ignore}
	case !r.JobOpen || !r.ResultWanted:
		return Finding{RunningJobOver, Stop}
	case r.Holder == HolderElsewhere:
		return Finding{HeldElsewhere, Stop}
	case r.Gang:
		return Finding{RunningUnrecorded, Stop}
	case r.Holder == HolderUnsentElsewhere:
		return Finding{HeldElsewhere, WithdrawFirst}
	}
	return Finding{RunningUnrecorded, Adopt}
}

// UnreportedAttempt is a recorded attempt that a later heartbeat of its machine doesn't list.
type UnreportedAttempt struct {
	Inherited     bool // the attempt is from an earlier term
	TermConfirmed bool // the worker has this term's fencing token, or never held a task of an earlier term
	Answered      bool // the start was in the response to an earlier heartbeat, so it was executed or dropped
	Seen          bool // an earlier heartbeat in this term reported the attempt
}

// ClassifyUnreported returns what to do about an unreported attempt. An attempt of this term is gone
// if the worker has reported it before, or has executed or dropped its start. One of an earlier term
// is gone if the worker has this term's fencing token, since it then drops late starts.
func ClassifyUnreported(u UnreportedAttempt) Finding {
	gone := u.Seen || u.Answered
	if u.Inherited {
		gone = u.TermConfirmed
	}
	if gone {
		return Finding{RecordedUnreported, MarkLost}
	}
	return Finding{RecordedUnreported, Wait}
}
