package placement

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Slot is a machine as a round sees it: what is free, and what it costs.
type Slot struct {
	Machine           *fleet.Machine // nil: only planned to be requested
	Type              *Type
	Zone              string
	Spot              bool
	CPUs, GPUs, MemGB float64
	Future            bool         // is booting: counts as coming, takes no tasks yet
	serviceUsage      fleet.Amount // what replicas of services take of it
	reserved          *reservation
	pool              *Pool
}

// Take books a task of the job.
func (s *Slot) Take(sp *pipeline.Spec) {
	s.CPUs, s.GPUs, s.MemGB = s.CPUs-sp.CPUs, s.GPUs-sp.GPUs, s.MemGB-sp.MemGB
	if sp.Shape == pipeline.Service {
		s.serviceUsage = s.serviceUsage.Add(fleet.Amount{CPUs: sp.CPUs, GPUs: sp.GPUs, MemGB: sp.MemGB})
	}
	if s.pool != nil {
		s.pool.stale = true
	}
	if r := s.reserved; r != nil && r.ref != sp.Ref {
		r.cpus, r.gpus, r.mem = r.cpus-sp.CPUs, r.gpus-sp.GPUs, r.mem-sp.MemGB
	}
}

// Allowed tells whether the job may use the slot's type, zone and kind.
func (s *Slot) Allowed(sp *pipeline.Spec) bool {
	return sp.AllowsType(s.Type.Name) && (sp.Zone == "" || sp.Zone == s.Zone) && (sp.Spot || !s.Spot)
}

// Free is how many tasks of the job the slot still takes.
func (s *Slot) Free(sp *pipeline.Spec) int {
	n := HowMany(s.CPUs, s.GPUs, s.MemGB, sp)
	if r := s.reserved; r != nil && r.ref != sp.Ref && n > 0 {
		n = min(n, HowMany(r.cpus, r.gpus, r.mem, sp))
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

// paused tells whether nothing is to be placed on the slot for the moment.
func (s *Slot) paused(now time.Time) bool {
	return s.Machine != nil && s.Machine.StartsPaused(now)
}
