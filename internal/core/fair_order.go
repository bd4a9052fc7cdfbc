package core

import (
	"log/slog"
	"math"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// FairOrderChanged switches fair order on or off. With it, jobs of equal urgency are placed in the
// order of their teams' weighted dominant shares, the team that uses the least for its weight
// first, so that a small team's job doesn't wait behind a large team's backlog. Admission control
// switches it on under overload.
type FairOrderChanged struct {
	On      bool
	Weights map[string]float64 // by team; 1 for those that aren't listed
}

func (f FairOrderChanged) apply(e *Engine, _ time.Time) {
	if f.On != e.fairOrder.On {
		e.rounds.request()
		e.log(LogFairOrderSwitched, slog.Bool("enabled", f.On))
	}
	e.fairOrder = f
}

// teamQueue holds the entries of a team that have no place in the order of their group yet.
type teamQueue struct {
	entries []prioritized
	used    float64 // dominant share divided by the team's weight, including the entries that have a place
}

// orderFairly reorders each run of adjacent entries that are equal in urgency, starvation and
// repeated failure by fairness between teams. A team's own entries keep their order.
func (e *Engine) orderFairly(out []prioritized) {
	if !e.fairOrder.On {
		return
	}
	total := e.capacityTotal()
	for from := 0; from < len(out); {
		to := from + 1
		for to < len(out) && out[to].sameFairnessGroup(&out[from]) {
			to++
		}
		e.orderGroup(out[from:to], total)
		from = to
	}
}

// sameFairnessGroup reports whether fairness between teams decides which of two entries goes first:
// they are equal in urgency, starvation and repeated failure.
func (a *prioritized) sameFairnessGroup(b *prioritized) bool {
	return a.failing == b.failing && a.starving == b.starving && a.Job.Urgency == b.Job.Urgency
}

// orderGroup merges the teams' queues: each time, it takes the first entry of the team that then
// uses the least for its weight.
func (e *Engine) orderGroup(group []prioritized, total fleet.Amount) {
	queues := map[string]*teamQueue{}
	var teams []string // in the order of their first entries, which breaks ties
	for _, entry := range group {
		team := entry.Job.Team
		if queues[team] == nil {
			use := e.usage.ofTeam(team)
			queues[team] = &teamQueue{used: dominantShare(use, total) / e.fairWeight(team)}
			teams = append(teams, team)
		}
		queues[team].entries = append(queues[team].entries, entry)
	}
	if len(teams) < 2 {
		return
	}
	for i := range group {
		next := ""
		for _, team := range teams {
			if queue := queues[team]; len(queue.entries) > 0 && (next == "" || queue.used < queues[next].used) {
				next = team
			}
		}
		queue := queues[next]
		group[i] = queue.entries[0]
		queue.entries = queue.entries[1:]
		queue.used += dominantShare(needOf(group[i].Job, group[i].MaxTasks), total) / e.fairWeight(next)
	}
}

// fairWeight returns a team's weight.
func (e *Engine) fairWeight(team string) float64 {
	if w, set := e.fairOrder.Weights[team]; set && w > 0 {
		return w
	}
	return 1
}

// needOf returns what the waiting tasks of a job need, at most limit of them.
func needOf(j *pipeline.Job, limit int) fleet.Amount {
	n := float64(min(limit, j.Count(pipeline.Waiting)))
	return fleet.Amount{CPUs: n * j.CPUs, GPUs: n * j.GPUs, MemGB: n * j.MemGB}
}

// dominantShare returns the largest share that an amount takes of any resource.
func dominantShare(a, total fleet.Amount) float64 {
	share := 0.0
	for _, pair := range [...][2]float64{{a.CPUs, total.CPUs}, {a.GPUs, total.GPUs}, {a.MemGB, total.MemGB}} {
		if pair[1] > 0 {
			share = math.Max(share, pair[0]/pair[1])
		}
	}
	return share
}

// capacityTotal returns the resources of all machines that take tasks, or soon will.
func (e *Engine) capacityTotal() fleet.Amount {
	var total fleet.Amount
	for _, p := range e.capacity.free.Pools {
		n := float64(len(p.Slots))
		total.CPUs += n * p.Type.CPUs
		total.GPUs += n * p.Type.GPUs
		total.MemGB += n * p.Type.MemGB
	}
	return total
}

// ClusterLoad is the capacity of the cluster and the work that waits for it.
type ClusterLoad struct {
	Capacity fleet.Amount  // of all machines that take tasks, or soon will
	Backlog  time.Duration // how long the whole cluster would take for the waiting tasks
	Settled  bool          // the takeover is over; until then the capacity isn't known
}

// Load returns capacity and backlog; the backlog is that of the last round of decisions.
func (e *Engine) Load(now time.Time) ClusterLoad {
	load := ClusterLoad{Capacity: e.capacityTotal(), Settled: e.settled(now) && len(e.catalog) > 0}
	load.Backlog = time.Duration(dominantShare(e.rounds.backlog, load.Capacity) * float64(time.Second))
	return load
}

// waitingWork returns what the waiting tasks of a job need over their expected run time, in seconds
// of each resource.
func (e *Engine) waitingWork(j *pipeline.Job) fleet.Amount {
	need, seconds := needOf(j, len(j.Tasks)), e.expectedRun(j).Seconds()
	return fleet.Amount{CPUs: need.CPUs * seconds, GPUs: need.GPUs * seconds, MemGB: need.MemGB * seconds}
}
