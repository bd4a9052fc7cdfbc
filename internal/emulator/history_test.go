package emulator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/wire"
)

// Every rule that the history checks is reported as broken after a deliberate fault, and only then.
// If a rule was never reported, measurements and tests would pass whatever controllers do.
func TestHistoryFindsBrokenRules(t *testing.T) {
	first := attemptID{fleet.TaskID{Ref: "j-000001", Task: 0}, 1}
	second := attemptID{first.TaskID, 2}
	for _, c := range []struct {
		name  string
		fault func(*History)
		want  string // beginning of the violation's text; empty: no rule is broken
	}{
		{"one task after the other", func(h *History) {
			h.taskStarted("m-1", first, 1)
			h.taskEnded(first.TaskID, false)
			h.taskStarted("m-2", second, 1)
			h.taskEnded(first.TaskID, true)
			h.statusReceived("j-000001", wire.StatusDone)
		}, ""},
		{"an attempt is started again", func(h *History) {
			h.taskStarted("m-1", first, 1)
			h.taskEnded(first.TaskID, false)
			h.taskStarted("m-2", first, 2)
		}, "start commanded twice: j-000001/0#1 on m-1 and m-2"},
		{"a task runs on two machines", func(h *History) {
			h.taskStarted("m-1", first, 1)
			h.taskStarted("m-2", second, 1)
		}, "ran_twice: j-000001/0 starts on m-2 while on m-1"},
		{"nobody submitted the job", func(h *History) {
			h.taskStarted("m-1", attemptID{fleet.TaskID{Ref: "j-000009"}, 1}, 1)
		}, "start of j-000009/0, which nobody submitted"},
		{"done too early", func(h *History) { h.statusReceived("j-000001", wire.StatusDone) }, "not_done: j-000001 with 0 of 1 tasks"},
		{"done no more", func(h *History) {
			h.taskEnded(first.TaskID, true)
			h.statusReceived("j-000001", wire.StatusDone)
			h.statusReceived("j-000001", wire.StatusRunning)
		}, "went_back: j-000001 from done to running"},
		{"cancelled by nobody", func(h *History) { h.statusReceived("j-000001", wire.StatusCancelled) }, "went_back: j-000001 is cancelled"},
		{"forgotten", func(h *History) { h.jobLost("j-000001") }, "forgotten: j-000001"},
	} {
		history := NewHistory()
		history.jobSubmitted("j-000001", "t", 1, JobProfile{})
		history.jobAccepted("j-000001")
		c.fault(history)
		broken := strings.Join(history.Violations(), "; ")
		if (broken == "") != (c.want == "") || !strings.HasPrefix(broken, c.want) {
			t.Errorf("%s: violations %q, want prefix %q", c.name, broken, c.want)
		}
	}
}

// An interruption costs the run time since the task's start, unless the task saves its progress; then
// the next attempt runs only for the rest. Guards against wrong figures for the cost of interruptions.
func TestInterruptionsCostUnsavedWork(t *testing.T) {
	const run = 10 * time.Second
	for _, saves := range []bool{true, false} {
		history := NewHistory()
		history.jobSubmitted("j-000001", "t", 1, JobProfile{Run: run, Saves: saves})
		task := fleet.TaskID{Ref: "j-000001"}
		if history.taskInterrupted(task, "m-1", 20*time.Second) != saves {
			t.Errorf("saves %v: taskInterrupted reports the opposite", saves)
		}
		lost := map[bool]time.Duration{true: 0, false: 20 * time.Second}[saves]
		got := history.Interruptions()
		if len(got) != 1 || got[0].Lost != lost || got[0].Task != "j-000001/0" || got[0].Team != "t" {
			t.Errorf("saves %v: interruptions %+v, want one with %s lost", saves, got, lost)
		}
		if left := history.runTime(task, 0); saves != (left == minRunTime) {
			t.Errorf("saves %v: the next attempt runs for %s", saves, left)
		}
	}
}

// A job is open from when it is accepted until its user is told that it is done.
func TestOpenJobs(t *testing.T) {
	history := NewHistory()
	for _, ref := range []string{"j-000001", "j-000002", "j-000003"} {
		history.jobSubmitted(ref, "t", 0, JobProfile{})
	}
	history.jobAccepted("j-000001")
	history.jobAccepted("j-000002")
	history.statusReceived("j-000002", wire.StatusDone)
	if open := history.UnfinishedJobs(); !slices.Equal(open, []string{"j-000001"}) {
		t.Errorf("open jobs %v, want only j-000001", open)
	}
}
