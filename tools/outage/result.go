package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingertally/internal/emulator"
	"gingertally/tools/plots"
)

// Bounds and precision of the histograms.
const (
	lowest, highest = 1, 200_000
	digits          = 3
)

// result collects what all clusters have shown.
type result struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	counts     map[string]int
	findings   map[string]int
	broken     []string
	started    int
}

func newResult() *result {
	return &result{histograms: map[string]*hdrhistogram.Histogram{}, counts: map[string]int{}, findings: map[string]int{}}
}

func (r *result) fail(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *result) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *result) found(reason string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings[reason] += n
}

func (r *result) record(what string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[what]
	if h == nil {
		h = hdrhistogram.New(lowest, highest, digits)
		r.histograms[what] = h
	}
	if err := h.RecordValue(min(max(value, lowest), highest)); err != nil {
		r.broken = append(r.broken, err.Error())
	}
}

func (r *result) observe(what string, d time.Duration) { r.record(what+" (ms)", d.Milliseconds()) }

// rates notes how many starts went out in the busiest second, and on the mean.
func (r *result) rates(starts []time.Time) {
	peak := 0
	for i := range starts {
		n := 0
		for _, later := range starts[i:] {
			if later.Sub(starts[i]) < time.Second {
				n++
			}
		}
		peak = max(peak, n)
	}
	r.record("starts in the busiest second", int64(peak))
	if len(starts) > 1 {
		seconds := starts[len(starts)-1].Sub(starts[0]).Seconds()
		r.record("mean starts a second", int64(float64(len(starts))/max(seconds, 1)))
	}
}

func (r *result) note(h *emulator.History) {
	broken, started := h.Broken(), h.Started()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, broken...)
	r.started += started
}

// finish prints the result and draws the page; it fails if a rule was broken.
func (r *result) finish(o options, took time.Duration) error {
	fmt.Printf("took %s, %d tasks started, paced: %v\n", took.Round(time.Second), r.started, o.Paced)
	for _, what := range slices.Sorted(maps.Keys(r.counts)) {
		fmt.Printf("%6d %s\n", r.counts[what], what)
	}
	fmt.Printf("%-32s %6s %7s %7s %7s %7s\n", "", "count", "min", "p50", "p90", "max")
	chart := plots.Chart{Title: "Restarts after a total outage", Subtitle: fmt.Sprintf("%d outages, paced: %v", o.Outages, o.Paced), X: "percentile", Y: "ms, or starts",
		Lines: map[string][]plots.Point{}}
	for _, name := range slices.Sorted(maps.Keys(r.histograms)) {
		h := r.histograms[name]
		fmt.Printf("%-32s %6d %7d %7d %7d %7d\n", name, h.TotalCount(), h.Min(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.Max())
		chart.Lines[name] = plots.Percentiles(h)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.findings)) {
		fmt.Printf("found %7d times: %s\n", r.findings[reason], reason)
	}
	fmt.Printf("rules broken: %d\n", len(r.broken))
	for _, text := range r.broken[:min(len(r.broken), 20)] {
		fmt.Println(" ", text)
	}
	if o.Page != "" {
		if err := plots.WritePage(o.Page, []plots.Chart{chart}); err != nil {
			return err
		}
	}
	if len(r.broken) > 0 {
		return errors.New("rules were broken")
	}
	return nil
}
