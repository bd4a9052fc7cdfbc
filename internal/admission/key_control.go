package admission

import "time"

// Constants of the control loop that steers a key's admitted rate towards its fair share.
const (
	// smoothing is the weight of the newest measurement in the exponential moving averages, which
	// thus cover about five measurements.
	smoothing = 0.2
	// maxCreditSeconds bounds the credit and the debt of a key to its fair share of a minute, so that
	// it doesn't take over the capacity after it was refused for long.
	maxCreditSeconds = 60.0
	// repaySeconds is the time within which the present credit would be paid back.
	repaySeconds = 10.0
	// maxFractionStep is the largest factor by which a fraction may change from one policy to the
	// next, because the effect of a change is measured only some policies later.
	maxFractionStep = 4.0
	// minFraction is the smallest fraction. A job that is resubmitted until it is admitted gets its
	// turn within 1/minFraction policies.
	minFraction = 1.0 / 2000
)

// costRate is the cost per second of a key's jobs, as parts of the capacity.
type costRate struct{ offered, admitted float64 }

// keyControl is the planner's control loop of one key: the measurements, and the share in the newest
// policy, by which the loop sets how much is admitted.
type keyControl struct {
	offered   float64 // cost per second of the jobs offered, smoothed
	admitted  float64 // cost per second of the jobs admitted under overload, smoothed
	fraction  float64 // the share's fraction while admitted was measured, smoothed the same way
	credit    float64 // cost below the fair share that wasn't admitted; negative: admitted above it
	fairShare float64 // part of the capacity
	share     Share   // in the newest policy
	offeredAt time.Time
}

// smooth updates an exponential moving average with the newest measurement.
func smooth(average *float64, newest float64) { *average += (newest - *average) * smoothing }

// measure updates the averages with the key's rates of the last period. The admitted rate is used
// under overload only: without it, the policy refuses nothing and the rate says nothing about the
// fraction.
func (c *keyControl) measure(rate costRate, elapsed float64, overloaded bool) {
	smooth(&c.offered, rate.offered)
	if overloaded {
		c.credit -= rate.admitted * elapsed
		smooth(&c.admitted, rate.admitted)
		smooth(&c.fraction, min(c.share.Fraction, 1))
	}
}

// reset clears the measurements and the credit of an overload, and sets the fraction to 1.
func (c *keyControl) reset() { c.credit, c.admitted, c.fraction, c.share.Fraction = 0, 0, 0, 1 }

// nextShare returns the key's share in the next policy: the window advances, and the fraction is set
// to admit the fair share and a part of the credit. A key whose demand is within its fair share isn't
// limited.
func (c *keyControl) nextShare(fairShare, elapsed float64) Share {
	c.fairShare = fairShare
	if fairShare >= c.offered-negligible {
		c.reset()
		c.share = Share{Key: c.share.Key, Fraction: 1, FairShare: fairShare}
		return c.share
	}
	fraction := c.nextFraction(c.targetRate(fairShare, elapsed))
	// The next window begins where the present one ends, so that no job is skipped.
	offset := wrap(c.share.Offset + min(c.share.Fraction, 1))
	c.share = Share{Key: c.share.Key, Fraction: fraction, Offset: offset, FairShare: fairShare}
	return c.share
}

// targetRate updates the credit and returns the cost per second to be admitted: the fair share, and
// as much of the credit as pays it back within repaySeconds.
func (c *keyControl) targetRate(fairShare, elapsed float64) float64 {
	maxCredit := fairShare * maxCreditSeconds
	c.credit = min(max(c.credit+fairShare*elapsed, -maxCredit), maxCredit)
	return max(fairShare+c.credit/repaySeconds, 0)
}

// nextFraction returns the fraction that is expected to admit the target rate. It scales the past
// fraction by what that admitted, if this was measured, or else uses the target's part of what is
// offered. The change from the last fraction is limited by maxFractionStep.
func (c *keyControl) nextFraction(target float64) float64 {
	fraction := target / c.offered
	if c.share.Fraction < 1 && c.admitted > 0 {
		fraction = target * c.fraction / c.admitted
	}
	fraction = min(max(fraction, c.share.Fraction/maxFractionStep), c.share.Fraction*maxFractionStep)
	return min(max(fraction, minFraction), 1)
}
