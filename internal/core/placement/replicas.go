package placement

import (
	"cmp"
	"maps"
	"slices"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// placeReplicas places as many of a service's waiting replicas as there is room for, and at most
// entry.MaxTasks. They are spread evenly over the zones, and over the machines as far as there are
// enough: replicas on a lost machine or zone aren't replaced before they are proven gone.
func (b *Board) placeReplicas(entry QueueEntry) {
	j := entry.Job
	want := min(b.quotaHeadroom(j), entry.MaxTasks, j.Count(pipeline.Waiting))
	task := j.NextWaiting(b.Now, 0)
	if want == 0 || task < 0 {
		return
	}
	choices := b.replicaChoices(j)
	for task >= 0 && want > 0 {
		s := choices.next(j, b.Cluster.Zones(j.Ref), task)
		if s == nil {
			break
		}
		s.Take(&j.Spec)
		b.Executor.Commit(Decision{Job: j, Task: task, Slot: s})
		want--
		task = j.NextWaiting(b.Now, task+1)
	}
	if task >= 0 && want > 0 {
		b.makeCapacityForReplicas(j, want, b.Cluster.Zones(j.Ref))
		b.Executor.Unplaced(j, want)
	}
}

// occupiedZoneSeconds counts against a zone, in seconds of delay, for each replica of the service
// that is already there.
const occupiedZoneSeconds = 3.0

// replicaChoices holds the slots with room for a service's replicas.
type replicaChoices struct {
	zones  []string            // sorted
	byZone map[string][]scored // the best first; slots that were chosen before come last
}

// replicaChoices collects the slots that have room for the service's replicas now.
func (b *Board) replicaChoices(j *pipeline.Job) *replicaChoices {
	c := &replicaChoices{byZone: map[string][]scored{}}
	for _, s := range b.rankedSlots(j, "") {
		c.byZone[s.Zone] = append(c.byZone[s.Zone], s)
	}
	c.zones = slices.Sorted(maps.Keys(c.byZone))
	return c
}

// next returns the best slot for the next replica, nil if there is none. The slot then goes to the end
// of its zone's list, so that its machine is chosen again only after all others of the zone.
func (c *replicaChoices) next(j *pipeline.Job, inZones map[string]int, task int) *Slot {
	best, lowest := "", 0.0
	for _, zone := range c.zones {
		c.skipFull(j, zone, task)
		if len(c.byZone[zone]) == 0 || ZoneCapacity(j, zone, inZones) < 1 {
			continue
		}
		score := c.byZone[zone][0].score + occupiedZoneSeconds*float64(inZones[zone])
		if best == "" || score < lowest {
			best, lowest = zone, score
		}
	}
	if best == "" {
		return nil
	}
	slots := c.byZone[best]
	c.byZone[best] = append(slots[1:], slots[0])
	return slots[0].Slot
}

// skipFull removes slots that can't take the replica from the front of a zone's list.
func (c *replicaChoices) skipFull(j *pipeline.Job, zone string, task int) {
	slots := c.byZone[zone]
	id := fleet.TaskID{Ref: j.Ref, Task: task}
	for len(slots) > 0 && (slots[0].CapacityFor(&j.Spec) < 1 || slots[0].Machine.Attempt(id) != nil) {
		slots = slots[1:]
	}
	c.byZone[zone] = slots
}

// placesPerReplica bounds how many places of a pool are considered for each missing replica. When a
// zone is lost, replicas of many services are missing at once, and room has to be made within seconds.
const placesPerReplica = 3

// makeCapacityForReplicas makes room by preemption for as many of n missing replicas of a service as
// it can, one on each machine and no more in a zone than the service's constraints allow, in pools
// with cheap machines first. Unlike a gang's tasks, each replica is useful without the others.
func (b *Board) makeCapacityForReplicas(j *pipeline.Job, n int, zones map[string]int) {
	if b.MaxReservations == 0 || !b.Cluster.MayPreempt(j) {
		return
	}
	inZones := map[string]int{}
	maps.Copy(inZones, zones)
	for _, pool := range b.FreeCapacity.byPrice(&j.Spec) {
		choices := b.preemptibleIn(pool, j, inZones, placesPerReplica*n)
		slices.SortStableFunc(choices, func(a, b place) int { return cmp.Compare(a.cost, b.cost) })
		for _, p := range choices {
			if n == 0 {
				return
			}
			if ZoneCapacity(j, p.slot.Zone, inZones) < 1 {
				break
			}
			b.preemptAndReserve(p)
			inZones[p.slot.Zone]++
			n--
		}
	}
}

// preemptibleIn lists up to limit places of a pool where preemption can make room for one task of the
// job, in the order of the machines' names.
func (b *Board) preemptibleIn(pool *Pool, j *pipeline.Job, zones map[string]int, limit int) []place {
	var found []place
	for _, s := range pool.Slots {
		if len(found) == limit {
			break
		}
		if s.Future || !b.usable(s, j, zones) {
			continue
		}
		if p, ok := b.chooseVictims(s, j); ok {
			found = append(found, p)
		}
	}
	return found
}
