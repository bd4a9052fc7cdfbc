package emulator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/wire"
)

// Each rule that the history holds is found broken by a deliberate fault, and only then: a rule that is never found
// broken would let measurements and tests pass whatever controllers do.
func TestHistoryFindsBrokenRules(t *testing.T) {
	first := attemptID{fleet.TaskID{Ref: "j-000001", Task: 0}, 1}
	second := attemptID{first.TaskID, 2}
	for _, c := range []struct {
		name  string
		fault func(*History)
		want  string // how the rule begins; empty: none is broken
	}{
		{"one task after the other", func(h *History) {
			h.startCommanded("m-1", first, 1)
			h.left(first.TaskID, false)
			h.startCommanded("m-2", second, 1)
			h.left(first.TaskID, true)
			h.told("j-000001", wire.StatusDone)
		}, ""},
		{"an attempt is started again", func(h *History) {
			h.startCommanded("m-1", first, 1)
			h.left(first.TaskID, false)
			h.startCommanded("m-2", first, 2)
		}, "start commanded twice: j-000001/0#1 on m-1 and m-2"},
		{"a task runs on two machines", func(h *History) {
			h.startCommanded("m-1", first, 1)
			h.startCommanded("m-2", second, 1)
		}, "ran_twice: j-000001/0 starts on m-2 while on m-1"},
		{"nobody submitted the job", func(h *History) {
			h.startCommanded("m-1", attemptID{fleet.TaskID{Ref: "j-000009"}, 1}, 1)
		}, "start of j-000009/0, which nobody submitted"},
		{"done too early", func(h *History) { h.told("j-000001", wire.StatusDone) }, "not_done: j-000001 with 0 of 1 tasks"},
		{"done no more", func(h *History) {
			h.left(first.TaskID, true)
			h.told("j-000001", wire.StatusDone)
			h.told("j-000001", wire.StatusRunning)
		}, "went_back: j-000001 from done to running"},
		{"cancelled by nobody", func(h *History) { h.told("j-000001", wire.StatusCancelled) }, "went_back: j-000001 is cancelled"},
		{"forgotten", func(h *History) { h.forgotten("j-000001") }, "forgotten: j-000001"},
	} {
		history := NewHistory()
		history.submitted("j-000001", "t", 1, JobProfile{})
		history.accepted("j-000001")
		c.fault(history)
		broken := strings.Join(history.Broken(), "; ")
		if (broken == "") != (c.want == "") || !strings.HasPrefix(broken, c.want) {
			t.Errorf("%s: %q, want %q", c.name, broken, c.want)
		}
	}
}

// An interruption costs the work since the task's start, unless the task saves: then it runs on for the rest only.
func TestInterruptionsCostUnsavedWork(t *testing.T) {
	const run = 10 * time.Second
	for _, saves := range []bool{true, false} {
		history := NewHistory()
		history.submitted("j-000001", "t", 1, JobProfile{Run: run, Saves: saves})
		task := fleet.TaskID{Ref: "j-000001"}
		if history.interrupted(task, "m-1", 20*time.Second) != saves {
			t.Errorf("saves %v: progress is kept otherwise", saves)
		}
		lost := map[bool]time.Duration{true: 0, false: 20 * time.Second}[saves]
		got := history.Interruptions()
		if len(got) != 1 || got[0].Lost != lost || got[0].Task != "j-000001/0" || got[0].Team != "t" {
			t.Errorf("saves %v: %+v, want %s lost", saves, got, lost)
		}
		if left := history.runTime(task, 0); saves != (left == minRunTime) {
			t.Errorf("saves %v: runs on for %s", saves, left)
		}
	}
}

// Accepted jobs are open until their users are told that they are done.
func TestOpenJobs(t *testing.T) {
	history := NewHistory()
	for _, ref := range []string{"j-000001", "j-000002", "j-000003"} {
		history.submitted(ref, "t", 0, JobProfile{})
	}
	history.accepted("j-000001")
	history.accepted("j-000002")
	history.told("j-000002", wire.StatusDone)
	if open := history.Open(); !slices.Equal(open, []string{"j-000001"}) {
		t.Errorf("%v", open)
	}
}
