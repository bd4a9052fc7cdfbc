package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// quotaPhase is for how long a part of a team's limit is kept for overdue gangs, and for how
// long it is then open to all again. What holds the rest of the limit may run for long, and
// no job may be left waiting for 90 s though its team has room.
const quotaPhase = time.Minute

// quotaKeeper keeps a part of a team's limit for an overdue gang: without it, the team's
// smaller jobs take every bit that becomes free, and the gang waits for their end.
type quotaKeeper struct {
	kept  map[string]keptQuota // in this round, by team
	since map[string]time.Time // when a gang of the team first lacked quota
}

type keptQuota struct {
	gang   *pipeline.Job
	amount fleet.Amount
}

// beginRound forgets what the last round kept, and the teams of which no gang lacked any.
func (q *quotaKeeper) beginRound() {
	since := map[string]time.Time{}
	for team := range q.kept {
		since[team] = q.since[team]
	}
	q.kept, q.since = map[string]keptQuota{}, since
}

// keepFor keeps what a gang needs from the jobs that come after it in the round, for one
// gang of a team at a time.
func (q *quotaKeeper) keepFor(now time.Time, gang *pipeline.Job) {
	if _, taken := q.kept[gang.Team]; taken {
		return
	}
	if q.since[gang.Team].IsZero() {
		q.since[gang.Team] = now
	}
	var amount fleet.Amount
	if now.Sub(q.since[gang.Team])%(2*quotaPhase) < quotaPhase {
		n := float64(len(gang.Tasks))
		amount = fleet.Amount{CPUs: n * gang.CPUs, GPUs: n * gang.GPUs, MemGB: n * gang.MemGB}
	}
	q.kept[gang.Team] = keptQuota{gang: gang, amount: amount}
}

// keptFrom is what of its team's limit a job may not take: more urgent jobs may take all.
func (q *quotaKeeper) keptFrom(j *pipeline.Job) fleet.Amount {
	kept, ok := q.kept[j.Team]
	if !ok || kept.gang == j || j.Urgency < kept.gang.Urgency {
		return fleet.Amount{}
	}
	return kept.amount
}

// Team is a team's guarantee and limit; a limit of 0 means none.
type Team struct{ CPUs, GPUs, CPUsMax, GPUsMax float64 }

// Within tells whether an amount is within the team's limits.
func (t Team) Within(cpus, gpus float64) bool {
	return (t.CPUsMax == 0 || cpus <= t.CPUsMax+slack) && (t.GPUsMax == 0 || gpus <= t.GPUsMax+slack)
}

// quotaRoom is how many more tasks of the job its team's limit allows.
func (b *Board) quotaRoom(j *pipeline.Job) int {
	t, u := b.Team(j.Team), b.Usage(j.Team)
	kept := b.quota.keptFrom(j)
	u.CPUs, u.GPUs = u.CPUs+kept.CPUs, u.GPUs+kept.GPUs
	n := maxPerMachine * 1000
	if t.CPUsMax > 0 && j.CPUs > 0 {
		n = min(n, int((t.CPUsMax-u.CPUs+slack)/j.CPUs))
	}
	if t.GPUsMax > 0 && j.GPUs > 0 {
		n = min(n, int((t.GPUsMax-u.GPUs+slack)/j.GPUs))
	}
	return max(n, 0)
}
