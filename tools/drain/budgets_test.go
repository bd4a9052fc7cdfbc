package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gingertally/internal/emulator"
	"gingertally/internal/operator"
)

// Interruptions are counted against each team's budget by that budget's own rule. A count that misses
// one would report an exceeded budget as kept.
func TestCountHoldsInterruptionsAgainstBudgets(t *testing.T) {
	began := time.Date(2026, 1, 5, 9, 0, 30, 0, time.UTC)
	b := newBudgets(began)
	at := func(minutes float64) time.Time { return began.Add(time.Duration(minutes * float64(time.Minute))) }
	uses := b.count([]emulator.Interruption{
		{Team: teamRuns, Task: "j-1/0", At: at(0)},
		{Team: teamRuns, Task: "j-1/1", At: at(0)},
		{Team: teamRuns, Task: "j-1/0", At: at(1)},
		{Team: teamDesk, Task: "j-2/0", At: at(0)}, // open
		{Team: teamDesk, Task: "j-2/1", At: at(1)}, // closed
		{Team: teamBatch, Task: "j-3/0", At: at(0), Lost: time.Second},
		{Team: teamBatch, Task: "j-3/1", At: at(0.5), Lost: time.Second},
		{Team: teamBatch, Task: "j-3/2", At: at(1.2), Lost: time.Second},
	})
	want := map[string]budgetUse{
		teamRuns:  {Interruptions: 3, Used: 2, Allowed: runsInterruptions},
		teamDesk:  {Interruptions: 2, Used: 1, Allowed: 0},
		teamBatch: {Interruptions: 3, Used: 2, Allowed: batchInWindow, Lost: 3 * time.Second},
	}
	for _, got := range uses {
		w := want[got.Team]
		if got.Interruptions != w.Interruptions || got.Used != w.Used || got.Allowed != w.Allowed || got.Lost != w.Lost {
			t.Errorf("%s: %+v, want %+v", got.Team, got, w)
		}
	}
	if len(uses) != len(want) || uses[0].Team != teamBatch {
		t.Errorf("wrong number or order of results: %+v", uses)
	}
}

// The generated operators' settings are valid, have budgets unless those are ignored, and the desk is
// open in the first minute and not in the second.
func TestSettingsAreValid(t *testing.T) {
	b := newBudgets(time.Date(2026, 1, 5, 9, 0, 30, 0, time.UTC))
	names := []string{teamRuns, teamDesk, teamBatch}
	for _, ignore := range []bool{false, true} {
		settings, err := operator.Load(writeFile(t, b.settings(ignore)), names)
		if err != nil || !settings.Draining.Enabled || (len(settings.Draining.Budgets) == 0) != ignore {
			t.Errorf("ignore %v: %+v, %v", ignore, settings.Draining, err)
		}
	}
	if !b.isOpen(time.Date(2026, 1, 5, 9, 0, 59, 0, time.UTC)) || b.isOpen(time.Date(2026, 1, 5, 9, 1, 0, 0, time.UTC)) {
		t.Error("the desk isn't open in the first minute alone")
	}
}

// writeFile writes a text to a file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.txtpb")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
