package drain

import (
	"fmt"
	"testing"
	"time"
)

var testStart = time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)

// newTestLedger returns an empty ledger whose pages fit only a few charges each.
func newTestLedger(p *Policy) *Ledger {
	n := 0
	return NewLedger(p, func() string { n++; return fmt.Sprintf("1-%d", n) }, func() int { return 400 })
}

func testPolicy(budgets map[Scope]Budget) *Policy {
	return &Policy{Budgets: budgets, FinishWait: time.Minute, Skew: time.Second}
}

// budget returns a budget that limits nothing but what the change sets.
func budget(change func(*Budget)) Budget {
	b := NewBudget()
	change(&b)
	return b
}

// candidate returns a single task, with checkpoints, of a job of team red and class c.
func candidate(job string, task int, attempt uint64) *Candidate {
	return &Candidate{Team: "red", Class: "c", Job: job, Checkpoints: true, EvictionTime: 5 * time.Second, CordonedAt: testStart,
		Tasks: []TaskAttempt{{TaskKey{job, task}, attempt}}}
}

// chargeAll charges a voluntary interruption of all of the candidate's tasks.
func (c *Candidate) chargeAll(l *Ledger, now time.Time) {
	for _, t := range c.Tasks {
		l.Charge(now, c.Team, c.Class, t.TaskKey, t.Attempt, Voluntary)
	}
}

func expect(t *testing.T, what string, v Verdict, kind VerdictKind, cause Cause) {
	t.Helper()
	if v.Kind != kind || v.Cause != cause {
		t.Errorf("%s: verdict %d %q, expected %d %q", what, v.Kind, v.Cause, kind, cause)
	}
}

// A task that has used up its interruptions is left to finish; a service's replica that has makes its
// machine impossible to empty. An attempt's own charge doesn't count against it: otherwise a leader
// that takes over couldn't carry out an eviction that was already charged.
func TestTaskBudget(t *testing.T) {
	p := testPolicy(map[Scope]Budget{{Team: "red"}: budget(func(b *Budget) { b.TaskInterruptions = 1 })})
	l := newTestLedger(p)
	first := candidate("j-1", 0, 7)
	expect(t, "none yet", p.Judge(testStart, l, first), Allowed, CauseNone)
	first.chargeAll(l, testStart)
	expect(t, "after its own charge", p.Judge(testStart, l, first), Allowed, CauseNone)
	second := candidate("j-1", 0, 8)
	expect(t, "a second time", p.Judge(testStart, l, second), NotYet, CauseTaskBudget)
	second.Replicas = 3
	expect(t, "a second time, of a service", p.Judge(testStart, l, second), Never, CauseTaskBudget)
	expect(t, "another task", p.Judge(testStart, l, candidate("j-1", 1, 8)), Allowed, CauseNone)
	l.Charge(testStart, "red", "c", TaskKey{"j-1", 2}, 5, Involuntary)
	expect(t, "after an involuntary one", p.Judge(testStart, l, candidate("j-1", 2, 9)), NotYet, CauseTaskBudget)
}

// An interruption counts from its charge until its attempt has been known to be gone for the window's
// length plus twice the skew, and a gang counts with all its tasks. It guards against windows that
// are exceeded because an eviction takes long or because clocks differ.
func TestWindowBudget(t *testing.T) {
	p := testPolicy(map[Scope]Budget{{Team: "red"}: budget(func(b *Budget) {
		b.WindowInterruptions, b.Window = 2, time.Minute
	})})
	l := newTestLedger(p)
	first, second := candidate("j-1", 0, 1), candidate("j-1", 1, 2)
	first.chargeAll(l, testStart)
	gang := candidate("j-2", 0, 3)
	gang.Tasks = append(gang.Tasks, TaskAttempt{TaskKey{"j-2", 1}, 3})
	expect(t, "a gang of two", p.Judge(testStart, l, gang), NotYet, CauseWindowBudget)
	expect(t, "a second task", p.Judge(testStart, l, second), Allowed, CauseNone)
	second.chargeAll(l, testStart)
	third := candidate("j-1", 2, 4)
	at := testStart.Add(time.Hour)
	expect(t, "while both are open", p.Judge(at, l, third), NotYet, CauseWindowBudget)
	l.AttemptGone(at, TaskKey{"j-1", 0}, 1)
	v := p.Judge(at, l, third)
	expect(t, "right after the end of one", v, NotYet, CauseWindowBudget)
	if until := at.Add(time.Minute + 2*time.Second); !v.Until.Equal(until) {
		t.Errorf("until %s, expected %s", v.Until, until)
	}
	leaves := at.Add(time.Minute + 2*time.Second)
	expect(t, "just before it leaves the window", p.Judge(leaves.Add(-time.Second), l, third), NotYet, CauseWindowBudget)
	expect(t, "once it has left", p.Judge(leaves, l, third), Allowed, CauseNone)
	gang.Tasks = append(gang.Tasks, TaskAttempt{TaskKey{"j-2", 2}, 3})
	gang.Replicas = 3
	expect(t, "more at once than ever allowed", p.Judge(at.Add(time.Hour), l, gang), Never, CauseWindowBudget)
}

// Both the team's budget and that of the class have to allow an eviction. It guards against a class's
// budget that replaces that of its team instead of applying as well.
func TestBudgetsAgree(t *testing.T) {
	p := testPolicy(map[Scope]Budget{
		{Team: "red"}:             budget(func(b *Budget) { b.MaxUnavailable = 2 }),
		{Team: "red", Class: "c"}: budget(func(b *Budget) { b.TaskInterruptions = 0 }),
	})
	l := newTestLedger(p)
	expect(t, "the class forbids it", p.Judge(testStart, l, candidate("j-1", 0, 1)), NotYet, CauseTaskBudget)
	other := candidate("j-1", 0, 1)
	other.Class = "d"
	expect(t, "another class", p.Judge(testStart, l, other), Allowed, CauseNone)
	other.Down = 2
	expect(t, "the team forbids it", p.Judge(testStart, l, other), NotYet, CauseUnavailable)
	blue := candidate("j-2", 0, 1)
	blue.Team = "blue"
	expect(t, "no budget", p.Judge(testStart, l, blue), Allowed, CauseNone)
}

