package placement

import (
	"cmp"
	"slices"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Pool holds the slots of machines that are alike. Its bounds spare a look at
// them when none can have the room.
type Pool struct {
	Key   fleet.PoolKey
	Type  *Type
	Slots []*Slot // by name
	most  fleet.Amount
	stale bool // most may be too high or too low
}

// FreeCapacity is all machines that may take tasks, or soon will, by pool. It is kept up
// as they change.
type FreeCapacity struct {
	Pools  []*Pool
	byKey  map[fleet.PoolKey]*Pool
	slots  map[*fleet.Machine]*Slot
	marked []*Slot // that hold a round's reservation
}

// Set adds a machine, or brings its slot up to date. Future ones
// are booting and take no tasks yet.
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
	s.pool.stale = true
}

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

// Size is how many machines are counted.
func (f *FreeCapacity) Size() int { return len(f.slots) }

// Remove takes a machine out.
func (f *FreeCapacity) Remove(m *fleet.Machine) {
	s := f.slots[m]
	if s == nil {
		return
	}
	delete(f.slots, m)
	i := s.pool.find(m.Name)
	s.pool.Slots = slices.Delete(s.pool.Slots, i, i+1)
}

// find returns where a machine's slot is, or would have to be inserted.
func (p *Pool) find(name string) int {
	byName := func(s *Slot, name string) int { return cmp.Compare(s.Machine.Name, name) }
	i, _ := slices.BinarySearchFunc(p.Slots, name, byName)
	return i
}

// Allowed reports whether a job may use the pool's machines at all.
func (p *Pool) Allowed(sp *pipeline.Spec) bool {
	return len(p.Slots) > 0 && sp.AllowsType(p.Key.Type) && (sp.Zone == "" || sp.Zone == p.Key.Zone) &&
		(sp.Spot || !p.Key.Spot) && p.Type.Fits(sp)
}

// mayFit reports whether any slot might have room for a task: no is certain.
func (p *Pool) mayFit(sp *pipeline.Spec) bool {
	if p.stale {
		p.stale, p.most = false, fleet.Amount{}
		for _, s := range p.Slots {
			p.most = p.most.Max(s.free)
		}
	}
	return p.most.CPUs+slack >= sp.CPUs && p.most.GPUs+slack >= sp.GPUs && p.most.MemGB+slack >= sp.MemGB
}

// FindOpen is the first slot with room for a task of the job that is accepted; nil if there
// is none.
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

// EachOpen calls fn for each slot that now has room for a task of the job.
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

// EachWithFreeCapacity calls fn for each slot, booting ones too, that may have room for a
// task of the job, reservations apart, until it returns false.
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

// EachAllowed calls fn for each slot of live machines that the job may use, with
// room or not.
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

// byPrice lists the pools that the job may use, the cheapest machines first.
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

// Zones lists the zones that have slots.
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

// reserve keeps what a slot has free, and will have, for a job; a round's
// reservations end with it.
func (f *FreeCapacity) reserve(s *Slot, left reservation) {
	s.reserved = &left
	f.marked = append(f.marked, s)
}

// Clear ends the reservations of the last round.
func (f *FreeCapacity) Clear() {
	for _, s := range f.marked {
		s.reserved = nil
	}
	f.marked = f.marked[:0]
}
