package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"gingertally/internal/emulator"
)

// Teams of the measurement.
const (
	teamRuns  = "runs"  // long runs that save, and may restart once
	teamDesk  = "desk"  // work that must not move in its opening hours
	teamBatch = "batch" // work that doesn't save, of which few may be interrupted
)

// Budgets of the teams.
const (
	runsInterruptions = 1
	batchInWindow     = 3
	batchWindow       = time.Minute
	batchFinishWait   = 3 * time.Second
	// openMinutes: of so many minutes, the desk is open in the first.
	openMinutes = 2
	// openHours is how long closed windows are declared for.
	openHours = 2
)

// usersPerTeam bounds the users of a team, so that the numbers of different teams' users differ.
const usersPerTeam = 1000

// team is a team with its load.
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

// budgets are the budgets of a run. They differ from run to run in the minutes in which the desk is open, which are
// given by their beginnings.
type budgets struct{ open []time.Time }

func newBudgets(now time.Time) *budgets {
	b := &budgets{}
	first := now.UTC().Truncate(time.Minute)
	for i := 0; i < openHours*60; i += openMinutes {
		b.open = append(b.open, first.Add(time.Duration(i)*time.Minute))
	}
	return b
}

// settings are the operators' settings; without budgets for a baseline.
func (b *budgets) settings(ignore bool) string {
	if ignore {
		return "draining { enabled: true finish_wait { seconds: 3 } }\n"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "draining {\n enabled: true\n budgets { team: %q task_interruptions: %d }\n", teamRuns, runsInterruptions)
	fmt.Fprintf(&text, " budgets { team: %q window_interruptions: %d window { seconds: %d } finish_wait { seconds: %d } }\n",
		teamBatch, batchInWindow, int(batchWindow.Seconds()), int(batchFinishWait.Seconds()))
	fmt.Fprintf(&text, " budgets {\n  team: %q\n", teamDesk)
	for _, at := range b.open {
		fmt.Fprintf(&text, "  closed { from: %q to: %q }\n", at.Format("15:04"), at.Add(time.Minute).Format("15:04"))
	}
	text.WriteString(" }\n}\n")
	return text.String()
}

// isOpen reports whether the desk is open.
func (b *budgets) isOpen(at time.Time) bool {
	for _, open := range b.open {
		if !at.Before(open) && at.Before(open.Add(time.Minute)) {
			return true
		}
	}
	return false
}

// use is what of a team's budget was used, as the workers saw it.
type use struct {
	Team          string
	Interruptions int
	Used, Allowed int
	What          string        // is used
	Lost          time.Duration // work that was repeated
}

// count holds the interruptions against the budgets. The uses are in the order of the teams' names.
func (b *budgets) count(interruptions []emulator.Interruption) []use {
	uses := map[string]*use{
		teamRuns:  {Team: teamRuns, Allowed: runsInterruptions, What: "most interruptions of one task"},
		teamDesk:  {Team: teamDesk, Allowed: 0, What: "interruptions in opening hours"},
		teamBatch: {Team: teamBatch, Allowed: batchInWindow, What: "most interruptions within " + batchWindow.String()},
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
			use.Used = max(use.Used, within(batch, batchWindow))
		}
	}
	sorted := []use{*uses[teamRuns], *uses[teamDesk], *uses[teamBatch]}
	slices.SortFunc(sorted, func(a, b use) int { return cmp.Compare(a.Team, b.Team) })
	return sorted
}

// within counts the times in the window that ends with the last.
func within(times []time.Time, window time.Duration) int {
	last, count := times[len(times)-1], 0
	for _, at := range times {
		if last.Sub(at) < window {
			count++
		}
	}
	return count
}
