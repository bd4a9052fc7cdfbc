package placement

import (
	"sort"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// PoolKey names the machines that are alike: for a job, all are allowed or none.
type PoolKey struct {
	Type, Zone string
	Spot       bool
}

// Pool holds the slots of machines that are alike. Its bounds spare a look at
// them when none can have the room.
type Pool struct {
	Key   PoolKey
	Type  *Type
	Slots []*Slot // by name
	most  fleet.Amount
	stale bool // most may be too high or too low
}

// FreeCapacity is all machines that may take tasks, or soon will, by pool. It is kept up
// as they change.
type FreeCapacity struct {
	Pools  []*Pool
	byKey  map[PoolKey]*Pool
	slots  map[*fleet.Machine]*Slot
	marked []*Slot // that hold a round's reservation
}

// Set adds a machine, or brings its slot up to date. Future ones
// are booting and take no tasks yet.
func (f *FreeCapacity) Set(m *fleet.Machine, t *Type, future bool) {
	if f.slots == nil {
		f.slots, f.byKey = map[*fleet.Machine]*Slot{}, map[PoolKey]*Pool{}
	}
	s := f.slots[m]
	if s != nil && s.Type != t {
		f.Remove(m)
		s = nil
	}
	if s == nil {
		s = &Slot{Machine: m, Type: t, Zone: m.Zone, Spot: m.Spot}
		s.pool = f.pool(PoolKey{m.Type, m.Zone, m.Spot}, t)
		f.slots[m] = s
		i := s.pool.find(m.Name)
		s.pool.Slots = append(s.pool.Slots, nil)
		copy(s.pool.Slots[i+1:], s.pool.Slots[i:])
		s.pool.Slots[i] = s
	}
	u := m.Used()
	s.CPUs, s.GPUs, s.MemGB, s.Future = t.CPUs-u.CPUs, t.GPUs-u.GPUs, t.MemGB-u.MemGB, future
	s.serviceUsage = m.ServiceUsage()
	s.pool.stale = true
}

func (f *FreeCapacity) pool(k PoolKey, t *Type) *Pool {
	p := f.byKey[k]
	if p == nil {
		p = &Pool{Key: k}
		f.byKey[k] = p
		f.Pools = append(f.Pools, p)
		sort.Slice(f.Pools, func(i, j int) bool { return f.Pools[i].Key.before(f.Pools[j].Key) })
	}
	p.Type = t
	return p
}

func (k PoolKey) before(o PoolKey) bool {
	if k.Type != o.Type {
		return k.Type < o.Type
	}
	if k.Zone != o.Zone {
		return k.Zone < o.Zone
	}
	return !k.Spot && o.Spot
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
	s.pool.Slots = append(s.pool.Slots[:i], s.pool.Slots[i+1:]...)
}

func (p *Pool) find(name string) int {
	return sort.Search(len(p.Slots), func(i int) bool { return p.Slots[i].Machine.Name >= name })
}

// Allowed tells whether a job may use the pool's machines at all.
func (p *Pool) Allowed(sp *pipeline.Spec) bool {
	return len(p.Slots) > 0 && sp.AllowsType(p.Key.Type) && (sp.Zone == "" || sp.Zone == p.Key.Zone) &&
		(sp.Spot || !p.Key.Spot) && p.Type.Fits(sp)
}

// mayFit tells whether any slot might have room for a task: no is certain.
func (p *Pool) mayFit(sp *pipeline.Spec) bool {
	if p.stale {
		p.stale, p.most = false, fleet.Amount{}
		for _, s := range p.Slots {
			p.most.CPUs, p.most.GPUs, p.most.MemGB = max(p.most.CPUs, s.CPUs), max(p.most.GPUs, s.GPUs), max(p.most.MemGB, s.MemGB)
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
			if !s.Future && s.Free(sp) > 0 && accept(s) {
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
			if !s.Future && s.Free(sp) > 0 {
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
			if HowMany(s.CPUs, s.GPUs, s.MemGB, sp) > 0 && !fn(s) {
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
	sort.SliceStable(pools, func(i, k int) bool {
		return pools[i].Type.Price(pools[i].Key.Spot) < pools[k].Type.Price(pools[k].Key.Spot)
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
	sort.Strings(out)
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
