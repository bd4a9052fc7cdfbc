package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Slot is a machine in the view of placement and planning: its type, and what is free on it.
type Slot struct {
	Machine      *fleet.Machine // nil: the machine is requested, or is to be
	Type         *Type
	Zone         string
	Spot         bool
	Future       bool         // booting or only requested: takes no tasks yet
	free         fleet.Amount // resources that no attempt uses, whether reserved or not
	serviceUsage fleet.Amount // resources that replicas of services use
	reserved     *reservation // nil: not reserved
	pool         *Pool        // nil: it belongs to no FreeCapacity
}

// NewPlannedSlot returns the slot of an empty machine of a pool that is requested, or is to be.
func NewPlannedSlot(t *Type, k fleet.PoolKey) *Slot {
	return &Slot{Type: t, Zone: k.Zone, Spot: k.Spot, Future: true, free: t.total()}
}

// taskAmount returns the resources that a task of the job needs.
func taskAmount(sp *pipeline.Spec) fleet.Amount {
	return fleet.Amount{CPUs: sp.CPUs, GPUs: sp.GPUs, MemGB: sp.MemGB}
}

// Take takes the resources of one task of the job off what is free.
func (s *Slot) Take(sp *pipeline.Spec) {
	s.free = s.free.Sub(taskAmount(sp))
	if sp.Shape == pipeline.Service {
		s.serviceUsage = s.serviceUsage.Add(taskAmount(sp))
	}
	if s.pool != nil {
		s.pool.maxFreeStale = true
	}
	if r := s.reserved; r != nil && r.ref != sp.Ref {
		r.left = r.left.Sub(taskAmount(sp))
	}
}

// Allowed reports whether the job may use the slot's machine type and zone, and spot instances if it
// is one.
func (s *Slot) Allowed(sp *pipeline.Spec) bool {
	return sp.AllowsType(s.Type.Name) && (sp.Zone == "" || sp.Zone == s.Zone) && (sp.Spot || !s.Spot)
}

// CapacityFor returns how many more tasks of the job fit on the slot, with what is reserved for
// another job left out.
func (s *Slot) CapacityFor(sp *pipeline.Spec) int {
	n := tasksWithin(s.free, sp)
	if r := s.reserved; r != nil && r.ref != sp.Ref && n > 0 {
		n = min(n, tasksWithin(r.left, sp))
	}
	return n
}

// Share returns the share of a machine of the type that a task takes, by the resource of which it takes
// the largest share.
func Share(t *Type, sp *pipeline.Spec) float64 {
	share := 0.0
	for _, p := range [3][2]float64{{t.CPUs, sp.CPUs}, {t.GPUs, sp.GPUs}, {t.MemGB, sp.MemGB}} {
		if p[0] > 0 {
			share = max(share, p[1]/p[0])
		}
	}
	return share
}

// WithoutReservation returns a copy of the slot for planning, without its reservation.
func (s *Slot) WithoutReservation() *Slot {
	c := *s
	c.reserved, c.pool = nil, nil
	return &c
}

// paused reports whether no new work may be placed on the slot's machine for the moment.
func (s *Slot) paused(now time.Time) bool {
	return s.Machine != nil && s.Machine.StartsPaused(now)
}
