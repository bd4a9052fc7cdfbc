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

// result collects what all clusters show.
type result struct {
	*loadtest.Result

	mu       sync.Mutex
	findings map[string]int // of recoveries
}

func newResult() *result {
	return &result{Result: loadtest.NewResult(), findings: map[string]int{}}
}

// countFinding counts how often recoveries found a difference.
func (r *result) countFinding(reason string, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings[reason] += times
}

// observe adds a time to the histogram with a name.
func (r *result) observe(what string, d time.Duration) { r.Observe(what+" (ms)", d) }

// recordRates records how many starts there were in the busiest second, and in a second on the mean.
func (r *result) recordRates(starts []time.Time) {
	r.Record("starts in the busiest second", int64(busiestSecond(starts)))
	if len(starts) > 1 {
		seconds := starts[len(starts)-1].Sub(starts[0]).Seconds()
		r.Record("mean starts a second", int64(float64(len(starts))/max(seconds, 1)))
	}
}

// busiestSecond is the largest number of times within a second. The times are in order.
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

// finish prints the result and draws the page; it fails if a rule was broken.
func (r *result) finish(o options, took time.Duration) error {
	fmt.Printf("took %s, %d tasks started, paced: %v\n", took.Round(time.Second), r.Started, o.Paced)
	r.PrintCounts()
	r.printHistograms()
	for _, reason := range slices.Sorted(maps.Keys(r.findings)) {
		fmt.Printf("found %7d times: %s\n", r.findings[reason], reason)
	}
	r.PrintBroken()
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

// chart draws each distribution by percentile.
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
