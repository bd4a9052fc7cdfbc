package simulation

import (
	"math/rand/v2"
	"time"
)

// random draws the random numbers of one part of a world. Each part has its own generator, so that
// switching a part on doesn't change the numbers that the others draw from the same seed.
type random struct{ rng *rand.Rand }

// Streams of random numbers; each is the second half of a generator's seed. The standby and drains
// have the same stream, so their generators yield the same numbers, but drawing from one doesn't
// affect the other.
const (
	worldStream      = 7
	correlatedStream = 11
	pipelineStream   = 13
	scriptStream     = 17
	shortLeaseStream = 19
	standbyStream    = 23
	drainStream      = 23
	admissionStream  = 29
	overlapStream    = 31
)

func newRandom(seed, stream uint64) random { return random{rand.New(rand.NewPCG(seed, stream))} }

// between returns a random duration from lo to hi, both included.
func (r random) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(r.rng.Int64N(int64(hi-lo)+1))
}

// chance returns true with probability p.
func (r random) chance(p float64) bool { return r.rng.Float64() < p }
