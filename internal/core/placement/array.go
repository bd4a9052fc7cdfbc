package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// cachedWithin is how soon an image must be there for a place to count as one that has it.
const cachedWithin = 3 * time.Second

// placeTasks places as many tasks of an array as there is room for, and at most so many.
// Slots are filled one after the other, since a task more on a machine that has
// the image, or is in use, costs nothing more.
func (b *Board) placeTasks(entry QueueEntry) {
	j := entry.Job
	room := min(b.quotaHeadroom(j), entry.Most)
	want := min(room, j.Count(pipeline.Waiting))
	if want == 0 {
		return
	}
	slots := b.open(j, "")
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
		b.wait(j, 1, b.Cluster.Zones(j.Ref))
		b.Executor.Unplaced(j, unmet)
	}
}
