package simulation

import (
	"fmt"
	"testing"
)

// standbySeeds is how many worlds of each family TestStandbyWorlds plays.
const standbySeeds = 25

// TestStandbyWorlds plays worlds of every family, with all their faults, while the warm standby is
// on and its stream loses, duplicates, delays and reorders frames. All invariants of worlds without
// the warm standby hold too.
func TestStandbyWorlds(t *testing.T) {
	counts := eventCounts{}
	change := func(o Options, _ int) Options { return withStandby(o) }
	runFamilies(t, standbySeeds, change, func(w *World) { counts.addAll(w.standbys.counts) })
	least := eventCounts{
		"warm takeovers": 150, "machines expected": 600, "machines differing": 60, "frames applied": 20_000,
		"frames ignored": 500, "frames gap": 30, "slow followers": 300, "claims delayed": 20,
	}
	counts.requireAtLeast(t, least)
	t.Log(counts)
}

// TestStandbyFaultScenarios plays one world of each fault scenario with the warm standby on.
func TestStandbyFaultScenarios(t *testing.T) {
	counts := eventCounts{}
	for i := range faultScenarios {
		scenario := faultScenarios[i]
		t.Run(scenario.name, func(t *testing.T) {
			options := scenario.options(uint64(i)*100 + 50)
			w := NewWorld(withStandby(options))
			s := newScript(w)
			scenario.script(s)
			if err := w.Run(); err != nil {
				t.Error(err)
			}
			counts.addAll(w.standbys.counts)
		})
	}
	if counts["warm takeovers"] < 50 || counts["successors named"] < 10 {
		t.Errorf("too few warm takeovers or named successors to prove anything: %v", counts)
	}
	t.Log(counts)
}

// TestStandbySameSeedSameRun expects two runs with the same seed to be identical, also with the
// warm standby on.
func TestStandbySameSeedSameRun(t *testing.T) {
	for _, f := range families {
		for _, seed := range f.repeatedSeeds[:2] {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				t.Parallel()
				runTwice(t, func() *World { return NewWorld(withStandby(f.options(seed))) })
			})
		}
	}
}
