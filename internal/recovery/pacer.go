package recovery

import "time"

// PaceOptions are the settings of a Pacer.
type PaceOptions struct {
	Enabled bool    // whether starts are limited at all
	Initial float64 // starts per second at the beginning of a term
	Highest float64 // starts per second at which the limit is lifted
}

// Pacer limits the rate at which starts are sent at the beginning of a term, so that they don't
// overload the workers and the state service. It is a token bucket whose rate begins low, rises while
// this controller's answers to workers and the state service keep up, and is lowered while they
// don't. Starts of urgent tasks are never held back, but they take tokens too, so that other starts
// have to wait for them. Stops and cancellations don't pass through the Pacer. Once the highest rate
// is reached, starts are unlimited for the rest of the term. A Pacer isn't safe for concurrent use.
type Pacer struct {
	options    PaceOptions
	rate       float64 // starts per second
	tokens     float64 // starts that may be sent at once; may be negative after urgent starts
	refilledAt time.Time
	changedAt  time.Time // when the rate was last raised or lowered
	loweredAt  time.Time // when the rate was last lowered
	unlimited  bool      // pacing is off, or the highest rate was reached
}

const (
	// raiseInterval is how long the rate stays unchanged before it is multiplied by raiseFactor.
	raiseInterval = time.Second
	raiseFactor   = 1.5
	// lowerInterval is the shortest time between two reductions, which multiply the rate by
	// lowerFactor. The rate never falls below lowerFactor times the initial one.
	lowerInterval = time.Second
	lowerFactor   = 0.5
	// burstSeconds is the capacity of the bucket, in seconds at the current rate. The bucket always
	// has room for one start.
	burstSeconds = 0.5
)

// NewPacer returns the Pacer of a term that begins now.
func NewPacer(now time.Time, options PaceOptions) *Pacer {
	return &Pacer{
		options: options, rate: options.Initial, tokens: options.Initial * burstSeconds,
		refilledAt: now, changedAt: now, unlimited: !options.Enabled,
	}
}

// Unlimited reports whether starts aren't limited, because pacing is off or the highest rate was
// reached.
func (p *Pacer) Unlimited() bool { return p.unlimited }

// Rate returns the limit in starts per second, or 0 if starts are unlimited.
func (p *Pacer) Rate() float64 {
	if p.unlimited {
		return 0
	}
	return p.rate
}

// Advance refills the bucket and adjusts the rate for the time up to now. Healthy says that this
// controller's answers to workers and the state service keep up.
func (p *Pacer) Advance(now time.Time, healthy bool) {
	if p.unlimited {
		return
	}
	capacity := max(1, p.rate*burstSeconds)
	p.tokens = min(p.tokens+p.rate*now.Sub(p.refilledAt).Seconds(), capacity)
	p.refilledAt = now
	switch {
	case !healthy && now.Sub(p.loweredAt) >= lowerInterval:
		p.rate = max(p.rate*lowerFactor, p.options.Initial*lowerFactor)
		p.changedAt, p.loweredAt = now, now
	case healthy && now.Sub(p.changedAt) >= raiseInterval:
		p.rate, p.changedAt = p.rate*raiseFactor, now
		p.unlimited = p.rate >= p.options.Highest
	}
}

// Allow reports whether a start may be sent now and, if so, takes a token for it. An urgent start is
// always allowed.
func (p *Pacer) Allow(urgent bool) bool {
	switch {
	case p.unlimited:
		return true
	case urgent:
		p.tokens = max(p.tokens-1, -p.rate) // others wait for urgent ones, but no more than a second
		return true
	case p.tokens < 1:
		return false
	}
	p.tokens--
	return true
}
