package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingertally/internal/emulator"
	"gingertally/tools/plots"
)

const (
	// aim is within what time the first start of a new leader is wanted.
	aim = 5 * time.Second
	// Bounds and precision of the histograms, in milliseconds.
	lowestMS, highestMS, digits = 1, 60_000, 3
)

// result collects what all clusters have shown.
type result struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram

	Options       options
	Took          string
	Counts        map[string]int
	Started       int // tasks
	Broken        []string
	Distributions map[string]distribution
}

// distribution are figures of a histogram, in milliseconds.
type distribution struct {
	Count                    int64
	Min, P50, P90, P99, P999 int64
	Max                      int64
	Mean                     float64
	AboveAim                 int64   // how many are above the aim
	AboveAimShare            float64 // and which share
}

func newResult(o options) *result {
	return &result{Options: o, histograms: map[string]*hdrhistogram.Histogram{}, Counts: map[string]int{}}
}

func (r *result) fail(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Broken = append(r.Broken, text)
}

func (r *result) count(what string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Counts[what] += n
}

func (r *result) observe(what string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[what]
	if h == nil {
		h = hdrhistogram.New(lowestMS, highestMS, digits)
		r.histograms[what] = h
	}
	if err := h.RecordValue(min(max(d.Milliseconds(), lowestMS), highestMS)); err != nil {
		r.Broken = append(r.Broken, err.Error())
	}
}

// note takes in what a cluster's history has shown.
func (r *result) note(h *emulator.History) {
	broken := h.Broken()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Started += h.Started()
	r.Broken = append(r.Broken, broken...)
}

// finish prints the result and writes it to files; it fails if a rule was broken.
func (r *result) finish(o options) error {
	r.Distributions = map[string]distribution{}
	for name, h := range r.histograms {
		r.Distributions[name] = figures(h)
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	r.print()
	if o.Result != "" {
		if err := os.WriteFile(o.Result, append(text, '\n'), 0o600); err != nil {
			return err
		}
	}
	if o.Page != "" {
		if err := r.writePage(o.Page); err != nil {
			return err
		}
	}
	if len(r.Broken) > 0 {
		return errors.New("rules were broken")
	}
	return nil
}

func figures(h *hdrhistogram.Histogram) distribution {
	d := distribution{
		Count: h.TotalCount(), Min: h.Min(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(), Mean: h.Mean(),
	}
	for _, bar := range h.Distribution() {
		if bar.From > aim.Milliseconds() {
			d.AboveAim += bar.Count
		}
	}
	d.AboveAimShare = float64(d.AboveAim) / float64(max(1, d.Count))
	return d
}

// print prints the figures.
func (r *result) print() {
	fmt.Printf("took %s, %d tasks started\n", r.Took, r.Started)
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Printf("%6d %s\n", r.Counts[what], what)
	}
	fmt.Printf("%-34s %6s %7s %7s %7s %7s %7s  %s\n", "ms", "count", "min", "p50", "p90", "p99", "max", "above "+aim.String())
	for _, name := range slices.Sorted(maps.Keys(r.Distributions)) {
		d := r.Distributions[name]
		fmt.Printf("%-34s %6d %7d %7d %7d %7d %7d  %d (%.2f%%)\n", name, d.Count, d.Min, d.P50, d.P90, d.P99, d.Max, d.AboveAim, 100*d.AboveAimShare)
	}
	fmt.Printf("rules broken: %d\n", len(r.Broken))
	for _, text := range r.Broken[:min(len(r.Broken), 20)] {
		fmt.Println(" ", text)
	}
}

// writePage draws each distribution by percentile.
func (r *result) writePage(path string) error {
	chart := plots.Chart{Title: "Takeover times", Subtitle: fmt.Sprintf("%d leaders ended, %s, seed %d", r.Options.Kills, r.Took, r.Options.Seed),
		X: "percentile", Y: "ms", Lines: map[string][]plots.Point{}}
	for name, h := range r.histograms {
		chart.Lines[name] = plots.Percentiles(h)
	}
	return plots.WritePage(path, []plots.Chart{chart})
}
