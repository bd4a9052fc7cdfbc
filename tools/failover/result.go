package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"gingertally/internal/loadtest"
	"gingertally/tools/plots"
)

// objective is the time after the end of a leader within which the next one should have started its
// first task. All distributions are compared with it, also those of first answers and of phases.
const objective = 5 * time.Second

// result collects the measurements of all clusters.
type result struct {
	*loadtest.Result
	options       options
	took          time.Duration
	distributions map[string]distribution
}

// distribution summarizes a histogram; its values are in milliseconds.
type distribution struct {
	Count                    int64
	Min, P50, P90, P99, P999 int64
	Max                      int64
	Mean                     float64
	AboveObjective           int64   `json:"AboveAim"` // number of values above the objective
	AboveObjectiveShare      float64 `json:"AboveAimShare"`
}

func newResult(o options) *result {
	return &result{Result: loadtest.NewResult(), options: o, distributions: map[string]distribution{}}
}

// finish prints the result and writes the files that were asked for. It returns an error if a
// failure was recorded, a violated rule or any other, or if a file can't be written.
func (r *result) finish(took time.Duration) error {
	r.took = took.Round(time.Second)
	for name, histogram := range r.Histograms {
		r.distributions[name] = distributionOf(histogram)
	}
	r.print()
	if r.options.Result != "" {
		if err := r.writeJSON(r.options.Result); err != nil {
			return err
		}
	}
	if r.options.Page != "" {
		if err := r.writePage(r.options.Page); err != nil {
			return err
		}
	}
	return r.Err()
}

// distributionOf returns the summary of a histogram.
func distributionOf(h loadtest.Histogram) distribution {
	d := distribution{
		Count: h.TotalCount(), Min: h.Min(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(), Mean: h.Mean(),
	}
	for _, bar := range h.Distribution() {
		if bar.From > objective.Milliseconds() {
			d.AboveObjective += bar.Count
		}
	}
	d.AboveObjectiveShare = float64(d.AboveObjective) / float64(max(1, d.Count))
	return d
}

// print prints the counts, the distributions and the failures.
func (r *result) print() {
	fmt.Printf("took %s, %d tasks started\n", r.took, r.Started)
	r.PrintCounts()
	fmt.Printf("%-34s %6s %7s %7s %7s %7s %7s  %s\n",
		"ms", "count", "min", "p50", "p90", "p99", "max", "above "+objective.String())
	for _, name := range slices.Sorted(maps.Keys(r.distributions)) {
		d := r.distributions[name]
		fmt.Printf("%-34s %6d %7d %7d %7d %7d %7d  %d (%.2f%%)\n",
			name, d.Count, d.Min, d.P50, d.P90, d.P99, d.Max, d.AboveObjective, 100*d.AboveObjectiveShare)
	}
	r.PrintFailures()
}

// resultFile is the content of the result file, in JSON.
type resultFile struct {
	Options       options
	Took          string
	Counts        map[string]int
	Started       int      // number of tasks that were started
	Broken        []string // violated rules and other failures
	Distributions map[string]distribution
}

func (r *result) writeJSON(path string) error {
	text, err := json.MarshalIndent(resultFile{
		Options: r.options, Took: r.took.String(), Counts: r.Counts, Started: r.Started, Broken: r.Failures,
		Distributions: r.distributions,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

// writePage plots each distribution by percentile.
func (r *result) writePage(path string) error {
	chart := plots.Chart{
		Title:    "Takeover times",
		Subtitle: fmt.Sprintf("%d leaders ended, %s, seed %d", r.options.Kills, r.took, r.options.Seed),
		X:        "percentile", Y: "ms", Lines: map[string][]plots.Point{},
	}
	for name, h := range r.Histograms {
		chart.Lines[name] = plots.Percentiles(h.Histogram)
	}
	return plots.WritePage(path, []plots.Chart{chart})
}
