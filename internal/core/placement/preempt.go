package placement

import (
	"cmp"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// largeTaskShare is the share of a machine from which on a task counts as large. Capacity is reserved
// for large tasks, since small tasks that come later would otherwise go on filling the room that a
// large one waits for.
const largeTaskShare = 0.3

// reservation reserves a slot for a job. Other jobs get no more of the slot than what is left besides
// the reserved room.
type reservation struct {
	ref  string       // the job that the slot is reserved for
	left fleet.Amount // what other jobs may still take
}

// plus returns the reservation once an attempt has left the machine.
func (r reservation) plus(a *fleet.Attempt) reservation {
	return reservation{r.ref, r.left.Plus(a)}
}

// minus returns the reservation for the job, with the room for one of its tasks taken off what is
// left.
func (r reservation) minus(sp *pipeline.Spec) reservation {
	return reservation{sp.Ref, r.left.Sub(taskAmount(sp))}
}

// fits reports whether what is left has room for a task of the job.
func (r reservation) fits(sp *pipeline.Spec) bool { return tasksWithin(r.left, sp) > 0 }

// endMargin is how much later than expected the attempts that occupy a slot may end. With this margin,
// attempts are preempted in time instead of when it is already too late.
const endMargin = 20 * time.Second

// reserveOrPreempt is called for a job that has no room now for n tasks at once. If the room that is
// expected comes too late for the job's objective, it makes room by preemption, if it can. Else it
// reserves the slots that are expected to have room first, unless the job needs room for a single
// task that isn't large there. Each round does so for the first MaxReservations jobs in the queue
// that may preempt, need room for several tasks at once, or have large tasks.
func (b *Board) reserveOrPreempt(j *pipeline.Job, n int, zones map[string]int) {
	preempts := b.Cluster.MayPreempt(j)
	if b.MaxReservations == 0 || !(preempts || n > 1 || b.hasLargeTasks(j)) {
		return
	}
	b.MaxReservations--
	places, at := b.earliestPlaces(j, n, zones)
	if len(places) < n || at.After(b.Cluster.NeedsCapacityBy(j).Add(-endMargin)) {
		if preempts && b.makeCapacity(j, n, zones) {
			return
		}
	}
	for _, p := range places {
		if n > 1 || Share(p.slot.Type, &j.Spec) >= largeTaskShare {
			b.FreeCapacity.reserve(p.slot, p.reservation)
		}
	}
}

// hasLargeTasks reports whether the job's tasks count as large on some machine type that it may use.
func (b *Board) hasLargeTasks(j *pipeline.Job) bool {
	for _, p := range b.FreeCapacity.Pools {
		if p.Allowed(&j.Spec) && Share(p.Type, &j.Spec) >= largeTaskShare {
			return true
		}
	}
	return false
}

// usable reports whether a slot may be reserved for one more task of the job, given the number of its
// tasks in each zone.
func (b *Board) usable(s *Slot, j *pipeline.Job, zones map[string]int) bool {
	return s.reserved == nil && ZoneCapacity(j, s.Zone, zones) > 0 && !j.Avoids(b.Now, s.Machine.Name)
}

// place is a slot that may be reserved for a task of a waiting job.
type place struct {
	slot        *Slot
	at          time.Time        // of earliestPlaces: when the slot is expected to have room
	reservation reservation      // the reservation to be made
	cost        float64          // of chooseVictims: total cost of the preemption in seconds
	victims     []*fleet.Attempt // of chooseVictims: the attempts to stop
}

// earliestPlaces returns the n slots that are expected to have room for a task of the job first, and
// when the last of them will. All are in one zone if the job's tasks must be. If there are fewer than
// n slots, it returns none.
func (b *Board) earliestPlaces(j *pipeline.Job, n int, zones map[string]int) (best []place, at time.Time) {
	for _, z := range b.gangZones(j) {
		var all []place
		b.FreeCapacity.EachAllowed(&j.Spec, z, func(s *Slot) {
			if b.usable(s, j, zones) {
				t, r := b.capacityAt(s, &j.Spec)
				all = append(all, place{slot: s, at: t, reservation: r})
			}
		})
		if len(all) < n {
			continue
		}
		slices.SortStableFunc(all, func(a, b place) int { return a.at.Compare(b.at) })
		if last := all[n-1].at; best == nil || last.Before(at) {
			best, at = all[:n], last
		}
	}
	return best, at
}

// activeAttempts lists the attempts that may be on a machine and haven't exited, sorted by number and
// task.
func activeAttempts(m *fleet.Machine) []*fleet.Attempt {
	out := make([]*fleet.Attempt, 0, m.ActiveAttempts())
	for a := range m.Attempts() {
		if a.State() != fleet.Exited {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *fleet.Attempt) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Task, b.Task))
	})
	return out
}

