package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"gingertally/internal/emulator"
)

// Names of the teams, under which their results are printed.
const (
	teamRuns  = "runs"  // long tasks that save their progress, each of which may be interrupted once
	teamDesk  = "desk"  // work that must not be interrupted in its opening hours
	teamBatch = "batch" // work that doesn't save, of which few tasks may be interrupted in a window
)

// Disruption budgets of the teams.
const (
	runsInterruptions = 1
	batchInWindow     = 3
	batchWindow       = time.Minute
	batchFinishWait   = 3 * time.Second
	// openPeriodMinutes is the period of the desk's opening hours: it is open in the first minute
	// of each.
	openPeriodMinutes = 2
	// scheduleHours is how far ahead the desk's opening hours are declared.
	scheduleHours = 2
)

// userNumbersPerTeam is how many user numbers each team has to itself, so that no two users share a
// number. It bounds the users of a team.
const userNumbersPerTeam = 1000

// team is a team with its users and the jobs that they submit.
type team struct {
	name    string
	users   int
	profile emulator.JobProfile
}

var teams = []team{
	{teamRuns, 20, emulator.JobProfile{Run: 40 * time.Second, Saves: true}},
	{teamDesk, 20, emulator.JobProfile{Run: 15 * time.Second, Saves: true}},
	{teamBatch, 20, emulator.JobProfile{Run: 20 * time.Second}},
}

// budgets holds the disruption budgets of a run. Only the desk's opening hours differ from run to
// run: openFrom lists the beginnings of the minutes in which it is open.
type budgets struct{ openFrom []time.Time }

// newBudgets returns the budgets of a run whose first opening minute is the present one.
func newBudgets(now time.Time) *budgets {
	b := &budgets{}
	first := now.UTC().Truncate(time.Minute)
	for i := 0; i < scheduleHours*60; i += openPeriodMinutes {
		b.openFrom = append(b.openFrom, first.Add(time.Duration(i)*time.Minute))
	}
	return b
}

// settings returns the text of the operators' settings. If ignore is set, it has no budgets, as a
// baseline.
func (b *budgets) settings(ignore bool) string {
	if ignore {
		return "draining { enabled: true finish_wait { seconds: 3 } }\n"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "draining {\n enabled: true\n budgets { team: %q task_interruptions: %d }\n", teamRuns, runsInterruptions)
	fmt.Fprintf(&text, " budgets { team: %q window_interruptions: %d window { seconds: %d } finish_wait { seconds: %d } }\n",
		teamBatch, batchInWindow, int(batchWindow.Seconds()), int(batchFinishWait.Seconds()))
	fmt.Fprintf(&text, " budgets {\n  team: %q\n", teamDesk)
	for _, at := range b.openFrom {
		fmt.Fprintf(&text, "  closed { from: %q to: %q }\n", at.Format("15:04"), at.Add(time.Minute).Format("15:04"))
	}
	text.WriteString(" }\n}\n")
	return text.String()
}

// isOpen reports whether the desk is open at a time.
func (b *budgets) isOpen(at time.Time) bool {
	for _, open := range b.openFrom {
		if !at.Before(open) && at.Before(open.Add(time.Minute)) {
			return true
		}
	}
	return false
}

// budgetUse is how much of a team's budget was used, as counted at the workers.
type budgetUse struct {
	Team          string
	Interruptions int
	Used, Allowed int
	Metric        string        // describes what Used counts
	Lost          time.Duration // work that was repeated
}

// count returns how much of each budget the interruptions used, sorted by team name.
func (b *budgets) count(interruptions []emulator.Interruption) []budgetUse {
	uses := map[string]*budgetUse{
		teamRuns:  {Team: teamRuns, Allowed: runsInterruptions, Metric: "most interruptions of one task"},
		teamDesk:  {Team: teamDesk, Allowed: 0, Metric: "interruptions in opening hours"},
		teamBatch: {Team: teamBatch, Allowed: batchInWindow, Metric: "most interruptions within " + batchWindow.String()},
	}
	perTask := map[string]int{}
	var batch []time.Time
	for _, interruption := range interruptions {
		use := uses[interruption.Team]
		use.Interruptions++
		use.Lost += interruption.Lost
		switch interruption.Team {
		case teamRuns:
			perTask[interruption.Task]++
			use.Used = max(use.Used, perTask[interruption.Task])
		case teamDesk:
			if b.isOpen(interruption.At) {
				use.Used++
			}
		case teamBatch:
			batch = append(batch, interruption.At)
			use.Used = max(use.Used, countInWindow(batch, batchWindow))
		}
	}
	sorted := []budgetUse{*uses[teamRuns], *uses[teamDesk], *uses[teamBatch]}
	slices.SortFunc(sorted, func(a, b budgetUse) int { return cmp.Compare(a.Team, b.Team) })
	return sorted
}

// countInWindow counts the times in the window that ends with the last one. There must be at least
// one.
func countInWindow(times []time.Time, window time.Duration) int {
	last, count := times[len(times)-1], 0
	for _, at := range times {
		if last.Sub(at) < window {
			count++
		}
	}
	return count
}
