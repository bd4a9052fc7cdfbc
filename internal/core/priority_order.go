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

// priorityOrder returns the jobs with waiting tasks in the order in which they are placed: by
// urgency, then by rank (fetchRank), then by when they have to start (dueStart), small jobs sooner.
// Jobs that fail repeatedly come last. A job that has waited past its starvation bound for its first
// task comes before all others, an array only with a few of its tasks: neither urgent nor small work
// may starve it. If fair order is on, orderFairly then reorders jobs of equal urgency.
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
	// fetchRank puts arrays whose image is slow to fetch after other work: 1 for the first wave of
	// such an array, 2 for its rest, and 0 for all else, also for such an array past its starvation
	// bound or on machines that have the image.
	fetchRank int
	due       time.Time // entries of the same rank are placed in this order
}

// comparePrioritized compares two queue entries; the one that is to be placed first is less.
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

// appendEntries appends a job's queue entries. A job past its starvation bound has an additional
// one, which comes before all others, unless the job fails repeatedly. An array whose image is slow
// to fetch has three: one for machines that have the image, one for its first wave unless that is
// placed already, and one for the rest. They are ranked, since capacity is taken and unused while an
// image is being fetched.
func (e *Engine) appendEntries(out []prioritized, now time.Time, j *pipeline.Job, machines float64) []prioritized {
	wait := now.Sub(j.ReadyAt)
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

// firstWave returns how many tasks of an array must run in parallel for all of them to be done in
// time, given the time to spare before they are due. So many of them are placed ahead of the rests
// of arrays whose images are slow to fetch.
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
	return !j.Started && now.Sub(j.ReadyAt) > e.starvationBound(j)
}

// starvingSince returns the time by which jobs past their starvation bounds are ordered among
// themselves.
func (e *Engine) starvingSince(j *pipeline.Job) time.Time { return j.ReadyAt.Add(-e.gangAgeBonus(j)) }

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
// others. Even the largest jobs must start within four minutes.
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
