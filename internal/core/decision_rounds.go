package core

import (
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/placement"
)

// decisionRounds is when rounds of decisions are due, and what the present one has found. A
// round may take several goes; only at its end is there a plan of what to request and release.
type decisionRounds struct {
	round     placement.Round
	requested bool              // something has changed that placement may use
	demand    []capacity.Demand // what the present round found no room for
	backlog   fleet.Amount      // what waited at the last round, in seconds of each resource; for admission
	begunAt   time.Time         // when the last go began
	plannedAt time.Time         // when scaling was last planned
}

// decideEvery bounds how often a go is begun without need.
const decideEvery = time.Second

// request has a go begin with the next tick: something has changed that placement may use.
func (r *decisionRounds) request() { r.requested = true }

// due reports whether a go is to begin.
func (r *decisionRounds) due(now time.Time) bool {
	return r.requested || now.Sub(r.begunAt) >= decideEvery
}

// begin notes that a go begins. Unless it resumes a round, nothing is known yet of what has no
// room.
func (r *decisionRounds) begin(now time.Time) {
	r.requested, r.begunAt = false, now
	if !r.round.Resumes() {
		r.demand = nil
	}
}

// run carries a go out. It reports whether the round has come to its end; if not, the next go
// is requested.
func (r *decisionRounds) run(b *placement.Board) bool {
	finished := r.round.Run(b)
	if !finished {
		r.request()
	}
	return finished
}

// addDemand notes work that has found no room.
func (r *decisionRounds) addDemand(d capacity.Demand) { r.demand = append(r.demand, d) }

// waiting notes what the jobs that may choose need, in seconds of each resource.
func (r *decisionRounds) waiting(backlog fleet.Amount) { r.backlog = backlog }

// planDue reports whether it is time to plan scaling again.
func (r *decisionRounds) planDue(now time.Time, every time.Duration) bool {
	return now.Sub(r.plannedAt) >= every
}

// planned notes that scaling is planned now.
func (r *decisionRounds) planned(now time.Time) { r.plannedAt = now }
