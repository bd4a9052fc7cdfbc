package simulation

import "testing"

// combinedSeeds is how many worlds of each family TestCombinedWorlds plays.
const combinedSeeds = 6

// TestCombinedWorlds plays worlds of every family with the warm standby, admission control, drains
// and a bounded pace all on at once, so that what one of them does meets what the others do.
func TestCombinedWorlds(t *testing.T) {
	from := map[string]uint64{"peace": 1, "troubles": 1000, "many fall together": 3000, "pipelines": 5000, "short leases": 7000}
	notes := map[string]int{}
	paced := 0
	for _, f := range families {
		for seed := range uint64(combinedSeeds) {
			w := NewWorld(allSwitches(f.options(from[f.name] + seed)))
			if err := w.Run(); err != nil {
				t.Errorf("%s: %v", f.name, err)
			}
			for _, counts := range []map[string]int{w.standbys.notes, w.admission.notes, w.drains.notes} {
				for what, n := range counts {
					notes[what] += n
				}
			}
			paced += w.check.pacedSeconds
		}
	}
	least := map[string]int{"warm takeovers": 30, "machines expected": 100, "refused: backlog": 50, "policies stored": 300,
		"plans accepted": 40, "machines cordoned": 40, "interruptions by choice": 10}
	for what, n := range least {
		if notes[what] < n {
			t.Errorf("%s: %d, at least %d expected", what, notes[what], n)
		}
	}
	if paced < 100 {
		t.Errorf("orders were paced in %d seconds only", paced)
	}
	t.Log(notes, paced)
}
