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

// priorityOrder is the jobs with waiting tasks in the order in which they may choose:
// by urgency, then by how soon they must start to keep an objective that can still be
// kept, the small ones sooner. Jobs that keep failing come last. A job of which
// nothing has begun for long comes before all others, if only with a few of its
// tasks: neither urgent nor small work may starve it.
func (e *Engine) priorityOrder(now time.Time) []placement.QueueEntry {
	machines := float64(max(e.capacity.free.Size(), fewMachines))
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

// prioritized is a queue entry with what its place in the order goes by.
type prioritized struct {
	placement.QueueEntry
	starving, failing bool
	cacheMiss         int // 0: needs no fetch, or a short one; 1: a first wave; 2: the rest
	due               time.Time
}

// comparePrioritized orders queue entries.
func comparePrioritized(a, b prioritized) int {
	switch {
	case a.failing != b.failing:
		return falseFirst(a.failing)
	case a.starving != b.starving:
		return -falseFirst(a.starving)
	case !a.starving && a.Job.Urgency != b.Job.Urgency:
		return cmp.Compare(a.Job.Urgency, b.Job.Urgency)
	case a.cacheMiss != b.cacheMiss:
		return cmp.Compare(a.cacheMiss, b.cacheMiss)
	}
	return a.due.Compare(b.due)
}

// falseFirst compares a fact with its opposite, so that what it isn't true of comes first.
func falseFirst(fact bool) int {
	if fact {
		return 1
	}
	return -1
}

// appendEntries adds a job's queue entries. Arrays whose image is slow to fetch have three: for
// machines that have it, for as many others as they need to be in time, and for
// the rest. The time that a place is held for a fetch is lost to all.
func (e *Engine) appendEntries(out []prioritized, now time.Time, j *pipeline.Job, machines float64) []prioritized {
	wait := now.Sub(j.Since)
	failing := j.FailsRepeatedly(e.cfg.RestartLimit)
	if !failing && e.pastStarvationBound(now, j) {
		most := len(j.Tasks)
		if j.Shape == pipeline.Array {
			most = 1 + most/starvingPart
		}
		out = append(out, prioritized{
			QueueEntry: placement.QueueEntry{Job: j, Most: most},
			starving:   true, due: e.starvingSince(j),
		})
	}
	size := time.Duration(float64(e.remainingWork(j)) * e.cfg.Weights.SmallFirst / machines)
	size = time.Duration(float64(size) * min(1, max(0, 2-float64(wait)/float64(sizeFades))))
	due := e.dueStart(now, j)
	r := prioritized{QueueEntry: placement.QueueEntry{Job: j, Most: len(j.Tasks)}, failing: failing, due: due.Add(size)}
	if j.Shape == pipeline.Array && e.expectedFetch(j) > longFetch {
		cached, first := r, r
		cached.ImageCachedOnly, r.cacheMiss, first.cacheMiss = true, 2, 1
		first.Most = e.firstWave(j, due.Sub(now)-spareTime) - e.usage.ofJob(j.Ref).active()
		out = append(out, cached)
		if first.Most > 0 {
			out = append(out, first)
		}
	}
	return append(out, r)
}

// firstWave is how many places an array needs at once to have all its tasks done
// in time one after the other: so many may fetch its image ahead of later work
// that needs none fetched.
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

// starvingSince is what jobs past the starvation bound are ordered by among themselves.
func (e *Engine) starvingSince(j *pipeline.Job) time.Time { return j.Since.Add(-e.gatherTime(j)) }

// needsCapacityBy is when a job must have room if it isn't to be late; one that has
// waited for long is late already, whatever objective it can still keep.
// A service is late with each replica that isn't running, since every second of it counts.
func (e *Engine) needsCapacityBy(now time.Time, j *pipeline.Job) time.Time {
	if e.pastStarvationBound(now, j) || j.Shape == pipeline.Service {
		return now
	}
	return e.dueStart(now, j)
}

// starvationBound is how long a job may wait for its first task before it comes ahead
// of all others: the largest must begin within four minutes.
func (e *Engine) starvationBound(j *pipeline.Job) time.Duration {
	if j.Shape == pipeline.Gang && len(j.Tasks) > 1 {
		return max(gangStarvationBound-e.gatherTime(j), 0)
	}
	return jobStarvationBound
}

const (
	jobStarvationBound  = 150 * time.Second
	gangStarvationBound = 100 * time.Second
	// for each task beyond the first in a fleet of gatherFleet machines or fewer
	gatherEach  = 10 * time.Second
	gatherFleet = 250
)

// gatherTime is by how much a gang counts as older than it is: the more places it
// needs at once, the longer they take to come together; the less so the more
// machines there are, since places become free on all of them.
func (e *Engine) gatherTime(j *pipeline.Job) time.Duration {
	if j.Shape != pipeline.Gang {
		return 0
	}
	each := gatherEach * gatherFleet / time.Duration(max(gatherFleet, e.capacity.free.Size()))
	return time.Duration(len(j.Tasks)-1) * each
}

// How size counts against a job: Weights.SmallFirst seconds for each second of a
// machine that it needs, divided among the machines that are up, of which there
// are taken to be fewMachines at least. When not all can be in time, more jobs are if the
// small ones go first. It counts less once the job has waited for sizeFades, and
// not at all after twice that.
const (
	fewMachines  = 36
	sizeFades    = 4 * time.Minute
	starvingPart = 8
)

// Arrays whose image takes longer than longFetch to fetch have several queue entries. Their
// first waves are so wide that they would be done spareTime before they are due.
const (
	longFetch = 10 * time.Second
	spareTime = 20 * time.Second
)
