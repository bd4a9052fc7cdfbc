package simulation

import "testing"

// overlapSeeds is how many worlds of each family TestOverlappingTermWorlds plays.
const overlapSeeds = 20

// TestOverlappingTermWorlds guards against a former term that acts: it plays worlds of every family in
// which nodes lead again while their former term still ends, and requests reach that one.
func TestOverlappingTermWorlds(t *testing.T) {
	counts := eventCounts{}
	change := func(o Options, _ int) Options {
		o.Overlap = true
		return o
	}
	runFamilies(t, overlapSeeds, change, func(w *World) { counts.addAll(w.overlap.counts) })
	worlds := overlapSeeds * len(families)
	counts.requireAtLeast(t, eventCounts{"nodes that lead again": 2 * worlds, "requests that reach a former term": worlds})
	t.Log(counts)
}
