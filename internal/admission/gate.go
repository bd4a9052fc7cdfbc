package admission

import (
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// GateOptions configure a controller's gate.
type GateOptions struct {
	Weights map[string]float64 // by team; 1 where none is set
	Teams   []string           // of the settings
	// Jobs is how many jobs a second this controller can have stored; 0: no local bound.
	Jobs float64
	// PolicyAge is how long after a leader last confirmed it a policy is applied as it is.
	PolicyAge time.Duration
}

// Gate decides about the submissions at one controller. A decision takes constant time and needs no
// other controller. A gate isn't safe for concurrent use.
type Gate struct {
	options     GateOptions
	policy      Policy
	appliedAt   time.Time // when the policy was taken over
	confirmedAt time.Time // when a leader last sent it
	local       localBound
	counter     counter
	collectedAt time.Time // when the counts were last collected
}

// NewGate makes the gate of a controller that has no policy yet: it admits all jobs within the
// local bound.
func NewGate(now time.Time, options GateOptions) *Gate {
	return &Gate{options: options, confirmedAt: now, collectedAt: now, counter: newCounter(), local: newLocalBound(options)}
}

// Policy returns the policy that is applied.
func (g *Gate) Policy() *Policy { return &g.policy }

// ConfirmedAt returns when the policy was last confirmed or taken over.
func (g *Gate) ConfirmedAt() time.Time { return g.confirmedAt }

// Apply takes a policy over if it is newer than the present one, and returns whether it did. The
// present one, if it comes again, is confirmed.
func (g *Gate) Apply(now time.Time, p Policy) bool {
	switch {
	case p.Newer(&g.policy):
		g.policy, g.confirmedAt, g.appliedAt = p, now, now
		g.policy.Shares = slices.Clone(p.Shares)
		return true
	case p.Term == g.policy.Term && p.Number == g.policy.Number:
		g.confirmedAt = now
	}
	return false
}

// Fallback reports whether the policy refuses jobs and is too old to be applied as it is.
func (g *Gate) Fallback(now time.Time) bool {
	return g.policy.Overloaded() && now.Sub(g.confirmedAt) > g.options.PolicyAge
}

// effective returns the policy as it is applied now. If it is too old, its windows are moved on by
// this controller's own clock, so that every job still has its turn; the fractions stay.
func (g *Gate) effective(now time.Time) *Policy {
	if !g.Fallback(now) || g.policy.Interval <= 0 {
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

// Submission is a submission that the gate decides about.
type Submission struct {
	Job  string
	Spec *pipeline.Spec
}

// Decide decides about a submission and counts it. The policy decides first, as at every controller,
// and then the local bound, for a surge that the policy doesn't know of yet.
func (g *Gate) Decide(now time.Time, o Submission) Decision {
	k := Key{Team: o.Spec.Team, Class: o.Spec.Class, Priority: o.Spec.Priority}
	cost := JobCost(o.Spec, o.Spec.Estimate, g.policy.Rate)
	count := g.counter.countOf(k)
	count.Offered++
	count.OfferedCost += cost
	d := g.effective(now).Decide(k, o.Job)
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

// CollectCounts returns what was counted since the last call.
func (g *Gate) CollectCounts(now time.Time) Batch {
	batch := Batch{Period: now.Sub(g.collectedAt), Counts: g.counter.collect()}
	g.collectedAt = now
	return batch
}
