package placement

import (
	"math"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// placeGang places all tasks of a gang or none. Nothing of an earlier attempt
// may be left anywhere.
func (b *Board) placeGang(j *pipeline.Job) {
	n := len(j.Tasks)
	if b.Cluster.ActiveAttempts(j.Ref) > 0 || j.Count(pipeline.Waiting) < n || b.quotaHeadroom(j) < n {
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].NotUntil.After(b.Now) {
			return
		}
	}
	var best []*Slot
	low := math.Inf(1)
	for _, z := range b.gangZones(j) {
		if chosen, score := b.tryGang(j, z); chosen != nil && score < low {
			best, low = chosen, score
		}
	}
	if best != nil {
		b.startGang(j, best)
		return
	}
	b.wait(j, n, map[string]int{})
	b.Executor.Unplaced(j, n)
}

// startGang places a gang. A task that has its image waits only so long for the
// others, so where the fetches differ by more, the quick ones are started later.
// A fetch mostly takes less than expected, and the gang starts with its last one,
// so a part of the longest is left out.
func (b *Board) startGang(j *pipeline.Job, slots []*Slot) {
	fetch := make([]time.Duration, len(slots))
	for i, s := range slots {
		fetch[i] = s.Machine.FetchLeft(b.Now, j.Image, j.ImageGB, s.Type.FetchGBPerS)
	}
	last := slices.Max(fetch)
	for i, s := range slots {
		s.Take(&j.Spec)
		b.Executor.Commit(Decision{Job: j, Task: i, Slot: s, Delay: max(0, last*4/5-fetch[i]-b.GangSlack)})
	}
}

// gangZones are the zones to try one by one; an empty name stands for all.
func (b *Board) gangZones(j *pipeline.Job) []string {
	if j.OneZone && len(j.Tasks) > 1 {
		return b.FreeCapacity.Zones()
	}
	return []string{""}
}

// tryGang chooses places for a whole gang. Its score is that of the worst place,
// since a gang starts with its last image, and a little for all the others.
func (b *Board) tryGang(j *pipeline.Job, zone string) ([]*Slot, float64) {
	var chosen []*Slot
	zones := map[string]int{}
	worst, sum := 0.0, 0.0
	for _, s := range b.open(j, zone) {
		for range s.CapacityFor(&j.Spec) {
			i := len(chosen)
			if i == len(j.Tasks) || ZoneCapacity(j, s.Zone, zones) < 1 ||
				s.Machine.Attempt(fleet.TaskID{Ref: j.Ref, Task: i}) != nil {
				break
			}
			zones[s.Zone]++
			chosen = append(chosen, s.Slot)
			worst, sum = max(worst, s.score), sum+s.score
		}
	}
	if len(chosen) < len(j.Tasks) {
		return nil, 0
	}
	return chosen, worst + sum/float64(len(chosen))
}
