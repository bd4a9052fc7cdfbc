package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// priorityOrder returns the jobs with waiting tasks in the order in which they may choose: by
// urgency, then by how soon they must start to meet an objective that can still be met, small jobs
// sooner. Jobs that fail repeatedly come last. A job that has waited past its starvation bound for
// its first task comes before all others, an array only with a few of its tasks: neither urgent nor
// small work may starve it.
func (e *Engine) priorityOrder(now time.Time) []placement.QueueEntry {
	machines := float64(max(e.capacity.free.Size(), minFleetSize))
	var out []prioritized
	var backlog fleet.Amount
	for _, j := range e.jobs.inOrder() {
		if j.Phase() == pipeline.Active && j.Count(pipeline.Waiting) > 0 && !e.cancelHolds(now, j.Ref) {
			out = e.appendEntries(out, now, j, machines)
			if e.cfg.Admission {
				backlog = backlog.Add(e.waitingWork(j))
			}
		}
	}
	e.rounds.setBacklog(backlog)
	slices.SortStableFunc(out, comparePrioritized)
	e.orderFairly(out)
	entries := make([]placement.QueueEntry, len(out))
	for i := range out {
		entries[i] = out[i].QueueEntry
	}
	return entries
}

// prioritized is a queue entry with its sort keys.
type prioritized struct {
	placement.QueueEntry
	starving, failing bool
	fetchRank         int // 0: needs no image fetch, or a short one; 1: the first wave of an array; 2: its rest
	due               time.Time
}

// comparePrioritized compares two queue entries; the one that is to choose first is less.
func comparePrioritized(a, b prioritized) int {
	switch {
	case a.failing != b.failing:
		return falseFirst(a.failing)
	case a.starving != b.starving:
		return -falseFirst(a.starving)
	case !a.starving && a.Job.Urgency != b.Job.Urgency:
		return cmp.Compare(a.Job.Urgency, b.Job.Urgency)
	case a.fetchRank != b.fetchRank:
		return cmp.Compare(a.fetchRank, b.fetchRank)
	}
	return a.due.Compare(b.due)
}

// falseFirst compares an element with one that differs from it in a condition, given whether the
// first one meets it: the one that doesn't comes first.
func falseFirst(condition bool) int {
	if condition {
		return 1
	}
	return -1
}

// appendEntries appends a job's queue entries. An array whose image is slow to fetch has three: one
// for machines that have the image, one for as many others as it needs to finish in time, and one
// for the rest. While a place waits for a fetch, nobody can use it.
func (e *Engine) appendEntries(out []prioritized, now time.Time, j *pipeline.Job, machines float64) []prioritized {
	wait := now.Sub(j.Since)
	failing := j.FailsRepeatedly(e.cfg.RestartLimit)
	if !failing && e.pastStarvationBound(now, j) {
		limit := len(j.Tasks)
		if j.Shape == pipeline.Array {
			limit = 1 + limit/starvingDivisor
		}
		out = append(out, prioritized{
			QueueEntry: placement.QueueEntry{Job: j, MaxTasks: limit},
			starving:   true, due: e.starvingSince(j),
		})
	}
	sizePenalty := time.Duration(float64(e.remainingWork(j)) * e.cfg.Weights.SmallFirst / machines)
	sizePenalty = time.Duration(float64(sizePenalty) * min(1, max(0, 2-float64(wait)/float64(sizePenaltyFade))))
	due := e.dueStart(now, j)
	rest := prioritized{QueueEntry: placement.QueueEntry{Job: j, MaxTasks: len(j.Tasks)}, failing: failing, due: due.Add(sizePenalty)}
	if j.Shape == pipeline.Array && e.expectedFetch(j) > longFetch {
		cached, first := rest, rest
		cached.ImageCachedOnly, rest.fetchRank, first.fetchRank = true, 2, 1
		first.MaxTasks = e.firstWave(j, due.Sub(now)-firstWaveSlack) - e.usage.ofJob(j.Ref).active()
		out = append(out, cached)
		if first.MaxTasks > 0 {
			out = append(out, first)
		}
	}
	return append(out, rest)
}

// firstWave returns how many places an array needs at once so that all its tasks, run there one
// after the other, are done in time. So many may fetch its image ahead of later work that needs no
// fetch.
func (e *Engine) firstWave(j *pipeline.Job, spare time.Duration) int {
	run := e.expectedRun(j).Seconds()
	if run <= 0 {
		return len(j.Tasks)
	}
	left := float64(len(j.Tasks) - j.Count(pipeline.Finished))
	return int(math.Ceil(left * run / (run + max(0, spare.Seconds()))))
}

// pastStarvationBound reports whether a job has waited so long for its first task that it comes
// before all others.
func (e *Engine) pastStarvationBound(now time.Time, j *pipeline.Job) bool {
	return !j.Started && now.Sub(j.Since) > e.starvationBound(j)
}

// starvingSince returns the time by which jobs past their starvation bounds are ordered among
// themselves.
func (e *Engine) starvingSince(j *pipeline.Job) time.Time { return j.Since.Add(-e.gangAgeBonus(j)) }

// needsCapacityBy returns when a job must have room so as not to be late. A job past its starvation
// bound is late already, whatever objective it can still meet, and so is a service with a replica
// that isn't running, since every second of it counts.
func (e *Engine) needsCapacityBy(now time.Time, j *pipeline.Job) time.Time {
	if e.pastStarvationBound(now, j) || j.Shape == pipeline.Service {
		return now
	}
	return e.dueStart(now, j)
}

// starvationBound returns how long a job may wait for its first task before it comes ahead of all
// others: the largest must begin within four minutes.
func (e *Engine) starvationBound(j *pipeline.Job) time.Duration {
	if j.Shape == pipeline.Gang && len(j.Tasks) > 1 {
		return max(gangStarvationBound-e.gangAgeBonus(j), 0)
	}
	return jobStarvationBound
}

const (
	jobStarvationBound  = 150 * time.Second
	gangStarvationBound = 100 * time.Second
	// ageBonusPerTask is a gang's age bonus for each task beyond the first. In fleets of more than
	// ageBonusFleetSize machines it is less, in inverse proportion to their size.
	ageBonusPerTask   = 10 * time.Second
	ageBonusFleetSize = 250
)

// gangAgeBonus returns by how much a gang counts as older than it is. The more places it needs at
// once, the longer it takes until so many are free together; that takes less time in a large fleet,
// where places become free on more machines.
func (e *Engine) gangAgeBonus(j *pipeline.Job) time.Duration {
	if j.Shape != pipeline.Gang {
		return 0
	}
	each := ageBonusPerTask * ageBonusFleetSize / time.Duration(max(ageBonusFleetSize, e.capacity.free.Size()))
	return time.Duration(len(j.Tasks)-1) * each
}

// The size of a job counts against it with Weights.SmallFirst seconds for each second of a machine
// that it needs, divided by the number of machines that are up, which is taken to be at least
// minFleetSize. When not all jobs can be in time, more of them are if the small ones go first. Size
// counts less once the job has waited for sizePenaltyFade, and not at all after twice that. Of an
// array past its starvation bound, one task and one in starvingDivisor come before all other work.
const (
	minFleetSize    = 36
	sizePenaltyFade = 4 * time.Minute
	starvingDivisor = 8
)

// Arrays whose image takes longer than longFetch to fetch have several queue entries. Their first
// waves are so wide that they would be done firstWaveSlack before they are due.
const (
	longFetch      = 10 * time.Second
	firstWaveSlack = 20 * time.Second
)
