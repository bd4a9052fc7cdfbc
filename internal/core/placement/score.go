package placement

import (
	"cmp"
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// Scorer compares places for tasks.
type Scorer struct {
	Now time.Time
	// SecondsPerDollarHour weighs a dearer place against time lost on fetching.
	SecondsPerDollarHour float64
	// HeartbeatInterval is how often a machine can be told to start something.
	HeartbeatInterval time.Duration
	// LargeGPUWork is the largest task of recent work that needs GPUs, by the type of machine that
	// it would run on.
	LargeGPUWork map[*Type]*pipeline.Spec
}

// waste is the part of the slot that becomes unusable for others if the job takes it: a
// task without GPUs on a machine with GPUs, say. Beside the replicas of services there is
// often room for a task of the large work that needs the GPUs; only the replica that takes
// the last such room wastes something, and that is the machine.
func (w *Scorer) waste(s *Slot, sp *pipeline.Spec) float64 {
	if sp.GPUs > 0 || s.Type.GPUs == 0 {
		return 0
	}
	large := w.LargeGPUWork[s.Type]
	if sp.Shape != pipeline.Service || large == nil {
		return Share(s.Type, sp)
	}
	left := s.Type.total().Sub(s.serviceUsage)
	lost := tasksWithin(left, large) - tasksWithin(left.Sub(need(sp)), large)
	return float64(lost) * Share(s.Type, large)
}

// What counts against a machine when a place is chosen, in seconds of delay.
const (
	// fullerSeconds counts against an untouched machine: room left whole is what large tasks
	// and gangs need, and what can be released.
	fullerSeconds = 10.0
	// plannedSeconds counts against a machine that is about to be drained: it is taken only if
	// nothing else has room, so that what is placed there needn't move again.
	plannedSeconds = 3600.0
	// lateSeconds counts against a start that misses its objective.
	lateSeconds = 15.0
	// probationSeconds counts against a machine on which something failed.
	probationSeconds = 60.0
)

// startLag is what a start takes besides the wait for an answer and the fetch: the write
// before it, and the way to the machine.
const startLag = 100 * time.Millisecond

// Score ranks slots for a task of a job that is best started by a time (zero: any); the
// lowest is best. It adds up the time until the machine can be told and the image is there,
// what the place costs, and how much of the machine is free, so that room stays whole and
// machines empty out. Where a task would start too late for the objective of starting by a
// time (zero: there is none, or it has passed), that counts too.
func (w *Scorer) Score(s *Slot, j *pipeline.Job, startBy time.Time) float64 {
	sp := &j.Spec
	score := (Share(s.Type, sp) + w.waste(s, sp)) * s.Type.Price(s.Spot) * w.SecondsPerDollarHour
	if s.Machine != nil {
		starts := s.Machine.FetchLeft(w.Now, sp.Image, sp.ImageGB, s.Type.FetchGBPerS) +
			s.Machine.NextResponseIn(w.Now, w.HeartbeatInterval)
		score += starts.Seconds()
		if w.Now.Before(startBy) && w.Now.Add(starts+startLag).After(startBy) {
			score += lateSeconds
		}
	}
	score += fullerSeconds * s.free.CPUs / s.Type.CPUs
	if s.Machine != nil && s.Machine.Failures() > 0 {
		score += probationSeconds
	}
	if s.Machine != nil && s.Machine.CordonPlanned() {
		score += plannedSeconds
	}
	return score
}

// scored is a slot with its score for a job.
type scored struct {
	*Slot
	score float64
}

// open lists the slots with room for the job, the best first.
func (b *Board) open(j *pipeline.Job, zone string) []scored {
	var out []scored
	startBy := b.Cluster.StartBy(j)
	b.FreeCapacity.EachOpen(&j.Spec, zone, func(s *Slot) {
		if !s.paused(b.Now) && !j.Avoids(b.Now, s.Machine.Name) {
			out = append(out, scored{s, b.Score(s, j, startBy)})
		}
	})
	slices.SortStableFunc(out, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	return out
}
