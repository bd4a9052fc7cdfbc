package placement

import (
	"math"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// placeGang places all tasks of a gang or none. It waits until no attempt of the gang may be left on
// any machine.
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
	lowest := math.Inf(1)
	for _, z := range b.gangZones(j) {
		if chosen, score := b.tryGang(j, z); chosen != nil && score < lowest {
			best, lowest = chosen, score
		}
	}
	if best != nil {
		b.startGang(j, best)
		return
	}
	b.reserveOrPreempt(j, n, map[string]int{})
	b.Executor.Unplaced(j, n)
}

// startGang places a gang on the chosen slots. A task that has its image waits for the rest of its
// gang for a limited time only. So where the expected fetches differ by more than GangSlack, the
// starts of tasks with short fetches are delayed. The longest fetch counts at 4/5 only: fetches
// mostly take less than expected, and the gang starts when the last one is complete.
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

// gangZones lists the zones to try one by one for the tasks of a job. An empty name stands for all
// zones together.
func (b *Board) gangZones(j *pipeline.Job) []string {
	if j.OneZone && len(j.Tasks) > 1 {
		return b.FreeCapacity.Zones()
	}
	return []string{""}
}

// tryGang chooses slots for a whole gang, in the zone if one is given; nil if there is no room for it.
// The score is that of the worst slot, since the gang starts when its last image is fetched, plus the
// mean of all, so that the other slots count a little, too.
func (b *Board) tryGang(j *pipeline.Job, zone string) ([]*Slot, float64) {
	var chosen []*Slot
	zones := map[string]int{}
	worst, sum := 0.0, 0.0
	for _, s := range b.rankedSlots(j, zone) {
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
