// Package recovery settles what workers report against what the state service records, at the
// start of every leader's term. It says for each difference what it is and what is done about
// it, which machines are settled, when placing may begin, and at what pace orders then go out.
//
// The package has no input or output, no goroutines and no clock. The core asks it and acts;
// docs/recovery.md has the reasons.
package recovery

// Reason is how a reported or recorded attempt differs from what the other side says.
type Reason uint8

// Reasons.
const (
	// RunningRecorded is no difference: the start log names the attempt that is reported.
	RunningRecorded Reason = iota
	// RunningUnrecorded attempts are reported under this term, and no page names them.
	RunningUnrecorded
	// RecordedUnreported attempts are named by a page and missing from a heartbeat.
	RecordedUnreported
	// DoneUnrecorded results are reported, and the job's record doesn't hold them.
	DoneUnrecorded
	// DoneJobOver results are of a job that is over, cancelled or unknown.
	DoneJobOver
	// RunningJobOver attempts run on for a job that is over, cancelled or unknown.
	RunningJobOver
	// OlderHeartbeat reports don't carry this term's fencing token: they may be late copies.
	OlderHeartbeat
	// NewerThere means that a machine reports a later attempt of a task than its record names.
	NewerThere
	// OlderThere means that a machine reports an earlier attempt of a task than is meant for it.
	OlderThere
	// HeldElsewhere means that another machine holds the task, or may.
	HeldElsewhere
	// Failed attempts have exited without a result.
	Failed
	reasons
)

var reasonNames = [...]string{"running and recorded", "running and never recorded", "recorded and not reported",
	"done, and the record isn't", "done, and the job is over", "running, and the job is over", "of an older term or epoch",
	"a newer attempt is there", "an older attempt is there", "another machine holds the task", "exited without a result"}

// String returns the reason's name, as operators see it.
func (r Reason) String() string { return reasonNames[r] }

// Reasons lists all reasons.
func Reasons() []Reason {
	all := make([]Reason, 0, reasons)
	for r := RunningRecorded; r < reasons; r++ {
		all = append(all, r)
	}
	return all
}

// Action is what is done about a difference.
type Action uint8

// Actions.
const (
	// Keep takes the report as the state of the recorded attempt.
	Keep Action = iota
	// Adopt records the attempt as it runs, in place of placing its task again.
	Adopt
	// Stop has the worker end the attempt, which counts until it is proven gone.
	Stop
	// Ignore draws no conclusion.
	Ignore
	// Wait leaves the attempt where it may be until a heartbeat under this term's fencing token, the end
	// of the worker's lease or a release proves it gone.
	Wait
	// MarkLost takes the recorded attempt for gone: its task may be placed again.
	MarkLost
	// TakeResult stores the result, and only then lets the worker forget it.
	TakeResult
	// Forget lets the worker forget the attempt.
	Forget
	// WithdrawFirst takes back a start that hasn't left, and then looks again.
	WithdrawFirst
	// Requeue has the task placed again.
	Requeue
)

var actionNames = [...]string{"keep", "adopt", "stop", "ignore", "wait", "prove gone", "take the result", "forget", "withdraw first", "requeue"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

// Finding is a difference and what is done about it.
type Finding struct {
	Reason Reason
	Action Action
}

// Holder is who holds, or may hold, a task as far as is recorded.
type Holder uint8

// Holders.
const (
	Nobody          Holder = iota // no attempt of the task is recorded anywhere
	ThisAttempt                   // the reported attempt, on the reporting machine
	OlderHere                     // an earlier attempt on the reporting machine
	NewerHere                     // a later attempt on the reporting machine, its start sent
	UnsentHere                    // a later attempt on the reporting machine, its start not sent
	UnsentElsewhere               // another attempt on another machine, its start not sent
	Elsewhere                     // another attempt on another machine
)

// ObservedTask is a task in a heartbeat, and what is recorded of it.
type ObservedTask struct {
	Holder    Holder
	Inherited bool // the holder is from an earlier term, and no heartbeat has confirmed it
	Exited    bool
	Done      bool // exited with a result
	JobOpen   bool // the job is known and neither over nor cancelled
	Wanted    bool // the task isn't done
	Confirmed bool // the heartbeat carries this term's fencing token
	Whole     bool // the task runs only together with others of its attempt (a gang)
}

// Classify says what a reported task is, and what is done about it.
func Classify(r ObservedTask) Finding {
	switch r.Holder {
	case ThisAttempt:
		return classifyKnown(r)
	case OlderHere:
		if r.Inherited {
			return Finding{NewerThere, MarkLost} // a later one was placed only once it was proven gone
		}
		return Finding{OlderThere, Ignore}
	case UnsentHere:
		return Finding{OlderThere, WithdrawFirst}
	case NewerHere:
		return Finding{OlderThere, Ignore}
	}
	return classifyUnknown(r)
}

// classifyKnown is about an attempt that the start log names on this machine.
func classifyKnown(r ObservedTask) Finding {
	switch {
	case !r.Exited:
		return Finding{RunningRecorded, Keep}
	case r.Done && r.JobOpen && r.Wanted:
		return Finding{DoneUnrecorded, TakeResult}
	case r.Done:
		return Finding{DoneJobOver, Forget}
	}
	return Finding{Failed, Requeue}
}

// classifyUnknown is about an attempt that no record names on this machine.
func classifyUnknown(r ObservedTask) Finding {
	switch {
	case r.Done && r.JobOpen && r.Wanted:
		return Finding{DoneUnrecorded, TakeResult}
	case r.Done:
		return Finding{DoneJobOver, Forget}
	case r.Exited:
		return Finding{Failed, Forget}
	case !r.Confirmed:
		return Finding{OlderHeartbeat, Ignore}
	case !r.JobOpen || !r.Wanted:
		return Finding{RunningJobOver, Stop}
	case r.Holder == Elsewhere:
		return Finding{HeldElsewhere, Stop}
	case r.Whole:
		return Finding{RunningUnrecorded, Stop}
	case r.Holder == UnsentElsewhere:
		return Finding{HeldElsewhere, WithdrawFirst}
	}
	return Finding{RunningUnrecorded, Adopt}
}

// UnreportedAttempt is a recorded attempt that a newer heartbeat of its machine lacks.
type UnreportedAttempt struct {
	Inherited bool // from an earlier term
	Confirmed bool // the heartbeat carries this term's fencing token
	Answered  bool // its start went with the answer to an earlier heartbeat than this one
	Seen      bool // an earlier heartbeat of this term listed it
}

// ClassifyUnreported says what such an attempt is, and what is done about it.
func ClassifyUnreported(u UnreportedAttempt) Finding {
	switch {
	case u.Inherited && u.Confirmed, u.Seen && !u.Inherited, u.Answered && !u.Inherited:
		return Finding{RecordedUnreported, MarkLost}
	}
	return Finding{RecordedUnreported, Wait}
}
