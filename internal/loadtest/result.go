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

// ErrRulesBroken says that a measurement found violations of the protocol's rules, or failed.
var ErrRulesBroken = errors.New("rules were broken")

// Bounds and precision of the values in histograms, in milliseconds or as plain counts.
const (
	lowestValue       = 1
	highestValue      = 3_600_000
	significantDigits = 3
)

// Histogram is a distribution of times in milliseconds, or of plain counts. Values outside its bounds
// are recorded as the nearest bound.
type Histogram struct{ *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(lowestValue, highestValue, significantDigits)}
}

// Record adds a value.
func (h Histogram) Record(value int64) {
	_ = h.RecordValue(min(max(value, lowestValue), highestValue)) // can't fail within the bounds
}

// Observe adds a time, in milliseconds.
func (h Histogram) Observe(d time.Duration) { h.Record(d.Milliseconds()) }

// quantilePrecision is what Quantile rounds to.
const quantilePrecision = 10 * time.Millisecond

// Quantile returns the time that the given percentage of all times don't exceed, rounded.
func (h Histogram) Quantile(percent float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond).Round(quantilePrecision)
}

// Result collects the measurements of several clusters. Its methods that add to it are safe for
// concurrent use. Its fields are read only after all clusters have ended.
type Result struct {
	mu         sync.Mutex
	Histograms map[string]Histogram
	Counts     map[string]int
	Started    int      // number of tasks that were started
	Failures   []string // violated rules and other failures
}

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{Histograms: map[string]Histogram{}, Counts: map[string]int{}}
}

// Fail records a violated rule or another failure.
func (r *Result) Fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
}

// Count adds to the counter with a name.
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

// AddHistory adds the history of a cluster whose load has stopped: the rules that were violated and
// the number of started tasks. It records a failure if accepted jobs haven't ended.
func (r *Result) AddHistory(history *emulator.History) {
	open, broken, started := history.UnfinishedJobs(), history.Violations(), history.Started()
	if len(open) > 0 {
		r.Fail("%d accepted jobs never came to an end, such as %s", len(open), open[0])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Failures = append(r.Failures, broken...)
	r.Started += started
}

// PrintCounts prints the counters, one per line.
func (r *Result) PrintCounts() {
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Printf("%6d %s\n", r.Counts[what], what)
	}
}

// maxPrintedFailures bounds the failures that are printed.
const maxPrintedFailures = 20

// PrintFailures prints the number of failures, and the first ones.
func (r *Result) PrintFailures() {
	fmt.Printf("rules broken: %d\n", len(r.Failures))
	for _, text := range r.Failures[:min(len(r.Failures), maxPrintedFailures)] {
		fmt.Println(" ", text)
	}
}

// Err returns ErrRulesBroken if a failure was recorded, and nil otherwise.
func (r *Result) Err() error {
	if len(r.Failures) > 0 {
		return ErrRulesBroken
	}
	return nil
}
