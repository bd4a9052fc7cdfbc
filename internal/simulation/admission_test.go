package simulation

import (
	"fmt"
	"testing"
)

// admissionSeeds is how many worlds of each family TestAdmissionWorlds plays.
const admissionSeeds = 12

// TestAdmissionWorlds plays worlds of every family, with all their faults, while admission control
// is on and one team repeatedly floods the deployment. All invariants of worlds without admission
// control hold too; in addition no node goes back to an older policy, and a policy has the same
// content on all nodes. The warm standby is on in every other world.
func TestAdmissionWorlds(t *testing.T) {
	counts := eventCounts{}
	change := func(o Options, number int) Options {
		o.Standby = number%2 == 0
		return withAdmission(o)
	}
	runFamilies(t, admissionSeeds, change, func(w *World) { counts.addAll(w.admission.counts) })
	least := eventCounts{
		"admitted": 1500, "refused: backlog": 150, "policies stored": 1000, "policies taken": 1000,
		"policies not taken": 3000,
	}
	counts.requireAtLeast(t, least)
	t.Log(counts)
}

// TestAdmissionSameSeedSameRun expects two runs with the same seed to be identical, also with
// admission control and the warm standby on.
func TestAdmissionSameSeedSameRun(t *testing.T) {
	for _, f := range families {
		t.Run(fmt.Sprintf("%s/%d", f.name, f.repeatedSeeds[0]), func(t *testing.T) {
			t.Parallel()
			runTwice(t, func() *World {
				return NewWorld(withStandby(withAdmission(f.options(f.repeatedSeeds[0]))))
			})
		})
	}
}
