package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// cachedWithin is how soon an image must be on a machine for the machine to count as having it.
const cachedWithin = 3 * time.Second

// placeTasks places as many tasks of an array as there is room for, and at most entry.MaxTasks. Slots
// are filled one after the other, since one more task on a machine that has the image, or is in use
// already, costs nothing extra.
func (b *Board) placeTasks(entry QueueEntry) {
	j := entry.Job
	room := min(b.quotaHeadroom(j), entry.MaxTasks)
	want := min(room, j.Count(pipeline.Waiting))
	if want == 0 {
		return
	}
	slots := b.rankedSlots(j, "")
	task := j.NextWaiting(b.Now, 0)
	if task < 0 {
		return
	}
	placed := 0
	for _, s := range slots {
		if entry.ImageCachedOnly && s.Machine.FetchLeft(b.Now, j.Image, j.ImageGB, s.Type.FetchGBPerS) > cachedWithin {
			continue
		}
		for task >= 0 && placed < want && s.CapacityFor(&j.Spec) > 0 && ZoneCapacity(j, s.Zone, b.Cluster.Zones(j.Ref)) > 0 &&
			s.Machine.Attempt(fleet.TaskID{Ref: j.Ref, Task: task}) == nil {
			s.Take(&j.Spec)
			b.Executor.Commit(Decision{Job: j, Task: task, Slot: s.Slot})
			placed++
			task = j.NextWaiting(b.Now, task+1)
		}
	}
	if unmet := want - placed; unmet > 0 && task >= 0 && !entry.ImageCachedOnly {
		b.reserveOrPreempt(j, 1, b.Cluster.Zones(j.Ref))
		b.Executor.Unplaced(j, unmet)
	}
}
