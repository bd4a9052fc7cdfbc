package admission

import (
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// GateOptions configures a controller's gate.
type GateOptions struct {
	Weights map[string]float64 // by team; the default is 1
	Teams   []string           // all teams of the settings
	// JobsPerSecond is how many jobs per second this controller may write to the state service; 0 means
	// no local rate limit.
	JobsPerSecond float64
	// PolicyAge is how long a policy is applied unchanged after it was last confirmed, see InFallback.
	PolicyAge time.Duration
}

// Gate admits or refuses the submissions at one controller. A decision needs no other controller,
// and its cost doesn't depend on the number of jobs. A gate isn't safe for concurrent use.
type Gate struct {
	options     GateOptions
	policy      Policy
	appliedAt   time.Time // when the policy replaced the previous one
	confirmedAt time.Time // when the policy was last passed to Apply; at first, when the gate was made
	local       localLimiter
	counter     counter
	collectedAt time.Time // when the counts were last collected
}

// NewGate returns the gate of a controller that has no policy yet: it admits all jobs within the
// local rate limit.
func NewGate(now time.Time, options GateOptions) *Gate {
	return &Gate{options: options, confirmedAt: now, collectedAt: now, counter: newCounter(), local: newLocalLimiter(options)}
}

// Policy returns the current policy. The caller must not change it.
func (g *Gate) Policy() *Policy { return &g.policy }

// ConfirmedAt returns when the current policy was last passed to Apply, or when the gate was made if
// it has had none.
func (g *Gate) ConfirmedAt() time.Time { return g.confirmedAt }

// Apply makes p the current policy if it is newer, and reports whether it did. If p is the current
// policy, it is confirmed; an older one is ignored.
func (g *Gate) Apply(now time.Time, p Policy) bool {
	switch {
	case p.NewerThan(&g.policy):
		g.policy, g.confirmedAt, g.appliedAt = p, now, now
		g.policy.Shares = slices.Clone(p.Shares)
		return true
	case p.Term == g.policy.Term && p.Number == g.policy.Number:
		g.confirmedAt = now
	}
	return false
}

// InFallback reports whether the gate is in fallback: the policy may refuse jobs, but was last confirmed
// more than PolicyAge ago, so it is no longer applied unchanged.
func (g *Gate) InFallback(now time.Time) bool {
	return g.policy.Overloaded() && now.Sub(g.confirmedAt) > g.options.PolicyAge
}

// effectivePolicy returns the policy that decisions follow now. In fallback, its windows are moved by
// one step for each interval since the policy was applied, by this controller's clock, so that every
// job still gets its turn; the fractions stay.
func (g *Gate) effectivePolicy(now time.Time) *Policy {
	if !g.InFallback(now) || g.policy.Interval <= 0 {
		return &g.policy
	}
	missedPolicies := float64(now.Sub(g.appliedAt) / g.policy.Interval)
	p := g.policy
	p.Shares = slices.Clone(g.policy.Shares)
	for i := range p.Shares {
		s := &p.Shares[i]
		s.Offset = wrap(s.Offset + missedPolicies*s.Fraction)
	}
	return &p
}

// Submission is a job that a user submits.
type Submission struct {
	Job  string // the job's id
	Spec *pipeline.Spec
}

// Decide admits or refuses a submission and counts it. The policy, which is the same at every
// controller, decides first; then the local rate limit, which contains a surge that the policy
// doesn't take into account yet.
func (g *Gate) Decide(now time.Time, submission Submission) Decision {
	k := Key{Team: submission.Spec.Team, Class: submission.Spec.Class, Priority: submission.Spec.Priority}
	cost := JobCost(submission.Spec, submission.Spec.Estimate, g.policy.Capacity)
	count := g.counter.countOf(k)
	count.Offered++
	count.OfferedCost += cost
	d := g.effectivePolicy(now).Decide(k, submission.Job)
	if d.Admitted && !g.local.admit(now, k.Team) {
		d = Decision{RetryAfter: minRetryAfter, Reason: Writes}
	}
	if d.Admitted {
		count.Admitted++
		count.AdmittedCost += cost
	} else {
		count.Refused++
	}
	return d
}

// CollectCounts returns the counts since the last call and resets them.
func (g *Gate) CollectCounts(now time.Time) Batch {
	batch := Batch{Period: now.Sub(g.collectedAt), Counts: g.counter.collect()}
	g.collectedAt = now
	return batch
}