// capacityAt returns when a slot is expected to have room for a task of the job, and the reservation
// to be made for the task then.
func (b *Board) capacityAt(s *Slot, sp *pipeline.Spec) (time.Time, reservation) {
	at, free := b.Now, reservation{sp.Ref, s.free}
	if free.fits(sp) {
		return at, free.minus(sp)
	}
	type end struct {
		attempt *fleet.Attempt
		at      time.Time
	}
	var ends []end
	for _, a := range activeAttempts(s.Machine) {
		ends = append(ends, end{a, b.Cluster.ExpectedEnd(a)})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	for _, e := range ends {
		if free.fits(sp) {
			break
		}
		at, free = e.at, free.plus(e.attempt)
	}
	return at, free.minus(sp)
}

// makeCapacity makes room for n tasks of the job by preemption, on the machines where that costs the
// least, and reserves it. If it can't make room for all n, it stops nothing and returns false.
func (b *Board) makeCapacity(j *pipeline.Job, n int, zones map[string]int) bool {
	var best []place
	lowest := 0.0
	for _, z := range b.gangZones(j) {
		all := b.preemptible(j, z, zones)
		if len(all) < n {
			continue
		}
		sum := 0.0
		for _, p := range all[:n] {
			sum += p.cost
		}
		if best == nil || sum < lowest {
			best, lowest = all[:n], sum
		}
	}
	for _, p := range best {
		b.preemptAndReserve(p)
	}
	return best != nil
}

// preemptible lists the places in a zone (empty: in all zones) where preemption can make room for one
// task of the job, those with the lowest cost first.
func (b *Board) preemptible(j *pipeline.Job, zone string, zones map[string]int) []place {
	var all []place
	b.FreeCapacity.EachAllowed(&j.Spec, zone, func(s *Slot) {
		if !b.usable(s, j, zones) {
			return
		}
		if p, ok := b.chooseVictims(s, j); ok {
			all = append(all, p)
		}
	})
	slices.SortStableFunc(all, func(a, b place) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// preemptAndReserve preempts the victims of a place and reserves its slot.
func (b *Board) preemptAndReserve(p place) {
	b.FreeCapacity.reserve(p.slot, p.reservation)
	for _, a := range p.victims {
		b.Executor.Preempt(a)
	}
}

// chooseVictims chooses the attempts on a slot to stop for a task of the job, at the least cost in
// seconds of delay and lost work first. It returns false if stopping all that may be stopped doesn't
// make enough room.
func (b *Board) chooseVictims(s *Slot, j *pipeline.Job) (place, bool) {
	free := reservation{j.Ref, s.free}
	type candidate struct {
		attempt *fleet.Attempt
		cost    float64
	}
	var candidates []candidate
	if !free.fits(&j.Spec) {
		for _, a := range activeAttempts(s.Machine) {
			if a.Stopping() {
				free = free.plus(a) // was already told to stop
				continue
			}
			if cost, ok := b.Cluster.PreemptionCost(j, a); ok {
				candidates = append(candidates, candidate{a, cost})
			}
		}
		slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	}
	p := place{slot: s}
	for _, c := range candidates {
		if free.fits(&j.Spec) {
			break
		}
		free, p.cost = free.plus(c.attempt), p.cost+c.cost
		p.victims = append(p.victims, c.attempt)
	}
	p.reservation = free.minus(&j.Spec)
	return p, free.fits(&j.Spec)
}
