package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Slot is a machine as a round sees it: what is free, and what it costs.
type Slot struct {
	Machine      *fleet.Machine // nil: only planned to be requested
	Type         *Type
	Zone         string
	Spot         bool
	Future       bool         // is booting: counts as coming, takes no tasks yet
	free         fleet.Amount // what nothing takes, reservations apart
	serviceUsage fleet.Amount // what replicas of services take of it
	reserved     *reservation // what is kept of it for a job; nil: nothing
	pool         *Pool
}

// NewPlannedSlot is an empty machine of a pool that is requested, or about to be.
func NewPlannedSlot(t *Type, k fleet.PoolKey) *Slot {
	return &Slot{Type: t, Zone: k.Zone, Spot: k.Spot, Future: true, free: t.total()}
}

// need is what a task of the job takes.
func need(sp *pipeline.Spec) fleet.Amount {
	return fleet.Amount{CPUs: sp.CPUs, GPUs: sp.GPUs, MemGB: sp.MemGB}
}

// Take books a task of the job.
func (s *Slot) Take(sp *pipeline.Spec) {
	s.free = s.free.Sub(need(sp))
	if sp.Shape == pipeline.Service {
		s.serviceUsage = s.serviceUsage.Add(need(sp))
	}
	if s.pool != nil {
		s.pool.stale = true
	}
	if r := s.reserved; r != nil && r.ref != sp.Ref {
		r.left = r.left.Sub(need(sp))
	}
}

// Allowed reports whether the job may use the slot's type, zone and kind.
func (s *Slot) Allowed(sp *pipeline.Spec) bool {
	return sp.AllowsType(s.Type.Name) && (sp.Zone == "" || sp.Zone == s.Zone) && (sp.Spot || !s.Spot)
}

// CapacityFor is how many tasks of the job the slot still takes.
func (s *Slot) CapacityFor(sp *pipeline.Spec) int {
	n := tasksWithin(s.free, sp)
	if r := s.reserved; r != nil && r.ref != sp.Ref && n > 0 {
		n = min(n, tasksWithin(r.left, sp))
	}
	return n
}

// Share is the part of a machine of the type that a task takes of its scarcest resource.
func Share(t *Type, sp *pipeline.Spec) float64 {
	share := 0.0
	for _, p := range [3][2]float64{{t.CPUs, sp.CPUs}, {t.GPUs, sp.GPUs}, {t.MemGB, sp.MemGB}} {
		if p[0] > 0 {
			share = max(share, p[1]/p[0])
		}
	}
	return share
}

// Plain copies a slot for planning, without its reservation.
func (s *Slot) Plain() *Slot {
	c := *s
	c.reserved, c.pool = nil, nil
	return &c
}

// paused reports whether nothing is to be placed on the slot for the moment.
func (s *Slot) paused(now time.Time) bool {
	return s.Machine != nil && s.Machine.StartsPaused(now)
}
