package recovery

import "testing"

// taskWith returns a running, unrecorded task of an open job in a heartbeat with this term's fencing
// token, after applying change to it.
func taskWith(change func(*ObservedTask)) ObservedTask {
	task := ObservedTask{JobOpen: true, ResultWanted: true, TermConfirmed: true}
	if change != nil {
		change(&task)
	}
	return task
}

// reportedCases are the rows of the table in docs/recovery.md about reported attempts.
var reportedCases = []struct {
	name string
	task ObservedTask
	want Finding
}{
	{
		"running and recorded",
		taskWith(func(r *ObservedTask) { r.Holder = HolderThisAttempt }),
		Finding{RunningRecorded, Keep},
	},
	{
		"running and recorded, in a delayed or duplicated heartbeat",
		taskWith(func(r *ObservedTask) { r.Holder, r.TermConfirmed, r.Inherited = HolderThisAttempt, false, true }),
		Finding{RunningRecorded, Keep},
	},
	{
		"running and never recorded",
		taskWith(nil),
		Finding{RunningUnrecorded, Adopt},
	},
	{
		"running and never recorded, of a gang",
		taskWith(func(r *ObservedTask) { r.Gang = true }),
		Finding{RunningUnrecorded, Stop},
	},
	{
		"running and never recorded, in a delayed or duplicated heartbeat",
		taskWith(func(r *ObservedTask) { r.TermConfirmed = false }),
		Finding{OlderHeartbeat, Ignore},
	},
	{
		"running, another machine holds it",
		taskWith(func(r *ObservedTask) { r.Holder = HolderElsewhere }),
		Finding{HeldElsewhere, Stop},
	},
	{
		"running, another machine's start hasn't been sent",
		taskWith(func(r *ObservedTask) { r.Holder = HolderUnsentElsewhere }),
		Finding{HeldElsewhere, WithdrawFirst},
	},
	{
		"running, another machine's start hasn't been sent, of a gang",
		taskWith(func(r *ObservedTask) { r.Holder, r.Gang = HolderUnsentElsewhere, true }),
		Finding{RunningUnrecorded, Stop},
	},
	{
		"running, the job is over",
		taskWith(func(r *ObservedTask) { r.JobOpen = false }),
		Finding{RunningJobOver, Stop},
	},
	{
		"running, the task is done",
		taskWith(func(r *ObservedTask) { r.ResultWanted = false }),
		Finding{RunningJobOver, Stop},
	},
	{
		"a newer attempt than the recorded one",
		taskWith(func(r *ObservedTask) { r.Holder, r.Inherited = HolderOlderHere, true }),
		Finding{NewerAttemptReported, MarkLost},
	},
	{
		"a newer attempt than one that this term started",
		taskWith(func(r *ObservedTask) { r.Holder = HolderOlderHere }),
		Finding{OlderAttemptReported, Ignore},
	},
	{
		"an older attempt than the recorded one",
		taskWith(func(r *ObservedTask) { r.Holder, r.Inherited = HolderNewerHere, true }),
		Finding{OlderAttemptReported, Ignore},
	},
	{
		"an older attempt than one whose start hasn't been sent",
		taskWith(func(r *ObservedTask) { r.Holder = HolderUnsentHere }),
		Finding{OlderAttemptReported, WithdrawFirst},
	},
	{
		"done, and the result isn't recorded",
		taskWith(func(r *ObservedTask) { r.Holder, r.Exited, r.Done = HolderThisAttempt, true, true }),
		Finding{DoneUnrecorded, TakeResult},
	},
	{
		"done and never recorded",
		taskWith(func(r *ObservedTask) { r.Exited, r.Done = true, true }),
		Finding{DoneUnrecorded, TakeResult},
	},
	{
		"done minutes late, another machine holds it",
		taskWith(func(r *ObservedTask) { r.Holder, r.Exited, r.Done = HolderElsewhere, true, true }),
		Finding{DoneUnrecorded, TakeResult},
	},
	{
		"done, the job is over",
		taskWith(func(r *ObservedTask) { r.Exited, r.Done, r.JobOpen = true, true, false }),
		Finding{DoneJobOver, Forget},
	},
	{
		"done, the task is already done",
		taskWith(func(r *ObservedTask) {
			r.Holder, r.Exited, r.Done, r.ResultWanted = HolderThisAttempt, true, true, false
		}),
		Finding{DoneJobOver, Forget},
	},
	{
		"exited without a result",
		taskWith(func(r *ObservedTask) { r.Holder, r.Exited = HolderThisAttempt, true }),
		Finding{Failed, Requeue},
	},
	{
		"exited without a result, never recorded",
		taskWith(func(r *ObservedTask) { r.Exited = true }),
		Finding{Failed, Forget},
	},
}

