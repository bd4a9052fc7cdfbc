package surge

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gingertally/internal/admission"
)

const (
	// Bounds, in milliseconds, and precision of the histograms of times.
	lowestMS, highestMS = 1, 3_600_000
	significantDigits   = 3

	// maxViolations bounds the violations that are kept.
	maxViolations = 20
	// maxKnownDecisions bounds the decisions that are kept for comparison; beyond it all are dropped.
	maxKnownDecisions = 100_000
	// Bounds of Retry-After (PROTOCOL).
	minRetryAfter, maxRetryAfter = time.Second, 30 * time.Second
)

// Result is what was measured in a world.
type Result struct {
	Options    Options
	Samples    []Sample
	Violations []string // of rules of admission control; the first maxViolations

	classes            []classRecord
	nextSample         time.Duration
	policies           int           // number of stored policies
	storedAt           time.Duration // when the newest policy was stored
	newestApplied      bool          // all controllers apply the newest policy
	longestPropagation time.Duration
	decisions          map[decisionKey]bool // whether the policy admits the job
}

// classRecord is what was measured of a class.
type classRecord struct {
	offered, admitted, gaveUp int                     // jobs
	admittedCost              float64                 // CPU seconds admitted since the last sample
	waits                     *hdrhistogram.Histogram // from the first submission to the first start
	admissions                *hdrhistogram.Histogram // from the first submission to the admission
}

// decisionKey identifies the decision about a job under a policy, by the policy's term and number.
type decisionKey struct {
	job          string
	term, number uint64
}

func newResult(o Options) *Result {
	r := &Result{Options: o, decisions: map[decisionKey]bool{}}
	for range o.Classes {
		r.classes = append(r.classes, classRecord{
			waits:      hdrhistogram.New(lowestMS, highestMS, significantDigits),
			admissions: hdrhistogram.New(lowestMS, highestMS, significantDigits),
		})
	}
	return r
}

// violated records the violation of a rule.
func (r *Result) violated(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkDecision checks the bounds of Retry-After, and that all controllers with the same policy make
// the same decision. It compares what their policies decide rather than the gates' decisions, since a
// controller's local rate limit may refuse a job that the policy admits.
func (r *Result) checkDecision(w *World, j *job, d admission.Decision) {
	if !d.Admitted && (d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter) {
		r.violated("Retry-After of %s", d.RetryAfter)
	}
	key := admission.Key{Team: j.spec.Team, Class: j.spec.Class, Priority: j.spec.Priority}
	for i, gate := range w.gates {
		if gate.InFallback(w.clock(i)) {
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

// recordWait adds a time, which is moved into the bounds.
func recordWait(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), lowestMS), highestMS)) // can't fail within the bounds
}

// jobAdmitted records that a job was admitted.
func (r *Result) jobAdmitted(now time.Duration, j *job) {
	record, c := &r.classes[j.class], &r.Options.Classes[j.class]
	record.admitted++
	record.admittedCost += float64(c.Tasks) * c.CPUs * c.Run.Seconds()
	recordWait(record.admissions, now-j.firstSubmitted)
}

// jobStarted records that the first task of a job has started.
func (r *Result) jobStarted(now time.Duration, j *job) {
	recordWait(r.classes[j.class].waits, now-j.firstSubmitted)
}

// policyStored records that a policy was stored.
func (r *Result) policyStored(now time.Duration) {
	r.policies++
	r.storedAt, r.newestApplied = now, false
}

// recordPropagation records, once all controllers apply the newest policy, how long that took since
// the policy was stored.
func (r *Result) recordPropagation(w *World) {
	if r.newestApplied || r.policies == 0 {
		return
	}
	for _, gate := range w.gates {
		if w.leader.stored.NewerThan(gate.Policy()) {
			return
		}
	}
	r.newestApplied = true
	r.longestPropagation = max(r.longestPropagation, w.now-r.storedAt)
}

// LongestPropagation returns the longest time it took until all controllers applied a new policy.
func (r *Result) LongestPropagation() time.Duration { return r.longestPropagation }

// Policies returns the number of policies that were stored.
func (r *Result) Policies() int { return r.policies }

// Waits returns the distribution of the times that a class's jobs waited, in milliseconds.
func (r *Result) Waits(class int) *hdrhistogram.Histogram { return r.classes[class].waits }

// ClassResult is what was measured of a class.
type ClassResult struct {
	Class                     Class
	Offered, Admitted, GaveUp int           // numbers of jobs
	Due, Share                float64       // mean fractions of the capacity under overload: due, and admitted
	LargestGap                float64       // largest shortfall of Share against Due in any window
	WaitP50, WaitP90, WaitMax time.Duration // from the first submission to the first start
	AdmissionMax              time.Duration // from the first submission to the admission
}

// Classes returns the results of all classes. Gaps are taken over windows of the given length
// within a period of overload, except the period's first window.
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
