package simulation

import (
	"fmt"
	"testing"
)

// withStandby are the options of a world whose leader's warm state is replicated.
func withStandby(o Options) Options {
	o.Standby = true
	return o
}

// standbySeeds is how many worlds of each family TestStandbyWorlds plays.
const standbySeeds = 25

// TestStandbyWorlds plays worlds of every family with the warm standby on, with all their
// troubles and a stream that loses, doubles, delays and reorders its frames. The rules, and
// their checker, are the same as without it.
func TestStandbyWorlds(t *testing.T) {
	from := map[string]uint64{"peace": 1, "troubles": 1000, "many fall together": 3000, "pipelines": 5000, "short leases": 7000}
	notes := map[string]int{}
	for _, f := range families {
		for seed := range uint64(standbySeeds) {
			w := NewWorld(withStandby(f.options(from[f.name] + seed)))
			if err := w.Run(); err != nil {
				t.Errorf("%s: %v", f.name, err)
			}
			for what, n := range w.standbys.notes {
				notes[what] += n
			}
		}
	}
	least := map[string]int{"warm takeovers": 150, "machines expected": 600, "machines differing": 60, "frames applied": 20_000,
		"frames ignored": 500, "frames gap": 30, "slow followers": 300, "claims put off": 20}
	for what, n := range least {
		if notes[what] < n {
			t.Errorf("%s: %d, at least %d expected", what, notes[what], n)
		}
	}
	t.Log(notes)
}

// TestStandbyFaultScenarios plays each fault scenario with the warm standby on.
func TestStandbyFaultScenarios(t *testing.T) {
	notes := map[string]int{}
	for i := range faultScenarios {
		m := faultScenarios[i]
		t.Run(m.name, func(t *testing.T) {
			options := m.options(uint64(i)*100 + 50)
			w := NewWorld(withStandby(options))
			s := newScript(w)
			m.script(s)
			if err := w.Run(); err != nil {
				t.Error(err)
			}
			for what, n := range w.standbys.notes {
				notes[what] += n
			}
		})
	}
	if notes["warm takeovers"] < 50 || notes["successors named"] < 10 {
		t.Errorf("the scenarios did too little to prove anything: %v", notes)
	}
	t.Log(notes)
}

// The same seed is the same run with the warm standby on as well.
func TestStandbySameSeedSameRun(t *testing.T) {
	for _, f := range families {
		for _, seed := range f.seeds[:2] {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
				t.Parallel()
				samePlayed(t, func() *World { return NewWorld(withStandby(f.options(seed))) })
			})
		}
	}
}
