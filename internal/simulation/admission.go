package simulation

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// admissionNetwork is admission control in a world. The nodes' gates and the leader's planner are the real ones;
// the network carries policies between them. A nil one admits everything.
type admissionNetwork struct {
	w *World
	random
	counts eventCounts
}

// policyKey holds the policy in the state service, as in the daemon.
const policyKey = "adm/policy"

// Settings of admission control in simulated worlds, in which a backlog of seconds is much.
const (
	simulatedPolicyEvery = time.Second
	simulatedEnter       = 20 * time.Second
	simulatedExit        = 8 * time.Second
	simulatedPolicyAge   = 6 * time.Second
	simulatedFloor       = 0.05
)

func newAdmissionNetwork(w *World) *admissionNetwork {
	return &admissionNetwork{w: w, random: newRandom(w.options.Seed, admissionStream), counts: eventCounts{}}
}

// jobsPerFlood is how many jobs a flood consists of.
const jobsPerFlood = 15

// floodUsers has one team submit bulk work several times, many jobs at once.
func (w *World) floodUsers() {
	a := w.admission
	for flood := range 3 {
		at := a.between(0, w.options.Length*2/3)
		for i := range jobsPerFlood {
			run := a.between(4*time.Second, 12*time.Second)
			spec := pipeline.Spec{
				Ref: floodJobRefs.ref(flood*jobsPerFlood + i), Class: "bulk", Team: "green", Image: "img-0", ImageGB: 1,
				Tasks: 4 + a.rng.IntN(8), CPUs: 2, MemGB: 4, Priority: pipeline.Normal, Spot: true, Estimate: run,
			}
			w.submitAfter(at+a.between(0, time.Second), spec, run)
		}
	}
}
