package surge

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingertally/internal/admission"
)

const (
	// Bounds, in milliseconds, and precision of the histograms of waits.
	lowestMS, highestMS = 1, 3_600_000
	digits              = 3

	// maxViolations is how many violations are kept.
	maxViolations = 20
	// maxKnownDecisions is how many decisions are remembered at a time to be compared.
	maxKnownDecisions = 100_000
	// Bounds of Retry-After (PROTOCOL).
	minRetryAfter, maxRetryAfter = time.Second, 30 * time.Second
)

// Result is what was measured in a world.
type Result struct {
	Options    Options
	Samples    []Sample
	Violations []string // of rules of admission control; the first ones

	classes       []classRecord
	nextSample    time.Duration
	policies      int           // that were stored
	storedAt      time.Duration // when the newest one was
	applied       bool          // all controllers apply it
	longestSpread time.Duration
	decisions     map[decisionKey]bool // whether a job is admitted under a policy
}

// classRecord is what was measured of a class.
type classRecord struct {
	offered, admitted, gaveUp int                     // jobs
	admittedCost              float64                 // CPU seconds that were admitted since the last sample
	waits                     *hdrhistogram.Histogram // from the first submission to the first start
	admissions                *hdrhistogram.Histogram // from the first submission to the admission
}

// decisionKey names the decision about a job under a policy.
type decisionKey struct {
	job          string
	term, number uint64
}

func newResult(o Options) *Result {
	r := &Result{Options: o, decisions: map[decisionKey]bool{}}
	for range o.Classes {
		r.classes = append(r.classes, classRecord{
			waits:      hdrhistogram.New(lowestMS, highestMS, digits),
			admissions: hdrhistogram.New(lowestMS, highestMS, digits),
		})
	}
	return r
}

// violated notes that a rule was violated.
func (r *Result) violated(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkDecision checks the bounds of Retry-After, and that all controllers with the same policy decide
// alike. The policies are compared, not the decision itself: a controller's local bound may refuse
// what the policy admits.
func (r *Result) checkDecision(w *World, j *job, d admission.Decision) {
	if !d.Admitted && (d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter) {
		r.violated("Retry-After of %s", d.RetryAfter)
	}
	key := admission.Key{Team: j.spec.Team, Class: j.spec.Class, Priority: j.spec.Priority}
	for i, gate := range w.gates {
		if gate.Fallback(w.clock(i)) {
			continue
		}
		policy := gate.Policy()
		decision := decisionKey{j.spec.Ref, policy.Term, policy.Number}
		admitted := policy.Decide(key, j.spec.Ref).Admitted
		if earlier, known := r.decisions[decision]; known && earlier != admitted {
			r.violated("%s is decided differently under policy %d.%d", j.spec.Ref, policy.Term, policy.Number)
		}
		r.decisions[decision] = admitted
	}
	if len(r.decisions) > maxKnownDecisions {
		clear(r.decisions)
	}
}

func recordWait(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), lowestMS), highestMS)) // it can't fail within the bounds
}

// admitted notes that a job was admitted.
func (r *Result) admitted(now time.Duration, j *job) {
	record, c := &r.classes[j.class], &r.Options.Classes[j.class]
	record.admitted++
	record.admittedCost += float64(c.Tasks) * c.CPUs * c.Run.Seconds()
	recordWait(record.admissions, now-j.firstSubmitted)
}

// started notes that the first task of a job has started.
func (r *Result) started(now time.Duration, j *job) {
	recordWait(r.classes[j.class].waits, now-j.firstSubmitted)
}

// policyStored notes that a policy was stored.
func (r *Result) policyStored(now time.Duration) {
	r.policies++
	r.storedAt, r.applied = now, false
}

// notePolicySpread notes how long it took until all controllers applied the newest policy.
func (r *Result) notePolicySpread(w *World) {
	if r.applied || r.policies == 0 {
		return
	}
	for _, gate := range w.gates {
		if w.leader.stored.Newer(gate.Policy()) {
			return
		}
	}
	r.applied = true
	r.longestSpread = max(r.longestSpread, w.now-r.storedAt)
}

// LongestSpread returns the longest time until all controllers applied a new policy.
func (r *Result) LongestSpread() time.Duration { return r.longestSpread }

// Policies returns how many policies were stored.
func (r *Result) Policies() int { return r.policies }

// Waits returns the distribution of a class's waits, in milliseconds.
func (r *Result) Waits(class int) *hdrhistogram.Histogram { return r.classes[class].waits }

// ClassResult is what was measured of a class.
type ClassResult struct {
	Class                     Class
	Offered, Admitted, GaveUp int           // jobs
	Due, Share                float64       // mean parts of the capacity under overload: due, and admitted
	LargestGap                float64       // by how much Share fell short of Due in any window
	WaitP50, WaitP90, WaitMax time.Duration // from the first submission to the first start
	AdmissionMax              time.Duration // from the first submission to the admission
}

// Classes sums the result up by class. Gaps are those of windows of the given length in one stretch of
// overload, after the stretch's first such window.
func (r *Result) Classes(window time.Duration) []ClassResult {
	out := make([]ClassResult, len(r.classes))
	for i := range r.classes {
		record := &r.classes[i]
		out[i] = ClassResult{
			Class:        r.Options.Classes[i],
			Offered:      record.offered,
			Admitted:     record.admitted,
			GaveUp:       record.gaveUp,
			WaitP50:      milliseconds(record.waits.ValueAtQuantile(50)),
			WaitP90:      milliseconds(record.waits.ValueAtQuantile(90)),
			WaitMax:      milliseconds(record.waits.Max()),
			AdmissionMax: milliseconds(record.admissions.Max()),
		}
		out[i].Due, out[i].Share = r.meanShares(i)
		out[i].LargestGap = r.largestGap(i, int(window/sampleInterval))
	}
	return out
}

func milliseconds(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
