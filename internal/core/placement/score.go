package placement

import (
	"cmp"
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// Scorer scores slots for tasks.
type Scorer struct {
	Now time.Time
	// SecondsPerDollarHour converts a slot's cost in dollars per hour into seconds of delay.
	SecondsPerDollarHour float64
	// HeartbeatInterval is the interval at which a machine can be sent starts.
	HeartbeatInterval time.Duration
	// LargeGPUWork holds, by machine type, the job with the largest tasks among recent jobs that need
	// GPUs and would run on that type.
	LargeGPUWork map[*Type]*pipeline.Spec
}

// waste returns the share of the machine that a task of the job makes unusable for others, besides
// the share that it uses itself. A task without GPUs on a machine with GPUs wastes as much as it uses.
// Beside the replicas of services, though, there is often room for tasks of the type's LargeGPUWork.
// So a replica wastes only the shares of those tasks that no longer fit because of it.
func (w *Scorer) waste(s *Slot, sp *pipeline.Spec) float64 {
	if sp.GPUs > 0 || s.Type.GPUs == 0 {
		return 0
	}
	large := w.LargeGPUWork[s.Type]
	if sp.Shape != pipeline.Service || large == nil {
		return Share(s.Type, sp)
	}
	left := s.Type.total().Sub(s.serviceUsage)
	lost := tasksWithin(left, large) - tasksWithin(left.Sub(taskAmount(sp)), large)
	return float64(lost) * Share(s.Type, large)
}

// Penalties in the score of a slot, in seconds of delay.
const (
	// emptyMachineSeconds counts against a machine in proportion to its free CPUs: large tasks and
	// gangs need machines that are left empty, and only those can be released.
	emptyMachineSeconds = 10.0
	// cordonPlannedSeconds counts against a machine that is about to be drained. It is used only if
	// no other machine has room, so that tasks needn't be moved soon after their start.
	cordonPlannedSeconds = 3600.0
	// missedObjectiveSeconds counts against a slot on which the start misses its objective.
	missedObjectiveSeconds = 15.0
	// failedMachineSeconds counts against a machine on which an attempt failed since the last success.
	failedMachineSeconds = 60.0
)

// startLag is how long a start takes besides the wait for a heartbeat and the image fetch: the write
// of its record, and the transfer to the machine.
const startLag = 100 * time.Millisecond

// Score returns the score of a slot for a task of a job, in seconds; the lowest is best. It adds up
// the time until the machine can be sent the start and has the image, the cost of the slot, and the
// penalties above. StartBy is the job's objective for starting (zero: there is none, or it has
// passed).
func (w *Scorer) Score(s *Slot, j *pipeline.Job, startBy time.Time) float64 {
	sp := &j.Spec
	score := (Share(s.Type, sp) + w.waste(s, sp)) * s.Type.Price(s.Spot) * w.SecondsPerDollarHour
	if s.Machine != nil {
		starts := s.Machine.FetchLeft(w.Now, sp.Image, sp.ImageGB, s.Type.FetchGBPerS) +
			s.Machine.NextResponseIn(w.Now, w.HeartbeatInterval)
		score += starts.Seconds()
		if w.Now.Before(startBy) && w.Now.Add(starts+startLag).After(startBy) {
			score += missedObjectiveSeconds
		}
	}
	score += emptyMachineSeconds * s.free.CPUs / s.Type.CPUs
	if s.Machine != nil && s.Machine.Failures() > 0 {
		score += failedMachineSeconds
	}
	if s.Machine != nil && s.Machine.CordonPlanned() {
		score += cordonPlannedSeconds
	}
	return score
}

// scored is a slot with its score for a job.
type scored struct {
	*Slot
	score float64
}

// rankedSlots lists the slots in the zone (empty: in all zones) that have room for a task of the job
// now and may take it, the best first.
func (b *Board) rankedSlots(j *pipeline.Job, zone string) []scored {
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
