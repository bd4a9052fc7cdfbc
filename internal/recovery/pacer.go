package recovery

import "time"

// PaceOptions bound the pace of orders at the start of a term.
type PaceOptions struct {
	Enabled bool
	Initial float64 // starts a second at first
	Highest float64 // above which the pace isn't bounded any more
}

// Pacer releases orders at a pace that begins low, rises while answers and the state service
// keep up, and falls when they don't. Stops and cancellations are never held back, nor are
// starts of urgent work, which use the pace up first. Once it has reached its highest, it costs
// nothing any more. It isn't safe for concurrent use.
type Pacer struct {
	options PaceOptions
	rate    float64
	tokens  float64
	filled  time.Time // when tokens were last filled up
	raised  time.Time // when the rate last changed
	lowered time.Time // when it last fell
	over    bool      // the highest pace was reached
}

const (
	// raiseEvery is how often the pace may rise, and raiseBy by what.
	raiseEvery = time.Second
	raiseBy    = 1.5
	// lowerBy is by what the pace falls, and lowerEvery how often it may.
	lowerBy    = 0.5
	lowerEvery = time.Second
	// burstSeconds is how many seconds' orders may go at once.
	burstSeconds = 0.5
)

// NewPacer makes the pace of a term.
func NewPacer(now time.Time, options PaceOptions) *Pacer {
	return &Pacer{options: options, rate: options.Initial, tokens: options.Initial * burstSeconds, filled: now, raised: now, over: !options.Enabled}
}

// AtHighest tells whether the pace isn't bounded any more.
func (p *Pacer) AtHighest() bool { return p.over }

// Rate is the pace, in starts a second; 0 if it isn't bounded.
func (p *Pacer) Rate() float64 {
	if p.over {
		return 0
	}
	return p.rate
}

// Pass lets time pass. Healthy says that answers, the state service and the machines keep up.
func (p *Pacer) Pass(now time.Time, healthy bool) {
	if p.over {
		return
	}
	limit := max(1, p.rate*burstSeconds)
	p.tokens = min(p.tokens+p.rate*now.Sub(p.filled).Seconds(), limit)
	p.filled = now
	switch {
	case !healthy && now.Sub(p.lowered) >= lowerEvery:
		p.rate = max(p.rate*lowerBy, p.options.Initial*lowerBy)
		p.raised, p.lowered = now, now
	case healthy && now.Sub(p.raised) >= raiseEvery:
		p.rate, p.raised = p.rate*raiseBy, now
		p.over = p.rate >= p.options.Highest
	}
}

// Take tells whether an order may go now. Urgent ones always may.
func (p *Pacer) Take(urgent bool) bool {
	switch {
	case p.over:
		return true
	case urgent:
		p.tokens = max(p.tokens-1, -p.rate) // the rest waits for it, for a second at the most
		return true
	case p.tokens < 1:
		return false
	}
	p.tokens--
	return true
}
