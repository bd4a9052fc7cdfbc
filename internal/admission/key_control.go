package admission

import "time"

// Constants of the control loop that brings what is admitted of a key to what is due to it.
const (
	// smoothing is the weight of the newest measurement in a moving average: one that covers about
	// five measurements.
	smoothing = 0.2
	// maxCreditSeconds bounds the credit: a key is owed, or owes, at most its share of a minute, so
	// that it doesn't take the capacity over after it was refused for long.
	maxCreditSeconds = 60.0
	// repaySeconds is the time in which credit is made up for.
	repaySeconds = 10.0
	// maxFractionStep is the factor by which a fraction may change from one policy to the next: its
	// effect is measured only after some policies.
	maxFractionStep = 4.0
	// minFraction is the least fraction. A job that is submitted again and again has its turn within
	// as many policies as go into 1.
	minFraction = 1.0 / 2000
)

// costRate is the cost of a key's jobs in a second, as parts of the capacity.
type costRate struct{ offered, admitted float64 }

// keyControl is what the planner knows of a key: what was measured, and the share in the newest
// policy, by which it controls how much is admitted.
type keyControl struct {
	offered   float64 // cost of the jobs offered in a second, smoothed
	admitted  float64 // cost of the jobs admitted in a second under overload, smoothed
	fraction  float64 // the fraction by which that much was admitted, smoothed alike
	credit    float64 // cost that was due and not admitted; negative: admitted beyond what was due
	due       float64 // the key's fair share, as a part of the capacity
	share     Share   // in the newest policy
	offeredAt time.Time
}

// smooth moves an average towards the newest measurement.
func smooth(average *float64, newest float64) { *average += (newest - *average) * smoothing }

// measure takes in what was counted of the key. What is admitted without overload says nothing
// about fractions.
func (c *keyControl) measure(rate costRate, elapsed float64, overloaded bool) {
	smooth(&c.offered, rate.offered)
	if overloaded {
		c.credit -= rate.admitted * elapsed
		smooth(&c.admitted, rate.admitted)
		smooth(&c.fraction, min(c.share.Fraction, 1))
	}
}

// reset forgets what was measured and owed under overload.
func (c *keyControl) reset() { c.credit, c.admitted, c.fraction, c.share.Fraction = 0, 0, 0, 1 }

// nextShare returns the key's share in the next policy: its window is moved on, and its fraction set
// so that what is due, and a part of the credit, is admitted. A key that asks for no more than it
// is due is never refused.
func (c *keyControl) nextShare(due, elapsed float64) Share {
	c.due = due
	if due >= c.offered-negligible {
		c.reset()
		c.share = Share{Key: c.share.Key, Fraction: 1, FairShare: due}
		return c.share
	}
	fraction := c.nextFraction(c.targetRate(due, elapsed))
	// The next window begins where the present one ends, so that no job is passed over.
	offset := wrap(c.share.Offset + min(c.share.Fraction, 1))
	c.share = Share{Key: c.share.Key, Fraction: fraction, Offset: offset, FairShare: due}
	return c.share
}

// targetRate returns what should be admitted in a second: what is due, and as much of the credit as
// makes up for it within repaySeconds.
func (c *keyControl) targetRate(due, elapsed float64) float64 {
	maxCredit := due * maxCreditSeconds
	c.credit = min(max(c.credit+due*elapsed, -maxCredit), maxCredit)
	return max(due+c.credit/repaySeconds, 0)
}

// nextFraction returns the fraction that is expected to admit a target rate. As far as it was
// measured, it goes by how much the last fractions admitted; else by how much is offered.
func (c *keyControl) nextFraction(target float64) float64 {
	fraction := target / c.offered
	if c.share.Fraction < 1 && c.admitted > 0 {
		fraction = target * c.fraction / c.admitted
	}
	fraction = min(max(fraction, c.share.Fraction/maxFractionStep), c.share.Fraction*maxFractionStep)
	return min(max(fraction, minFraction), 1)
}
