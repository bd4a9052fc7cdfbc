package recovery

import "time"

// PaceOptions are the settings of a Pacer.
type PaceOptions struct {
	Enabled bool    // else starts aren't limited
	Initial float64 // starts per second at the beginning of a term
	Highest float64 // starts per second from which on they aren't limited any more
}

// Pacer limits the rate at which starts are sent at the beginning of a term, so that they don't
// overload workers and state service. It is a token bucket whose rate begins low, rises while
// answers and the state service keep up, and is lowered while they don't. Starts of urgent tasks are
// never held back, but use the rate up first; stops and cancellations don't pass through it. Once
// the highest rate is reached, starts aren't limited any more in this term. A Pacer isn't safe for
// concurrent use.
type Pacer struct {
	options    PaceOptions
	rate       float64 // starts per second
	tokens     float64 // starts that may be sent at once; below 0 after urgent ones
	refilledAt time.Time
	changedAt  time.Time // when the rate was last raised or lowered
	loweredAt  time.Time
	unlimited  bool
}

const (
	// raiseInterval is how long the rate stays the same before it is raised by raiseFactor.
	raiseInterval = time.Second
	raiseFactor   = 1.5
	// lowerInterval is how long the rate isn't lowered again once it was lowered by lowerFactor.
	lowerInterval = time.Second
	lowerFactor   = 0.5
	// burstSeconds is for how many seconds' starts the bucket has room.
	burstSeconds = 0.5
)

// NewPacer returns the limiter of a term that begins now.
func NewPacer(now time.Time, options PaceOptions) *Pacer {
	return &Pacer{
		options: options, rate: options.Initial, tokens: options.Initial * burstSeconds,
		refilledAt: now, changedAt: now, unlimited: !options.Enabled,
	}
}

// Unlimited returns whether starts aren't limited, or not any more.
func (p *Pacer) Unlimited() bool { return p.unlimited }

// Rate returns how many starts per second are sent; 0 if they aren't limited.
func (p *Pacer) Rate() float64 {
	if p.unlimited {
		return 0
	}
	return p.rate
}

// Advance lets time pass up to now. Healthy says that workers and state service keep up.
func (p *Pacer) Advance(now time.Time, healthy bool) {
	if p.unlimited {
		return
	}
	room := max(1, p.rate*burstSeconds)
	p.tokens = min(p.tokens+p.rate*now.Sub(p.refilledAt).Seconds(), room)
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

// Allow returns whether a start may be sent now, and counts it if so. An urgent one always may.
func (p *Pacer) Allow(urgent bool) bool {
	switch {
	case p.unlimited:
		return true
	case urgent:
		p.tokens = max(p.tokens-1, -p.rate) // other starts wait for it, but no more than a second
		return true
	case p.tokens < 1:
		return false
	}
	p.tokens--
	return true
}
