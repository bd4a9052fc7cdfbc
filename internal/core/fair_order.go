package core

import (
	"log/slog"
	"math"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// FairOrderChanged switches fair order on or off. With it, jobs of one urgency choose in the order
// of their teams' weighted dominant shares, the team that uses least for its weight first, so
// that a small team's job doesn't wait behind the backlog of a large one. Admission switches it
// on under overload.
type FairOrderChanged struct {
	On      bool
	Weights map[string]float64 // by team; those that aren't named weigh 1
}

func (f FairOrderChanged) apply(e *Engine, _ time.Time) {
	if f.On != e.fairOrder.On {
		e.rounds.request()
		e.log(LogFairOrderSwitched, slog.Bool("enabled", f.On))
	}
	e.fairOrder = f
}

// teamLine is what is left of a team's entries in a stretch of the order.
type teamLine struct {
	entries []prioritized
	used    float64 // dominant share, with what was ordered before, for the team's weight
}

// orderFairly reorders each stretch of entries that differ in nothing but their team and how
// soon they are due. A team's own entries keep their order.
func (e *Engine) orderFairly(out []prioritized) {
	if !e.fairOrder.On {
		return
	}
	total := e.capacityTotal()
	for from := 0; from < len(out); {
		to := from + 1
		for to < len(out) && out[to].sameStretch(&out[from]) {
			to++
		}
		e.orderStretch(out[from:to], total)
		from = to
	}
}

// sameStretch reports whether fairness between teams decides which of two entries is first.
func (a *prioritized) sameStretch(b *prioritized) bool {
	return a.failing == b.failing && a.starving == b.starving && a.Job.Urgency == b.Job.Urgency
}

// orderStretch merges the teams' lines, taking each time the first entry of the team that
// then uses least for its weight.
func (e *Engine) orderStretch(stretch []prioritized, total fleet.Amount) {
	lines := map[string]*teamLine{}
	var teams []string // in the order of their first entries, which decides between equals
	for _, entry := range stretch {
		team := entry.Job.Team
		if lines[team] == nil {
			use := e.usage.ofTeam(team)
			lines[team] = &teamLine{used: dominantShare(use, total) / e.fairWeight(team)}
			teams = append(teams, team)
		}
		lines[team].entries = append(lines[team].entries, entry)
	}
	if len(teams) < 2 {
		return
	}
	for i := range stretch {
		next := ""
		for _, team := range teams {
			if l := lines[team]; len(l.entries) > 0 && (next == "" || l.used < lines[next].used) {
				next = team
			}
		}
		l := lines[next]
		stretch[i] = l.entries[0]
		l.entries = l.entries[1:]
		l.used += dominantShare(needOf(stretch[i].Job, stretch[i].Most), total) / e.fairWeight(next)
	}
}

// fairWeight is a team's weight.
func (e *Engine) fairWeight(team string) float64 {
	if w, set := e.fairOrder.Weights[team]; set && w > 0 {
		return w
	}
	return 1
}

// needOf is what so many waiting tasks of a job take.
func needOf(j *pipeline.Job, most int) fleet.Amount {
	n := float64(min(most, j.Count(pipeline.Waiting)))
	return fleet.Amount{CPUs: n * j.CPUs, GPUs: n * j.GPUs, MemGB: n * j.MemGB}
}

// dominantShare is the largest part that an amount takes of any resource.
func dominantShare(a, total fleet.Amount) float64 {
	share := 0.0
	for _, part := range [...][2]float64{{a.CPUs, total.CPUs}, {a.GPUs, total.GPUs}, {a.MemGB, total.MemGB}} {
		if part[1] > 0 {
			share = math.Max(share, part[0]/part[1])
		}
	}
	return share
}

// capacityTotal is what all machines have that take tasks.
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

// ClusterLoad is what there is to work with and what waits for it.
type ClusterLoad struct {
	Capacity fleet.Amount  // of all machines that take tasks, or soon will
	Backlog  time.Duration // that they need for the tasks that wait
	Settled  bool          // past the takeover; before, the capacity isn't known
}

// Load tells of capacity and backlog, the latter as of the last round of decisions.
func (e *Engine) Load(now time.Time) ClusterLoad {
	load := ClusterLoad{Capacity: e.capacityTotal(), Settled: e.settled(now) && len(e.catalog) > 0}
	load.Backlog = time.Duration(dominantShare(e.rounds.backlog, load.Capacity) * float64(time.Second))
	return load
}

// waitingWork is what the waiting tasks of a job take, in seconds of each resource.
func (e *Engine) waitingWork(j *pipeline.Job) fleet.Amount {
	need, seconds := needOf(j, len(j.Tasks)), e.expectedRun(j).Seconds()
	return fleet.Amount{CPUs: need.CPUs * seconds, GPUs: need.GPUs * seconds, MemGB: need.MemGB * seconds}
}
