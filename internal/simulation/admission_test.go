package simulation

import (
	"fmt"
	"testing"
)

// TestAdmissionWorlds plays worlds of every family with admission control on, and with a team
// that floods the deployment again and again, with all their faults. The rules, and their
// checker, are the same as without it; besides, no node goes back to an older policy, and
// every policy says the same everywhere. The warm standby is on in every other world.
func TestAdmissionWorlds(t *testing.T) {
	counts := eventCounts{}
	for _, f := range families {
		for seed := range uint64(12) {
			o := withAdmission(f.options(f.firstSeed + seed))
			o.Standby = seed%2 == 0
			w := NewWorld(o)
			if err := w.Run(); err != nil {
				t.Errorf("%s: %v", f.name, err)
			}
			counts.addAll(w.admission.counts)
		}
	}
	least := eventCounts{
		"admitted": 1500, "refused: backlog": 150, "policies stored": 1000, "policies taken": 1000,
		"policies not taken": 3000,
	}
	counts.requireAtLeast(t, least)
	t.Log(counts)
}

// The same seed is the same run with admission control on as well.
func TestAdmissionSameSeedSameRun(t *testing.T) {
	for _, f := range families {
		t.Run(fmt.Sprintf("%s/%d", f.name, f.repeatedSeeds[0]), func(t *testing.T) {
			t.Parallel()
			playTwice(t, func() *World {
				return NewWorld(withStandby(withAdmission(f.options(f.repeatedSeeds[0]))))
			})
		})
	}
}
