package operator

import (
	"testing"
	"time"

	"gingertally/internal/drain"
)

// A setting of drains that is lost or misread would leave work without the protection that operators set.
// Drains are off by default; deploy/draining.txtpb switches them on and leaves the standby off.
func TestDrainingSettings(t *testing.T) {
	s, err := parse("op.txt", `draining {
 enabled: true
 finish_wait { seconds: 60 }
 budgets { team: "red" task_interruptions: 1 }
 budgets { team: "red" class: "desk" window_interruptions: 3 window { seconds: 3600 } max_unavailable: 2
  closed { days: "mon" days: "sat" from: "08:30" to: "20:00" time_zone: "Asia/Ulaanbaatar" }
  closed { from: "22:00" to: "06:00" } }
}`, testTeams)
	if err != nil {
		t.Fatal(err)
	}
	red := s.Draining.Budgets[drain.Scope{Team: "red"}]
	desk := s.Draining.Budgets[drain.Scope{Team: "red", Class: "desk"}]
	if red.TaskInterruptions != 1 || red.WindowInterruptions != drain.Unlimited ||
		red.MaxUnavailable != drain.Unlimited {
		t.Errorf("budget of red: %+v", red)
	}
	if desk.TaskInterruptions != drain.Unlimited || desk.WindowInterruptions != 3 || desk.Window != time.Hour ||
		desk.MaxUnavailable != 2 || len(desk.Closed) != 2 {
		t.Errorf("budget of red/desk: %+v", desk)
	}
	w := desk.Closed[0]
	if w.From != 8*time.Hour+30*time.Minute || w.To != 20*time.Hour || w.Location.String() != "Asia/Ulaanbaatar" ||
		!w.Days[time.Monday] || w.Days[time.Tuesday] {
		t.Errorf("first closed window of red/desk: %+v", w)
	}
	policy := s.Draining.Policy(time.Second)
	if policy == nil || policy.FinishWait != time.Minute || policy.Skew != time.Second {
		t.Errorf("policy: %+v", policy)
	}
	off := Default().Draining
	if off.Policy(0) != nil {
		t.Error("drains are on by default")
	}
	if s, err := Load("../../deploy/draining.txtpb", nil); err != nil || !s.Draining.Enabled || s.Standby.Enabled {
		t.Fatalf("deploy/draining.txtpb: %+v, %v", s.Draining, err)
	}
}

// An invalid budget is refused, with the line of the problem: if it were ignored, drains would interrupt
// work that operators believe to be protected.
func TestDrainingRefused(t *testing.T) {
	checkRefused(t, []refusal{
		{"draining {\n budgets { team: \"green\" }\n}", "op.txt:2: budgets: unknown team \"green\""},
		{"draining {\n budgets { class: \"c\" }\n}", "op.txt:2: budgets: unknown team"},
		{
			"draining {\n budgets { team: \"red\" }\n budgets { team: \"red\" }\n}",
			"op.txt:3: budgets: two budgets of red",
		},
		{
			"draining {\n budgets { team: \"red\"\n  max_unavailable: 0 }\n}",
			"op.txt:3: max_unavailable: must be from 1",
		},
		{
			"draining {\n budgets { team: \"red\" window_interruptions: 2 }\n}",
			"op.txt:2: window: of red: window_interruptions and window must be set together",
		},
		{
			"draining {\n budgets { team: \"red\" window_interruptions: 2\n window { seconds: 0 } }\n}",
			"op.txt:3: window: must be from 1s",
		},
		{
			"draining {\n budgets { team: \"red\" closed {\n from: \"8\" to: \"9:00\" } }\n}",
			"op.txt:3: from: must be a time of day",
		},
		{
			"draining {\n budgets { team: \"red\" closed { from: \"08:00\"\n to: \"24:30\" } }\n}",
			"op.txt:3: to: must be a time of day",
		},
		{
			"draining {\n budgets { team: \"red\" closed { from: \"08:00\" to: \"09:61\" } }\n}",
			"op.txt:2: to: must be a time of day",
		},
		{
			"draining {\n budgets { team: \"red\" closed { days: \"mon\"\n days: \"funday\" from: \"08:00\" to: \"09:00\" } }\n}",
			"op.txt:3: days: unknown day \"funday\"",
		},
		{
			"draining {\n budgets { team: \"red\" closed { from: \"08:00\" to: \"09:00\"\n time_zone: \"Mars/Olympus\" } }\n}",
			"op.txt:3: time_zone: unknown time zone",
		},
		{"draining { finish_wait { seconds: -1 } }", "op.txt:1: finish_wait"},
		{"draining { budget { team: \"red\" } }", "budget"},
		{"draining {\n budgets { team: \"red\" task_interruptions: -1 }\n}", "task_interruptions"},
	})
}
