package simulation

import "testing"

// combinedSeeds is how many worlds of each family TestCombinedWorlds runs.
const combinedSeeds = 6

// TestCombinedWorlds runs worlds of every family with the warm standby, admission control, drains
// and a bounded pace all enabled, to find rules that break only when these features interact.
func TestCombinedWorlds(t *testing.T) {
	counts := eventCounts{}
	paced := 0
	change := func(o Options, _ int) Options { return withAllFeatures(o) }
	runFamilies(t, combinedSeeds, change, func(w *World) {
		for _, part := range []eventCounts{w.standbys.counts, w.admission.counts, w.drains.counts} {
			counts.addAll(part)
		}
		paced += w.checker.pace.seconds
	})
	least := eventCounts{"warm takeovers": 30, "machines expected": 100, "refused: backlog": 50, "policies stored": 300,
		"plans accepted": 40, "machines cordoned": 40, "interruptions by choice": 10}
	counts.requireAtLeast(t, least)
	if paced < 100 {
		t.Errorf("the pace was bounded in only %d seconds", paced)
	}
	t.Log(counts, paced)
}
