package placement

import (
	"math"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Type is a machine type with its present prices.
type Type struct {
	Name             string
	CPUs, GPUs       float64
	MemGB, CacheGB   float64
	FetchGBPerS      float64
	Hourly, SpotHour float64
	Boot             time.Duration
	Zones            []string
}

// Price is what an hour of the type costs.
func (t *Type) Price(spot bool) float64 {
	if spot {
		return t.SpotHour
	}
	return t.Hourly
}

// InZone reports whether the type is offered in a zone.
func (t *Type) InZone(zone string) bool {
	return slices.Contains(t.Zones, zone)
}

// Catalog holds the machine types by name.
type Catalog map[string]*Type

// Images are the size of a type's image cache and its rate of fetching.
func (c Catalog) Images(typ string) (cacheGB, gbPerS float64) {
	if t := c[typ]; t != nil {
		return t.CacheGB, t.FetchGBPerS
	}
	return math.Inf(1), 0
}

// slack absorbs the rounding of sums of decimal amounts.
const slack = 1e-6

// Fits reports whether one task fits an empty machine of the type.
func (t *Type) Fits(s *pipeline.Spec) bool { return t.Capacity(s) > 0 }

// Capacity is how many tasks of the job fit an empty machine of the type.
func (t *Type) Capacity(s *pipeline.Spec) int { return tasksWithin(t.total(), s) }

// total is what an empty machine of the type has.
func (t *Type) total() fleet.Amount {
	return fleet.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// maxPerMachine bounds how many tasks are counted onto one machine.
const maxPerMachine = 1000

// tasksWithin is how many tasks of the job fit into an amount.
func tasksWithin(free fleet.Amount, s *pipeline.Spec) int {
	n := maxPerMachine
	for _, p := range [3][2]float64{{free.CPUs, s.CPUs}, {free.GPUs, s.GPUs}, {free.MemGB, s.MemGB}} {
		if p[1] > 0 {
			n = min(n, int((p[0]+slack)/p[1]))
		}
	}
	return max(n, 0)
}
