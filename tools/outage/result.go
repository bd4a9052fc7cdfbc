package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"gingertally/internal/loadtest"
	"gingertally/tools/plots"
)

// result collects the measurements of all clusters.
type result struct {
	*loadtest.Result

	mu       sync.Mutex
	findings map[string]int // number of the recoveries' findings, by reason
}

func newResult() *result {
	return &result{Result: loadtest.NewResult(), findings: map[string]int{}}
}

// countFinding adds to the number of findings with a reason.
func (r *result) countFinding(reason string, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings[reason] += times
}

// observe adds a time to the histogram with a name, to which it adds the unit.
func (r *result) observe(what string, d time.Duration) { r.Observe(what+" (ms)", d) }

// recordRates records the number of starts in the busiest second, and the mean number per second.
func (r *result) recordRates(starts []time.Time) {
	r.Record("starts in the busiest second", int64(busiestSecond(starts)))
	if len(starts) > 1 {
		seconds := starts[len(starts)-1].Sub(starts[0]).Seconds()
		r.Record("mean starts a second", int64(float64(len(starts))/max(seconds, 1)))
	}
}

// busiestSecond returns the largest number of times within any second. The times are in ascending
// order.
func busiestSecond(times []time.Time) int {
	most := 0
	for i := range times {
		count := 0
		for _, later := range times[i:] {
			if later.Sub(times[i]) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// finish prints the result and writes the page if asked to. It returns an error if a rule was
// violated.
func (r *result) finish(o options, took time.Duration) error {
	fmt.Printf("took %s, %d tasks started, paced: %v\n", took.Round(time.Second), r.Started, o.Paced)
	r.PrintCounts()
	r.printHistograms()
	for _, reason := range slices.Sorted(maps.Keys(r.findings)) {
		fmt.Printf("found %7d times: %s\n", r.findings[reason], reason)
	}
	r.PrintFailures()
	if o.Page != "" {
		if err := plots.WritePage(o.Page, []plots.Chart{r.chart(o)}); err != nil {
			return err
		}
	}
	return r.Err()
}

func (r *result) printHistograms() {
	fmt.Printf("%-32s %6s %7s %7s %7s %7s\n", "", "count", "min", "p50", "p90", "max")
	for _, name := range slices.Sorted(maps.Keys(r.Histograms)) {
		h := r.Histograms[name]
		fmt.Printf("%-32s %6d %7d %7d %7d %7d\n",
			name, h.TotalCount(), h.Min(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.Max())
	}
}

// chart returns a chart of each distribution by percentile.
func (r *result) chart(o options) plots.Chart {
	chart := plots.Chart{
		Title: "Restarts after a total outage", Subtitle: fmt.Sprintf("%d outages, paced: %v", o.Outages, o.Paced),
		X: "percentile", Y: "ms, or starts", Lines: map[string][]plots.Point{},
	}
	for name, h := range r.Histograms {
		chart.Lines[name] = plots.Percentiles(h.Histogram)
	}
	return chart
}
