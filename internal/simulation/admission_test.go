package simulation

import (
	"fmt"
	"testing"
)

// TestAdmissionWorlds plays worlds of every family with admission control on, and with a team
// that floods the deployment again and again, with all their troubles. The rules, and their
// checker, are the same as without it; besides, no node goes back to an older policy, and
// every policy says the same everywhere. The warm standby is on in every other world.
func TestAdmissionWorlds(t *testing.T) {
	from := map[string]uint64{"peace": 1, "troubles": 1000, "many fall together": 3000, "pipelines": 5000, "short leases": 7000}
	notes := map[string]int{}
	for _, f := range families {
		for seed := range uint64(12) {
			o := f.options(from[f.name] + seed)
			o.Admission, o.Standby = true, seed%2 == 0
			o.Drain *= 2 // there is more to work off
			w := NewWorld(o)
			if err := w.Run(); err != nil {
				t.Errorf("%s: %v", f.name, err)
			}
			for what, n := range w.admission.notes {
				notes[what] += n
			}
		}
	}
	least := map[string]int{"admitted": 1500, "refused: backlog": 150, "policies stored": 1000, "policies taken": 1000, "policies not taken": 3000}
	for what, n := range least {
		if notes[what] < n {
			t.Errorf("%s: %d, at least %d expected", what, notes[what], n)
		}
	}
	t.Log(notes)
}

// The same seed is the same run with admission control on as well.
func TestAdmissionSameSeedSameRun(t *testing.T) {
	for _, f := range families {
		t.Run(fmt.Sprintf("%s/%d", f.name, f.seeds[0]), func(t *testing.T) {
			t.Parallel()
			samePlayed(t, func() *World {
				o := f.options(f.seeds[0])
				o.Admission, o.Standby = true, true
				o.Drain *= 2
				return NewWorld(o)
			})
		})
	}
}
