package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingertally/internal/emulator"
	"gingertally/tools/plots"
)

// Bounds and precision of the histograms, in milliseconds.
const lowestMS, highestMS, digits = 1, 3_600_000, 3

// report prints what the run showed; an error if a budget or a rule was broken.
func (r *replacement) report() error {
	name := "within budgets"
	if r.options.Ignore {
		name = "without budgets"
	}
	fmt.Printf("%d machines replaced %s in %s, %d at once; leaders killed %d times, paused %d times\n", len(r.old), name,
		r.ended.Sub(r.began).Round(time.Second), r.options.MaxAtOnce, r.killed, r.paused)
	broken := r.cluster.History.Broken()
	halts := r.cluster.History.Interruptions()
	for _, u := range r.budgets.count(halts) {
		fmt.Printf("  %-6s %4d interruptions; %s: %d, allowed %d; work repeated: %s\n", u.Team, u.Interruptions, u.What, u.Used, u.Allowed, u.Repeated.Round(time.Millisecond))
		if u.Used > u.Allowed && !r.options.Ignore {
			broken = append(broken, "budget of "+u.Team)
			r.list(halts, u.Team)
		}
	}
	intervals := r.intervals()
	fmt.Printf("  time between two releases: p50 %s, p90 %s, longest %s\n", quantile(intervals, 50), quantile(intervals, 90), quantile(intervals, 100))
	again := 0
	for _, machine := range r.old {
		again += r.cluster.History.StartsOn(machine)
	}
	fmt.Printf("  tasks started: %d, on machines that were then replaced: %d\n", r.cluster.History.Started(), again)
	open := r.cluster.History.Open()
	fmt.Printf("  rules broken: %d, accepted jobs that never came to an end: %d\n", len(broken), len(open))
	for _, rule := range broken {
		fmt.Println("   ", rule)
	}
	if r.options.Page != "" {
		chart := plots.Chart{Title: "Time between two releases, " + name, Subtitle: "loopback", X: "percentile", Y: "ms",
			Lines: map[string][]plots.Point{"releases": plots.Percentiles(intervals)}}
		if err := plots.WritePage(r.options.Page, []plots.Chart{chart}); err != nil {
			return err
		}
	}
	if len(broken)+len(open) > 0 {
		return errors.New("budgets or rules were broken, or jobs were dropped")
	}
	return nil
}

// list prints the interruptions of a team.
func (*replacement) list(halts []emulator.Interruption, team string) {
	for _, h := range halts {
		if h.Team == team {
			fmt.Printf("    %s %s on %s\n", h.At.Format("15:04:05.000"), h.Task, h.Machine)
		}
	}
}

// intervals are the times from one machine's release to the next.
func (r *replacement) intervals() *hdrhistogram.Histogram {
	h := hdrhistogram.New(lowestMS, highestMS, digits)
	at := []time.Time{r.began}
	for _, gone := range r.gone {
		at = append(at, gone)
	}
	slices.SortFunc(at, time.Time.Compare)
	for i := 1; i < len(at); i++ {
		_ = h.RecordValue(min(max(at[i].Sub(at[i-1]).Milliseconds(), lowestMS), highestMS)) // within the bounds
	}
	return h
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Millisecond).Round(10 * time.Millisecond)
}
