package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gingertally/internal/emulator"
	"gingertally/internal/loadtest"
	"gingertally/tools/plots"
)

// finish prints the result and writes the page. It returns an error if a budget was exceeded, a
// rule was violated, or an accepted job hasn't ended.
func (r *replacement) finish() error {
	name := "within budgets"
	if r.options.Ignore {
		name = "without budgets"
	}
	fmt.Printf("%d machines replaced %s in %s, %d at once; leaders killed %d times, paused %d times\n",
		len(r.oldMachines), name, r.ended.Sub(r.began).Round(time.Second), r.options.MaxAtOnce, r.killed, r.paused)
	broken := append(r.cluster.History.Violations(), r.printBudgetUses()...)
	intervals := r.intervals()
	fmt.Printf("  time between two releases: p50 %s, p90 %s, longest %s\n",
		intervals.Quantile(50), intervals.Quantile(90), intervals.Quantile(100))
	startsOnReplaced := 0
	for _, machine := range r.oldMachines {
		startsOnReplaced += r.cluster.History.StartsOn(machine)
	}
	fmt.Printf("  tasks started: %d, on machines that were then replaced: %d\n",
		r.cluster.History.Started(), startsOnReplaced)
	open := r.cluster.History.UnfinishedJobs()
	fmt.Printf("  rules broken: %d, accepted jobs that never came to an end: %d\n", len(broken), len(open))
	for _, rule := range broken {
		fmt.Println("   ", rule)
	}
	if err := r.writePage(name, intervals); err != nil {
		return err
	}
	if len(broken)+len(open) > 0 {
		return errors.New("budgets or rules were broken, or jobs were dropped")
	}
	return nil
}

// printBudgetUses prints how much of each budget was used, and returns the budgets that were
// exceeded. Without budgets, as in the baseline, none is.
func (r *replacement) printBudgetUses() (broken []string) {
	interruptions := r.cluster.History.Interruptions()
	for _, use := range r.budgets.count(interruptions) {
		fmt.Printf("  %-6s %4d interruptions; %s: %d, allowed %d; work repeated: %s\n",
			use.Team, use.Interruptions, use.Metric, use.Used, use.Allowed, use.Lost.Round(time.Millisecond))
		if use.Used > use.Allowed && !r.options.Ignore {
			broken = append(broken, "budget of "+use.Team)
			printInterruptions(interruptions, use.Team)
		}
	}
	return broken
}

// printInterruptions prints the interruptions of a team.
func printInterruptions(interruptions []emulator.Interruption, team string) {
	for _, interruption := range interruptions {
		if interruption.Team == team {
			fmt.Printf("    %s %s on %s\n", interruption.At.Format("15:04:05.000"), interruption.Task, interruption.Machine)
		}
	}
}

// intervals returns the times between consecutive removals of machines. The first is measured from
// the beginning of the replacement.
func (r *replacement) intervals() loadtest.Histogram {
	histogram := loadtest.NewHistogram()
	at := []time.Time{r.began}
	for _, removed := range r.removed {
		at = append(at, removed)
	}
	slices.SortFunc(at, time.Time.Compare)
	for i := 1; i < len(at); i++ {
		histogram.Observe(at[i].Sub(at[i-1]))
	}
	return histogram
}

// writePage plots the intervals on a page, if a file for it is given.
func (r *replacement) writePage(name string, intervals loadtest.Histogram) error {
	if r.options.Page == "" {
		return nil
	}
	chart := plots.Chart{
		Title: "Time between two releases, " + name, Subtitle: "loopback", X: "percentile", Y: "ms",
		Lines: map[string][]plots.Point{"releases": plots.Percentiles(intervals.Histogram)},
	}
	return plots.WritePage(r.options.Page, []plots.Chart{chart})
}
