package core

import (
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/placement"
)

// decisionRounds tracks when rounds of decisions are due, and what the current round has found. A
// round considers all waiting jobs. Its budget may split it into several passes; scaling is planned
// only at the end of a round.
type decisionRounds struct {
	round     placement.Round
	requested bool              // the next tick is to begin a pass
	demand    []capacity.Demand // tasks for which the current round found no capacity
	backlog   fleet.Amount      // waiting work, in seconds of each resource; for admission
	begunAt   time.Time         // when the last pass began
	plannedAt time.Time         // when scaling was last planned
}

// decideEvery is how often a pass begins if none is requested.
const decideEvery = time.Second

// request makes a pass begin with the next tick, because something has changed that may affect
// placement.
func (r *decisionRounds) request() { r.requested = true }

// due reports whether a pass is to begin.
func (r *decisionRounds) due(now time.Time) bool {
	return r.requested || now.Sub(r.begunAt) >= decideEvery
}

// begin records that a pass begins. Unless the pass resumes a round, the demand of the last round is
// dropped.
func (r *decisionRounds) begin(now time.Time) {
	r.requested, r.begunAt = false, now
	if !r.round.Resumes() {
		r.demand = nil
	}
}

// run carries out a pass and reports whether that completes the round. If not, it requests the next
// pass.
func (r *decisionRounds) run(b *placement.Board) bool {
	finished := r.round.Run(b)
	if !finished {
		r.request()
	}
	return finished
}

// addDemand adds tasks for which no capacity was found.
func (r *decisionRounds) addDemand(d capacity.Demand) { r.demand = append(r.demand, d) }

// setBacklog sets the waiting work of the jobs in the queue, in seconds of each resource.
func (r *decisionRounds) setBacklog(backlog fleet.Amount) { r.backlog = backlog }

// planDue reports whether it is time to plan scaling again.
func (r *decisionRounds) planDue(now time.Time, every time.Duration) bool {
	return now.Sub(r.plannedAt) >= every
}

// planned records that scaling is being planned.
func (r *decisionRounds) planned(now time.Time) { r.plannedAt = now }
