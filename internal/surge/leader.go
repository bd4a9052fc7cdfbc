package surge

import (
	"slices"
	"time"

	"gingertally/internal/admission"
)

const (
	// takeoverTime is how long there is no leader after a leader has failed.
	takeoverTime = 3500 * time.Millisecond
	// policyLatency is how long a policy takes to reach a controller.
	policyLatency = 20 * time.Millisecond
	// duplicateDelay is how much later than a policy its duplicate arrives.
	duplicateDelay = 5 * time.Second
)

// leader is the state of the leader, with the policy that the state service holds.
type leader struct {
	planner     *admission.Planner // nil while there is no leader
	term        uint64
	vacantUntil time.Duration // the earliest time at which the next leader can take over
	nextRound   time.Duration
	stored      admission.Policy
	inFlight    []policyMessage
}

// policyMessage is a policy on its way to a controller.
type policyMessage struct {
	arrives    time.Duration
	controller int
	policy     admission.Policy
}

// beginTerm creates the planner of a new leader, which continues from the stored policy.
func (w *World) beginTerm() {
	settings := &w.options.Settings
	w.leader.planner = admission.NewPlanner(start.Add(w.now), admission.PlannerOptions{
		Quotas:       w.options.Teams,
		Weights:      w.options.Weights,
		Floor:        settings.Floor,
		EnterBacklog: settings.EnterBacklog,
		ExitBacklog:  settings.ExitBacklog,
		Interval:     settings.Interval,
	}, w.leader.term, w.leader.stored)
}

// changeLeader ends the leader if a fault does so in this step. It begins the next term once
// takeoverTime is over and the state service has no outage.
func (w *World) changeLeader() {
	for i := range w.options.Faults {
		if f := &w.options.Faults[i]; f.LeaderFails && w.now >= f.From && w.now < f.From+step {
			w.leader.vacantUntil, w.leader.planner = w.now+takeoverTime, nil
		}
	}
	if w.leader.planner == nil && w.now >= w.leader.vacantUntil && !w.options.storeOutage(w.now) {
		w.leader.term++
		w.beginTerm()
	}
}

// leaderRound collects the counts of the controllers that the leader can reach, computes a policy
// from them, stores it if it changed, and sends the stored policy to these controllers.
func (w *World) leaderRound() {
	if w.leader.planner == nil {
		return
	}
	cutOff := w.options.cutOff(w.now)
	load := admission.Load{
		Capacity: admission.Capacity{CPUs: w.options.CPUs(w.now), JobsPerSecond: w.options.JobsRate},
		Backlog:  w.machines.backlog(w.now),
	}
	for i, g := range w.gates {
		if !slices.Contains(cutOff, i) {
			load.Batches = append(load.Batches, g.CollectCounts(w.clock(i)))
		}
	}
	policy, changed := w.leader.planner.Plan(start.Add(w.now), load)
	if changed {
		if w.options.storeOutage(w.now) {
			return // a policy that isn't stored isn't sent
		}
		w.leader.stored = policy
		w.result.policyStored(w.now)
	}
	for i := range w.gates {
		if !slices.Contains(cutOff, i) {
			w.sendPolicy(i)
		}
	}
}

// sendPolicy sends the stored policy to a controller.
func (w *World) sendPolicy(controller int) {
	fault := w.options.deliveryFault(w.now)
	arrives := w.now + policyLatency + fault.PolicyDelay
	w.leader.inFlight = append(w.leader.inFlight, policyMessage{arrives, controller, w.leader.stored})
	if fault.DuplicatePolicies {
		again := policyMessage{arrives + duplicateDelay, controller, w.leader.stored}
		w.leader.inFlight = append(w.leader.inFlight, again)
	}
}

// deliverPolicies delivers the policies that are due to their controllers, and checks that no
// controller goes back to an older policy.
func (w *World) deliverPolicies() {
	remaining := w.leader.inFlight[:0]
	for _, message := range w.leader.inFlight {
		if message.arrives > w.now {
			remaining = append(remaining, message)
			continue
		}
		gate := w.gates[message.controller]
		before := *gate.Policy()
		gate.Apply(w.clock(message.controller), message.policy)
		if after := gate.Policy(); before.NewerThan(after) {
			w.result.violated("controller %d went back from policy %d.%d to %d.%d",
				message.controller, before.Term, before.Number, after.Term, after.Number)
		}
	}
	w.leader.inFlight = remaining
}
