package placement

import (
	"cmp"
	"maps"
	"slices"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// placeReplicas places as many of a service's waiting replicas as there is room for, each on
// a machine of its own while there are enough, and evenly over the zones: what is lost with
// a machine or a zone is missing until it is proven gone.
func (b *Board) placeReplicas(entry QueueEntry) {
	j := entry.Job
	want := min(b.quotaHeadroom(j), entry.Most, j.Count(pipeline.Waiting))
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

// zoneSeconds weighs a zone that has a replica of the service already against the time until
// a replica starts.
const zoneSeconds = 3.0

// replicaChoices are the slots with room for a service's replicas by zone, the best first.
type replicaChoices struct {
	zones  []string // in a fixed order
	byZone map[string][]scored
}

func (b *Board) replicaChoices(j *pipeline.Job) *replicaChoices {
	c := &replicaChoices{byZone: map[string][]scored{}}
	for _, s := range b.open(j, "") {
		c.byZone[s.Zone] = append(c.byZone[s.Zone], s)
	}
	c.zones = slices.Sorted(maps.Keys(c.byZone))
	return c
}

// next is the best slot for the next replica, nil if there is none. Its machine is chosen
// again only after all others of the zone.
func (c *replicaChoices) next(j *pipeline.Job, inZones map[string]int, task int) *Slot {
	best, low := "", 0.0
	for _, zone := range c.zones {
		c.skipFull(j, zone, task)
		if len(c.byZone[zone]) == 0 || ZoneCapacity(j, zone, inZones) < 1 {
			continue
		}
		score := c.byZone[zone][0].score + zoneSeconds*float64(inZones[zone])
		if best == "" || score < low {
			best, low = zone, score
		}
	}
	if best == "" {
		return nil
	}
	slots := c.byZone[best]
	c.byZone[best] = append(slots[1:], slots[0])
	return slots[0].Slot
}

// skipFull drops the first slots of a zone that can't take the replica.
func (c *replicaChoices) skipFull(j *pipeline.Job, zone string, task int) {
	slots := c.byZone[zone]
	id := fleet.TaskID{Ref: j.Ref, Task: task}
	for len(slots) > 0 && (slots[0].CapacityFor(&j.Spec) < 1 || slots[0].Machine.Attempt(id) != nil) {
		slots = slots[1:]
	}
	c.byZone[zone] = slots
}

// placesPerReplica is how many places are looked at for each missing replica: replicas of many
// services are missing at once when a zone is lost, and room has to be made within seconds.
const placesPerReplica = 3

// makeCapacityForReplicas makes room for as many of n missing replicas of a service as it can,
// one on each machine and no more in a zone than may be there, on the cheapest machines:
// unlike a gang's tasks, each is of use without the others.
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
			b.clear(p)
			inZones[p.slot.Zone]++
			n--
		}
	}
}

// preemptibleIn are up to so many places of a pool where one task of the job has room once
// what may be stopped for it is stopped.
func (b *Board) preemptibleIn(pool *Pool, j *pipeline.Job, zones map[string]int, most int) []place {
	var found []place
	for _, s := range pool.Slots {
		if len(found) == most {
			break
		}
		if s.Future || !b.usable(s, j, zones) {
			continue
		}
		if p, ok := b.victims(s, j); ok {
			found = append(found, p)
		}
	}
	return found
}
