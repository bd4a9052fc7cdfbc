package simulation

import (
	"math/rand/v2"
	"time"
)

// random draws the random numbers of one part of a world. Each part has a stream of its own, so that switching
// one on leaves the draws of the others, and with them the world of the same seed, as they are.
type random struct{ rng *rand.Rand }

// Streams of random numbers, as the second half of a generator's seed.
const (
	worldStream      = 7
	correlatedStream = 11
	pipelineStream   = 13
	scriptStream     = 17
	shortLeaseStream = 19
	standbyStream    = 23
	drainStream      = 23
	admissionStream  = 29
)

func newRandom(seed, stream uint64) random { return random{rand.New(rand.NewPCG(seed, stream))} }

// between is a random duration, both bounds included.
func (r random) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(r.rng.Int64N(int64(hi-lo)+1))
}

// chance is true with a probability.
func (r random) chance(p float64) bool { return r.rng.Float64() < p }
