package recovery

// Reason says in which way a reported attempt and the records differ.
type Reason uint8

// Reasons.
const (
	// RunningRecorded is no difference: the attempt that is reported is recorded.
	RunningRecorded Reason = iota
	// RunningUnrecorded is an attempt that is reported under this term and isn't recorded.
	RunningUnrecorded
	// RecordedUnreported is a recorded attempt that a heartbeat of its machine lacks.
	RecordedUnreported
	// DoneUnrecorded is a reported result that the job's record lacks.
	DoneUnrecorded
	// DoneJobOver is a reported result of a job that is over, cancelled or unknown, or of a task
	// that is done already.
	DoneJobOver
	// RunningJobOver is an attempt that still runs for such a job or task.
	RunningJobOver
	// OlderHeartbeat is an attempt in a heartbeat without this term's fencing token. The heartbeat
	// may have been delayed or duplicated on its way.
	OlderHeartbeat
	// NewerAttemptReported says that a machine reports a later attempt of a task than is recorded.
	NewerAttemptReported
	// OlderAttemptReported says that a machine reports an earlier attempt of a task than is
	// recorded, or about to be sent.
	OlderAttemptReported
	// HeldElsewhere says that another machine holds the task, or may hold it.
	HeldElsewhere
	// Failed is an attempt that has exited without a result.
	Failed
	reasons
)

// reasonNames are shown to operators; other programs may look for them, too.
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

// String returns the name by which operators know the reason.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, 0, reasons)
	for r := RunningRecorded; r < reasons; r++ {
		all = append(all, r)
	}
	return all
}

// Action says what is done about a difference.
type Action uint8

// Actions.
const (
	// Keep takes the reported status for that of the recorded attempt.
	Keep Action = iota
	// Adopt records the attempt as it runs, so that its task isn't placed again.
	Adopt
	// Stop makes the worker end the attempt, which counts as running until it is proven gone.
	Stop
	// Ignore concludes nothing from the report.
	Ignore
	// Wait assumes that the attempt may run until a heartbeat under this term's fencing token, the
	// expiry of the worker's lease or the machine's deletion proves that it is gone.
	Wait
	// MarkLost takes the recorded attempt for gone, so that its task may be placed again.
	MarkLost
	// TakeResult stores the result, and lets the worker forget the attempt only then.
	TakeResult
	// Forget lets the worker forget the attempt.
	Forget
	// WithdrawFirst withdraws a start that hasn't been sent, and then classifies the report again.
	WithdrawFirst
	// Requeue lets the task be placed again.
	Requeue
)

var actionNames = [...]string{
	"keep", "adopt", "stop", "ignore", "wait", "prove gone", "take the result", "forget", "withdraw first", "requeue",
}

// String returns the name of the action.
func (a Action) String() string { return actionNames[a] }

// Finding is the classification of a reported or recorded attempt.
type Finding struct {
	Reason Reason
	Action Action
}

// Holder says which attempt of a reported task the records name, and whether on the machine that
// reports it ("here") or on another one ("elsewhere").
type Holder uint8

// Holders.
const (
	HolderNone            Holder = iota // no attempt of the task is recorded
	HolderThisAttempt                   // the reported attempt, here
	HolderOlderHere                     // an earlier attempt, here
	HolderNewerHere                     // a later attempt, here; its start was sent
	HolderUnsentHere                    // a later attempt, here; its start hasn't been sent
	HolderUnsentElsewhere               // another attempt, elsewhere; its start hasn't been sent
	HolderElsewhere                     // another attempt, elsewhere
)

// ObservedTask is a task as a heartbeat reports it, and what is recorded of it.
type ObservedTask struct {
	Holder       Holder
	Inherited    bool // the holder's attempt is from an earlier term, and no heartbeat has confirmed it
	Exited       bool // the attempt has ended
	Done         bool // the attempt has ended with a result
	JobOpen      bool // the job is known and is neither over nor cancelled
	ResultWanted bool // the task isn't done yet
	Confirmed    bool // the heartbeat carries this term's fencing token
	Gang         bool // the task belongs to a gang of several, which runs whole or not at all
}

// Classify decides what a reported task is and what is done about it.
func Classify(r ObservedTask) Finding {
	switch r.Holder {
	case HolderThisAttempt:
		return classifyRecorded(r)
	case HolderOlderHere:
		if r.Inherited {
			return Finding{NewerAttemptReported, MarkLost} // proven gone, or the later one wouldn't have been placed
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
	case !r.Confirmed:
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

// UnreportedAttempt is a recorded attempt that a later heartbeat of its machine lacks.
type UnreportedAttempt struct {
	Inherited bool // the attempt is from an earlier term
	Confirmed bool // the heartbeat carries this term's fencing token
	Answered  bool // the start went with the response to an earlier heartbeat than this one
	Seen      bool // an earlier heartbeat of this term reported the attempt
}

// ClassifyUnreported decides what an unreported attempt is and what is done about it. An attempt
// of this term is gone once the worker has seen it or its start; one of an earlier term is gone
// if the heartbeat shows that the worker knows of this term, since it then drops late starts.
func ClassifyUnreported(u UnreportedAttempt) Finding {
	gone := u.Seen || u.Answered
	if u.Inherited {
		gone = u.Confirmed
	}
	if gone {
		return Finding{RecordedUnreported, MarkLost}
	}
	return Finding{RecordedUnreported, Wait}
}