// A task without checkpoints is given time to finish, and a service keeps one replica up whatever its
// budget allows. It guards against lost work and against services that are down.
func TestWaitsAndReplicas(t *testing.T) {
	p := testPolicy(map[Scope]Budget{{Team: "red"}: budget(func(b *Budget) { b.MaxUnavailable = 9 })})
	l := newTestLedger(p)
	c := candidate("j-1", 0, 1)
	c.Checkpoints = false
	expect(t, "it may finish", p.Judge(testStart.Add(59*time.Second), l, c), NotYet, CauseFinishing)
	expect(t, "the wait is over", p.Judge(testStart.Add(time.Minute), l, c), Allowed, CauseNone)
	c.Replicas, c.Down = 2, 1
	expect(t, "the last replica", p.Judge(testStart, l, c), NotYet, CauseUnavailable)
	c.Down = 0
	expect(t, "one of two", p.Judge(testStart, l, c), Allowed, CauseNone)
	c.Team, c.Replicas, c.Down = "blue", 20, 2
	expect(t, "the third replica of twenty, no budget", p.Judge(testStart, l, c), NotYet, CauseUnavailable)
}

// A closed window forbids evictions that might not be over when it begins, and it lasts until it is
// over by the slowest clock that the skew allows. It guards against evictions within the window by a
// leader whose clock is off.
func TestClosedWindowWithSkew(t *testing.T) {
	closed := ClosedWindow{From: 12 * time.Hour, To: 13 * time.Hour, Location: time.UTC}
	closed.Days = [7]bool{true, true, true, true, true, true, true}
	p := testPolicy(map[Scope]Budget{{Team: "red"}: budget(func(b *Budget) { b.Closed = []ClosedWindow{closed} })})
	l := newTestLedger(p)
	noon := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		at      time.Time
		allowed bool
	}{
		{noon.Add(-6*time.Second - time.Millisecond), true}, // takes 5 s, and the clock may be 1 s off
		{noon.Add(-6*time.Second + time.Millisecond), false},
		{noon, false},
		{noon.Add(time.Hour), false},
		{noon.Add(time.Hour + time.Second - time.Millisecond), false},
		{noon.Add(time.Hour + time.Second), true},
	} {
		v := p.Judge(c.at, l, candidate("j-1", 0, 1))
		if (v.Kind == Allowed) != c.allowed || p.OutsideClosedWindows(c.at, "red", "c", 5*time.Second) != c.allowed {
			t.Errorf("at %s: verdict %+v", c.at, v)
		}
		if until := noon.Add(time.Hour + time.Second); !c.allowed && !v.Until.Equal(until) {
			t.Errorf("at %s: until %s, expected %s", c.at, v.Until, until)
		}
	}
}

// The next open time is found for windows that adjoin or pass midnight, and on days on which summer
// time begins or ends; if windows cover all time, none is found. It guards against evictions up to an
// hour inside a window, and against a search that doesn't end.
func TestClosedWindows(t *testing.T) {
	zone, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Fatal(err)
	}
	day := func(days ...time.Weekday) (out [7]bool) {
		for _, d := range days {
			out[d] = true
		}
		return out
	}
	daily := day(0, 1, 2, 3, 4, 5, 6)
	window := func(days [7]bool, from, to int) ClosedWindow {
		return ClosedWindow{days, time.Duration(from) * time.Hour, time.Duration(to) * time.Hour, zone}
	}
	at := func(text string) time.Time {
		moment, err := time.ParseInLocation("2006-01-02 15:04", text, zone)
		if err != nil {
			t.Fatal(err)
		}
		return moment
	}
	for _, c := range []struct {
		name      string
		windows   []ClosedWindow
		now, open string // open is empty if there is no open time
	}{
		{"open", []ClosedWindow{window(daily, 8, 10)}, "2026-12-02 11:00", "2026-12-02 11:00"},
		{"adjoining", []ClosedWindow{window(daily, 8, 10), window(daily, 10, 12)}, "2026-12-02 09:00", "2026-12-02 12:00"},
		{"over midnight, from Friday", []ClosedWindow{window(day(time.Friday), 22, 6)}, "2026-12-05 03:00", "2026-12-05 06:00"},
		{"over midnight, not from Saturday", []ClosedWindow{window(day(time.Friday), 22, 6)}, "2026-12-06 03:00", "2026-12-06 03:00"},
		{"the night clocks go back", []ClosedWindow{window(daily, 1, 4)}, "2026-10-25 01:30", "2026-10-25 04:00"},
		{"the night clocks go forward", []ClosedWindow{window(daily, 1, 4)}, "2026-03-29 01:30", "2026-03-29 04:00"},
		{"always", []ClosedWindow{window(daily, 0, 0)}, "2026-12-02 11:00", ""},
		{"a whole weekday", []ClosedWindow{window(day(time.Wednesday), 0, 0)}, "2026-12-02 11:00", "2026-12-03 00:00"},
	} {
		open, ok := openFrom(c.windows, at(c.now), time.Second, 0)
		if ok != (c.open != "") || ok && !open.Equal(at(c.open)) {
			t.Errorf("%s: open from %s, found %v", c.name, open, ok)
		}
	}
}
