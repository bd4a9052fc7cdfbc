package placement

import (
	"cmp"
	"slices"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Pool holds the slots of the machines of one pool. Its bound maxFree saves a look at each slot when
// none can have room.
type Pool struct {
	Key          fleet.PoolKey
	Type         *Type
	Slots        []*Slot      // sorted by machine name
	maxFree      fleet.Amount // the most that any slot has free, for each resource on its own
	maxFreeStale bool         // maxFree has to be recomputed
}

// FreeCapacity holds the slots of all machines that take tasks, or soon will, by pool. Set and Remove
// keep it up to date.
type FreeCapacity struct {
	Pools         []*Pool
	byKey         map[fleet.PoolKey]*Pool
	slots         map[*fleet.Machine]*Slot
	reservedSlots []*Slot // that hold a round's reservation
}

// Set adds a machine, or updates its slot. A future machine is still booting and takes no tasks yet.
func (f *FreeCapacity) Set(m *fleet.Machine, t *Type, future bool) {
	if f.slots == nil {
		f.slots, f.byKey = map[*fleet.Machine]*Slot{}, map[fleet.PoolKey]*Pool{}
	}
	s := f.slots[m]
	if s != nil && s.Type != t {
		f.Remove(m)
		s = nil
	}
	if s == nil {
		s = &Slot{Machine: m, Type: t, Zone: m.Zone, Spot: m.Spot}
		s.pool = f.pool(m.PoolKey, t)
		f.slots[m] = s
		s.pool.Slots = slices.Insert(s.pool.Slots, s.pool.find(m.Name), s)
	}
	s.free, s.Future = t.total().Sub(m.Used()), future
	s.serviceUsage = m.ServiceUsage()
	s.pool.maxFreeStale = true
}

// pool returns the pool with a key, which it adds if needed, and sets its type.
func (f *FreeCapacity) pool(k fleet.PoolKey, t *Type) *Pool {
	p := f.byKey[k]
	if p == nil {
		p = &Pool{Key: k}
		f.byKey[k] = p
		f.Pools = append(f.Pools, p)
		slices.SortFunc(f.Pools, func(a, b *Pool) int { return a.Key.Compare(b.Key) })
	}
	p.Type = t
	return p
}

// Size returns the number of machines.
func (f *FreeCapacity) Size() int { return len(f.slots) }

// Remove removes a machine, if it is there.
func (f *FreeCapacity) Remove(m *fleet.Machine) {
	s := f.slots[m]
	if s == nil {
		return
	}
	delete(f.slots, m)
	i := s.pool.find(m.Name)
	s.pool.Slots = slices.Delete(s.pool.Slots, i, i+1)
}

// find returns the index in Slots at which a machine's slot is, or would have to be inserted.
func (p *Pool) find(name string) int {
	byName := func(s *Slot, name string) int { return cmp.Compare(s.Machine.Name, name) }
	i, _ := slices.BinarySearchFunc(p.Slots, name, byName)
	return i
}

// Allowed reports whether the pool has machines, the job may use them, and its tasks fit an empty one.
func (p *Pool) Allowed(sp *pipeline.Spec) bool {
	return len(p.Slots) > 0 && sp.AllowsType(p.Key.Type) && (sp.Zone == "" || sp.Zone == p.Key.Zone) &&
		(sp.Spot || !p.Key.Spot) && p.Type.Fits(sp)
}

// mayFit reports whether any slot might have room for a task. If it returns false, none has.
func (p *Pool) mayFit(sp *pipeline.Spec) bool {
	if p.maxFreeStale {
		p.maxFreeStale, p.maxFree = false, fleet.Amount{}
		for _, s := range p.Slots {
			p.maxFree = p.maxFree.Max(s.free)
		}
	}
	return p.maxFree.CPUs+epsilon >= sp.CPUs && p.maxFree.GPUs+epsilon >= sp.GPUs && p.maxFree.MemGB+epsilon >= sp.MemGB
}

// FindOpen returns the first slot that has room for a task of the job now and that accept approves; nil
// if there is none.
func (f *FreeCapacity) FindOpen(sp *pipeline.Spec, accept func(*Slot) bool) *Slot {
	for _, p := range f.Pools {
		if !p.Allowed(sp) || !p.mayFit(sp) {
			continue
		}
		for _, s := range p.Slots {
			if !s.Future && s.CapacityFor(sp) > 0 && accept(s) {
				return s
			}
		}
	}
	return nil
}

// EachOpen calls fn for each slot in the zone (empty: in all zones) that has room for a task of the
// job now.
func (f *FreeCapacity) EachOpen(sp *pipeline.Spec, zone string, fn func(*Slot)) {
	for _, p := range f.Pools {
		if (zone != "" && p.Key.Zone != zone) || !p.Allowed(sp) || !p.mayFit(sp) {
			continue
		}
		for _, s := range p.Slots {
			if !s.Future && s.CapacityFor(sp) > 0 {
				fn(s)
			}
		}
	}
}

// EachWithFreeCapacity calls fn, until it returns false, for each slot in the zone (empty: in all
// zones) that has room for a task of the job. It ignores reservations, and includes the slots of
// booting machines.
func (f *FreeCapacity) EachWithFreeCapacity(sp *pipeline.Spec, zone string, fn func(*Slot) bool) {
	for _, p := range f.Pools {
		if (zone != "" && p.Key.Zone != zone) || !p.Allowed(sp) || !p.mayFit(sp) {
			continue
		}
		for _, s := range p.Slots {
			if tasksWithin(s.free, sp) > 0 && !fn(s) {
				return
			}
		}
	}
}

// EachAllowed calls fn for each slot in the zone (empty: in all zones) that the job may use, with room
// or not, except those of booting machines.
func (f *FreeCapacity) EachAllowed(sp *pipeline.Spec, zone string, fn func(*Slot)) {
	for _, p := range f.Pools {
		if (zone == "" || p.Key.Zone == zone) && p.Allowed(sp) {
			for _, s := range p.Slots {
				if !s.Future {
					fn(s)
				}
			}
		}
	}
}

// byPrice lists the pools that the job may use, those with the cheapest machines first.
func (f *FreeCapacity) byPrice(sp *pipeline.Spec) []*Pool {
	var pools []*Pool
	for _, p := range f.Pools {
		if p.Allowed(sp) {
			pools = append(pools, p)
		}
	}
	slices.SortStableFunc(pools, func(a, b *Pool) int {
		return cmp.Compare(a.Type.Price(a.Key.Spot), b.Type.Price(b.Key.Spot))
	})
	return pools
}

// Zones lists the zones that have slots, sorted.
func (f *FreeCapacity) Zones() []string {
	var out []string
	seen := map[string]bool{}
	for _, p := range f.Pools {
		if len(p.Slots) > 0 && !seen[p.Key.Zone] {
			seen[p.Key.Zone] = true
			out = append(out, p.Key.Zone)
		}
	}
	slices.Sort(out)
	return out
}

// reserve reserves a slot for a job, until ClearReservations is called.
func (f *FreeCapacity) reserve(s *Slot, r reservation) {
	s.reserved = &r
	f.reservedSlots = append(f.reservedSlots, s)
}

// ClearReservations removes all reservations.
func (f *FreeCapacity) ClearReservations() {
	for _, s := range f.reservedSlots {
		s.reserved = nil
	}
	f.reservedSlots = f.reservedSlots[:0]
}
