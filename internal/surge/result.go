package surge

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingertally/internal/admission"
)

// Bounds and precision of the histograms of waits, in milliseconds.
const (
	lowestMS, highestMS = 1, 3_600_000
	digits              = 3
)

// sampleEvery is how often shares are noted.
const sampleEvery = time.Second

// Sample is what was going on at a moment.
type Sample struct {
	At         time.Duration
	Overloaded bool
	Backlog    time.Duration
	Due, Got   []float64 // parts of the capacity by class: due by the policy, and admitted since the last sample
}

// Result is what a world has shown.
type Result struct {
	Options Options
	Samples []Sample
	Broken  []string

	offered, taken, gaveUp []int
	refusedKnown           []int
	policies               int
	storedAt               time.Duration // when the newest policy was stored
	spread                 bool          // all controllers apply it
	longestSpread          time.Duration
	admittedCost           []float64 // since the last sample
	waits                  []*hdrhistogram.Histogram
	turns                  []*hdrhistogram.Histogram
	nextSample             time.Duration
	answers                map[answerKey]bool // that were admitted, of each job and policy
}

// answerKey names the answer to a job under a policy.
type answerKey struct {
	job          string
	term, number uint64
}

func newResult(o Options) *Result {
	n := len(o.Classes)
	r := &Result{Options: o, offered: make([]int, n), taken: make([]int, n), gaveUp: make([]int, n),
		refusedKnown: make([]int, n), admittedCost: make([]float64, n), answers: map[answerKey]bool{}}
	for range n {
		r.waits = append(r.waits, hdrhistogram.New(lowestMS, highestMS, digits))
		r.turns = append(r.turns, hdrhistogram.New(lowestMS, highestMS, digits))
	}
	return r
}

func (r *Result) fail(format string, args ...any) {
	if len(r.Broken) < 20 {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

// decided notes a decision, and checks that all controllers decide alike under one policy.
// The local bound may still refuse what the policy admits.
func (r *Result) decided(w *World, j *job, d admission.Decision) {
	if !d.Admitted && (d.RetryAfter < time.Second || d.RetryAfter > 30*time.Second) {
		r.fail("Retry-After of %s", d.RetryAfter)
	}
	k := admission.Key{Team: j.spec.Team, Class: j.spec.Class, Priority: j.spec.Priority}
	for i, g := range w.gates {
		p := g.Policy()
		if g.Fallback(w.clock(i)) {
			continue
		}
		key := answerKey{j.ref, p.Term, p.Number}
		admitted := p.Decide(k, j.ref).Admitted
		if earlier, known := r.answers[key]; known && earlier != admitted {
			r.fail("%s is decided differently under policy %d.%d", j.ref, p.Term, p.Number)
		}
		r.answers[key] = admitted
	}
	if len(r.answers) > 100_000 {
		clear(r.answers)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), lowestMS), highestMS)) // within the bounds
}

func (r *Result) admitted(w *World, j *job) {
	r.taken[j.class]++
	c := &w.o.Classes[j.class]
	r.admittedCost[j.class] += float64(c.Tasks) * c.CPUs * c.Run.Seconds()
	record(r.turns[j.class], w.now-j.since)
}

func (r *Result) started(w *World, j *job) { record(r.waits[j.class], w.now-j.since) }

// sample notes the shares of the last second.
func (r *Result) sample(w *World) {
	if w.now < r.nextSample {
		return
	}
	r.nextSample = w.now + sampleEvery
	s := Sample{At: w.now, Backlog: w.backlog(), Due: make([]float64, len(w.o.Classes)), Got: make([]float64, len(w.o.Classes))}
	p := w.stored
	s.Overloaded = p.Overloaded()
	for i := range w.o.Classes {
		c := &w.o.Classes[i]
		s.Got[i] = r.admittedCost[i] / w.o.CPUs(w.now) / sampleEvery.Seconds()
		r.admittedCost[i] = 0
		if w.active(func(f *Fault) bool { return f.Store }) != nil {
			continue // nothing can be accepted, so nothing is due
		}
		for _, share := range p.Shares {
			if share.Team == c.Team && share.Class == c.Name && share.Priority == c.Priority {
				s.Due[i] = share.Due
			}
		}
	}
	r.Samples = append(r.Samples, s)
}

// ClassResult is what a class got.
type ClassResult struct {
	Class                     Class
	Offered, Admitted, GaveUp int
	Due, Got                  float64       // mean parts of the capacity under overload
	LargestGap                float64       // of due over got, in any window of the given length
	WaitP50, WaitP90, WaitMax time.Duration // from the first submission to the first start
	TurnMax                   time.Duration // from the first submission to the admission
}

// Classes sums the result up by class. Gaps are of windows of the given length that lie
// wholly in overload, after its first such window.
func (r *Result) Classes(window time.Duration) []ClassResult {
	out := make([]ClassResult, len(r.Options.Classes))
	for i, c := range r.Options.Classes {
		h := r.waits[i]
		out[i] = ClassResult{Class: c, Offered: r.offered[i], Admitted: r.taken[i], GaveUp: r.gaveUp[i],
			WaitP50: ms(h.ValueAtQuantile(50)), WaitP90: ms(h.ValueAtQuantile(90)), WaitMax: ms(h.Max()), TurnMax: ms(r.turns[i].Max())}
		out[i].Due, out[i].Got, out[i].LargestGap = r.shares(i, int(window/sampleEvery))
	}
	return out
}

func ms(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

// shares is what a class was due and got on the mean, and the largest gap between the two.
func (r *Result) shares(class, window int) (due, got, gap float64) {
	var dueSums, gotSums []float64 // of the present stretch of overload, from its beginning
	n := 0
	for _, s := range r.Samples {
		if !s.Overloaded {
			dueSums, gotSums = nil, nil
			continue
		}
		due, got, n = due+s.Due[class], got+s.Got[class], n+1
		if dueSums == nil {
			dueSums, gotSums = []float64{0}, []float64{0}
		}
		k := len(dueSums)
		dueSums, gotSums = append(dueSums, dueSums[k-1]+s.Due[class]), append(gotSums, gotSums[k-1]+s.Got[class])
		if k >= 2*window {
			gap = max(gap, (dueSums[k]-dueSums[k-window]-gotSums[k]+gotSums[k-window])/float64(window))
		}
	}
	if n > 0 {
		due, got = due/float64(n), got/float64(n)
	}
	return due, got, gap
}

// LongestSpread is the longest that it took until all controllers that hear a leader applied
// a new policy.
func (r *Result) LongestSpread() time.Duration { return r.longestSpread }

// noteSpread notes whether all controllers apply the newest policy.
func (r *Result) noteSpread(w *World) {
	if r.spread || r.policies == 0 {
		return
	}
	for _, g := range w.gates {
		if w.stored.Newer(g.Policy()) {
			return
		}
	}
	r.spread = true
	r.longestSpread = max(r.longestSpread, w.now-r.storedAt)
}

// Policies is how many policies were stored.
func (r *Result) Policies() int { return r.policies }

// Waits is the distribution of a class's waits, in milliseconds.
func (r *Result) Waits(class int) *hdrhistogram.Histogram { return r.waits[class] }