// unreportedCases are the rows of the table in docs/recovery.md about recorded attempts that aren't
// reported.
var unreportedCases = []struct {
	name    string
	attempt UnreportedAttempt
	want    Action
}{
	{
		"recorded by an earlier leader, missing from a heartbeat with this term's token",
		UnreportedAttempt{Inherited: true, TermConfirmed: true}, MarkLost,
	},
	{"recorded by an earlier leader, missing from a heartbeat without the token", UnreportedAttempt{Inherited: true}, Wait},
	{"the start was executed or dropped", UnreportedAttempt{Answered: true, TermConfirmed: true}, MarkLost},
	{"reported before", UnreportedAttempt{Seen: true, TermConfirmed: true}, MarkLost},
	{"the start hasn't been sent, or may still be in transit", UnreportedAttempt{TermConfirmed: true}, Wait},
}

// Each row of the table of differences in docs/recovery.md is classified as stated there. A wrong
// action either runs a task twice or loses it.
func TestTableOfDifferences(t *testing.T) {
	for _, c := range reportedCases {
		if got := Classify(c.task); got != c.want {
			t.Errorf("%s: classified as %v, %v", c.name, got.Reason, got.Action)
		}
	}
	for _, c := range unreportedCases {
		if got := ClassifyUnreported(c.attempt); got != (Finding{RecordedUnreported, c.want}) {
			t.Errorf("%s: classified as %v, %v", c.name, got.Reason, got.Action)
		}
	}
}

// For every combination of what may be known of a reported task, nothing is adopted, stopped, marked
// lost, withdrawn, stored or forgotten that mustn't be, and each reason occurs. Rows of the table that
// overlap and are checked in the wrong order would show only here.
func TestEveryCombination(t *testing.T) {
	seen := map[Reason]bool{RecordedUnreported: true} // only ClassifyUnreported returns it
	for holder := HolderNone; holder <= HolderElsewhere; holder++ {
		for bits := range 128 {
			bit := func(i int) bool { return bits>>i&1 == 1 }
			r := ObservedTask{
				Holder: holder, Inherited: bit(0), Exited: bit(1) || bit(2), Done: bit(2),
				JobOpen: bit(3), ResultWanted: bit(4), TermConfirmed: bit(5), Gang: bit(6),
			}
			f := Classify(r)
			seen[f.Reason] = true
			switch {
			case f.Action == Adopt && (r.Exited || !r.JobOpen || !r.ResultWanted || !r.TermConfirmed || r.Gang || holder != HolderNone):
				t.Errorf("adopted: %+v", r)
			case f.Action == Stop && (r.Exited || !r.TermConfirmed):
				t.Errorf("stopped: %+v", r)
			case f.Action == MarkLost && (holder != HolderOlderHere || !r.Inherited):
				t.Errorf("marked lost: %+v", r)
			case f.Action == WithdrawFirst && holder != HolderUnsentHere && holder != HolderUnsentElsewhere:
				t.Errorf("withdrawn: %+v", r)
			case f.Action == TakeResult && (!r.Done || !r.JobOpen || !r.ResultWanted):
				t.Errorf("result taken: %+v", r)
			case f.Action == Forget && r.Done && r.JobOpen && r.ResultWanted:
				t.Errorf("result forgotten: %+v", r)
			}
		}
	}
	for _, reason := range Reasons() {
		if !seen[reason] {
			t.Errorf("reason never occurs: %v", reason)
		}
	}
}
