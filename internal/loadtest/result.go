package loadtest

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingertally/internal/emulator"
)

// ErrRulesBroken is the error of a tool that found rules of the protocol broken.
var ErrRulesBroken = errors.New("rules were broken")

// Bounds and precision of histograms, of milliseconds or other counts.
const (
	lowestValue  = 1
	highestValue = 3_600_000
	digits       = 3
)

// Histogram is a distribution of times in milliseconds, or of other counts. Values are moved into its bounds.
type Histogram struct{ *hdrhistogram.Histogram }

// NewHistogram makes an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(lowestValue, highestValue, digits)}
}

// Record adds a value.
func (h Histogram) Record(value int64) {
	_ = h.RecordValue(min(max(value, lowestValue), highestValue)) // it is within the bounds
}

// Observe adds a time.
func (h Histogram) Observe(d time.Duration) { h.Record(d.Milliseconds()) }

// quantilePrecision is the precision of printed times.
const quantilePrecision = 10 * time.Millisecond

// Quantile is the time below which so many percent of all are.
func (h Histogram) Quantile(percent float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond).Round(quantilePrecision)
}

// Result collects what several clusters show. It may be used by many goroutines until the clusters have ended;
// its fields are read afterwards.
type Result struct {
	mu         sync.Mutex
	Histograms map[string]Histogram
	Counts     map[string]int
	Started    int // tasks
	Broken     []string
}

// NewResult makes an empty result.
func NewResult() *Result {
	return &Result{Histograms: map[string]Histogram{}, Counts: map[string]int{}}
}

// Fail notes a broken rule, or what else went wrong.
func (r *Result) Fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// Count counts something that happened so many times.
func (r *Result) Count(what string, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Counts[what] += times
}

// Record adds a value to the histogram with a name.
func (r *Result) Record(what string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram, there := r.Histograms[what]
	if !there {
		histogram = NewHistogram()
		r.Histograms[what] = histogram
	}
	histogram.Record(value)
}

// Observe adds a time, in milliseconds, to the histogram with a name.
func (r *Result) Observe(what string, d time.Duration) { r.Record(what, d.Milliseconds()) }

// AddHistory takes in the history of a cluster whose load has stopped: the rules that were broken, one of which is
// that every accepted job comes to its end.
func (r *Result) AddHistory(history *emulator.History) {
	open, broken, started := history.Open(), history.Broken(), history.Started()
	if len(open) > 0 {
		r.Fail("%d accepted jobs never came to an end, such as %s", len(open), open[0])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Broken = append(r.Broken, broken...)
	r.Started += started
}

// PrintCounts prints what was counted, a line each.
func (r *Result) PrintCounts() {
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Printf("%6d %s\n", r.Counts[what], what)
	}
}

// maxBrokenPrinted bounds the broken rules that are printed.
const maxBrokenPrinted = 20

// PrintBroken prints how many rules were broken, and the first of them.
func (r *Result) PrintBroken() {
	fmt.Printf("rules broken: %d\n", len(r.Broken))
	for _, text := range r.Broken[:min(len(r.Broken), maxBrokenPrinted)] {
		fmt.Println(" ", text)
	}
}

// Err is ErrRulesBroken if a rule was broken.
func (r *Result) Err() error {
	if len(r.Broken) > 0 {
		return ErrRulesBroken
	}
	return nil
}
