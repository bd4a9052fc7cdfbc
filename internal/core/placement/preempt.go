package placement

import (
	"cmp"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// largeShare is the part of a machine from which a task counts as large: small
// ones that come later would go on filling the room that it waits for.
const largeShare = 0.3

// reservation is what a reserved slot may still give to jobs other than the one it is
// kept for.
type reservation struct {
	ref  string // the job it is kept for
	left fleet.Amount
}

// plus is the reservation once an attempt has left.
func (r reservation) plus(a *fleet.Attempt) reservation {
	return reservation{r.ref, r.left.Plus(a)}
}

// minus is what a task of the job leaves.
func (r reservation) minus(sp *pipeline.Spec) reservation {
	return reservation{sp.Ref, r.left.Sub(need(sp))}
}

// fits reports whether there is room for a task of the job.
func (r reservation) fits(sp *pipeline.Spec) bool { return tasksWithin(r.left, sp) > 0 }

// endsLate is how much later than expected the last of what occupies a place may
// end: room is made in time rather than hoped for until it is too late.
const endsLate = 20 * time.Second

// wait is called for a job that has no room now for n tasks at once: room that
// is coming is kept for it, and if that comes too late, room is made by stopping
// what may be stopped. Each round does so for a few jobs, the first in the order.
func (b *Board) wait(j *pipeline.Job, n int, zones map[string]int) {
	preempts := b.Cluster.MayPreempt(j)
	if b.MaxReservations == 0 || !(preempts || n > 1 || b.large(j)) {
		return
	}
	b.MaxReservations--
	places, at := b.soonest(j, n, zones)
	if len(places) < n || at.After(b.Cluster.NeedsCapacityBy(j).Add(-endsLate)) {
		if preempts && b.makeCapacity(j, n, zones) {
			return
		}
	}
	for _, p := range places {
		if n > 1 || Share(p.slot.Type, &j.Spec) >= largeShare {
			b.FreeCapacity.reserve(p.slot, p.left)
		}
	}
}

// large reports whether the job's tasks count as large on some type it may use.
func (b *Board) large(j *pipeline.Job) bool {
	for _, p := range b.FreeCapacity.Pools {
		if p.Allowed(&j.Spec) && Share(p.Type, &j.Spec) >= largeShare {
			return true
		}
	}
	return false
}

func (b *Board) usable(s *Slot, j *pipeline.Job, zones map[string]int) bool {
	return s.reserved == nil && ZoneCapacity(j, s.Zone, zones) > 0 && !j.Avoids(b.Now, s.Machine.Name)
}

// place is a slot that takes, or will take, a task of a waiting job.
type place struct {
	slot    *Slot
	at      time.Time
	left    reservation
	cost    float64
	victims []*fleet.Attempt
}

// soonest are the slots where n tasks of the job will first fit, one each, and
// when the last of them will; in one zone where they must be.
func (b *Board) soonest(j *pipeline.Job, n int, zones map[string]int) (best []place, at time.Time) {
	for _, z := range b.gangZones(j) {
		var all []place
		b.FreeCapacity.EachAllowed(&j.Spec, z, func(s *Slot) {
			if b.usable(s, j, zones) {
				t, rest := b.capacityAt(s, &j.Spec)
				all = append(all, place{slot: s, at: t, left: rest})
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

// present lists what may be on a machine, by attempt.
func present(m *fleet.Machine) []*fleet.Attempt {
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

// capacityAt is when a slot will have room for a task, and what will then be left.
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
	for _, a := range present(s.Machine) {
		ends = append(ends, end{a, b.Cluster.EndOf(a)})
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

// makeCapacity stops what must make way for n tasks of the job, on the machines
// where that loses the least, and keeps the room for it. It is all or nothing.
func (b *Board) makeCapacity(j *pipeline.Job, n int, zones map[string]int) bool {
	var best []place
	low := 0.0
	for _, z := range b.gangZones(j) {
		all := b.preemptible(j, z, zones)
		if len(all) < n {
			continue
		}
		sum := 0.0
		for _, p := range all[:n] {
			sum += p.cost
		}
		if best == nil || sum < low {
			best, low = all[:n], sum
		}
	}
	for _, p := range best {
		b.clear(p)
	}
	return best != nil
}

// preemptible are the places in a zone (empty: in all) where one task of the job has room
// once what may be stopped for it is stopped, those where that loses the least first.
func (b *Board) preemptible(j *pipeline.Job, zone string, zones map[string]int) []place {
	var all []place
	b.FreeCapacity.EachAllowed(&j.Spec, zone, func(s *Slot) {
		if !b.usable(s, j, zones) {
			return
		}
		if p, ok := b.victims(s, j); ok {
			all = append(all, p)
		}
	})
	slices.SortStableFunc(all, func(a, b place) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// clear stops what occupies a place and keeps the room for its task.
func (b *Board) clear(p place) {
	b.FreeCapacity.reserve(p.slot, p.left)
	for _, a := range p.victims {
		b.Executor.Preempt(a)
	}
}

// victims are the attempts on a slot to stop for a task of the job, what that
// costs in seconds of delay and lost work, and what room it leaves.
func (b *Board) victims(s *Slot, j *pipeline.Job) (place, bool) {
	free := reservation{j.Ref, s.free}
	type candidate struct {
		attempt *fleet.Attempt
		cost    float64
	}
	var may []candidate
	if !free.fits(&j.Spec) {
		for _, a := range present(s.Machine) {
			if a.Stopping() {
				free = free.plus(a) // on its way out already
				continue
			}
			if cost, ok := b.Cluster.PreemptionCost(j, a); ok {
				may = append(may, candidate{a, cost})
			}
		}
		slices.SortStableFunc(may, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	}
	p := place{slot: s}
	for _, c := range may {
		if free.fits(&j.Spec) {
			break
		}
		free, p.cost = free.plus(c.attempt), p.cost+c.cost
		p.victims = append(p.victims, c.attempt)
	}
	p.left = free.minus(&j.Spec)
	return p, free.fits(&j.Spec)
}
