package simulation

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// admissionNetwork is the part of a world that admission control needs: it carries policies between
// the nodes, whose gates and planner are the real ones, and counts what happens. A nil one means
// that admission control is off: every job is admitted.
type admissionNetwork struct {
	w *World
	random
	counts eventCounts
}

// policyKey is the key of the policy in the state service, the same as in the real controller.
const policyKey = "adm/policy"

// Settings of admission control in simulated worlds. A world lasts minutes, so a backlog of seconds
// already counts as overload.
const (
	simulatedPolicyInterval = time.Second
	simulatedEnterBacklog   = 20 * time.Second
	simulatedExitBacklog    = 8 * time.Second
	simulatedPolicyAge      = 6 * time.Second
	simulatedFloor          = 0.05
)

func newAdmissionNetwork(w *World) *admissionNetwork {
	return &admissionNetwork{w: w, random: newRandom(w.options.Seed, admissionStream), counts: eventCounts{}}
}

// jobsPerFlood is the number of jobs in a flood.
const jobsPerFlood = 15

// planFloods schedules several floods: each time, one team submits many bulk jobs within a second.
func (w *World) planFloods() {
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
