package placement

import (
	"math"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Type is a machine type with its current prices.
type Type struct {
	Name                         string
	CPUs, GPUs                   float64
	MemGB, CacheGB               float64       // memory, and size of the image cache
	FetchGBPerS                  float64       // rate of image fetches
	HourlyPrice, SpotHourlyPrice float64       // prices of an hour, on demand and spot
	Boot                         time.Duration // expected time to boot
	Zones                        []string      // in which it is offered
}

// Price returns the price of a machine of the type for an hour.
func (t *Type) Price(spot bool) float64 {
	if spot {
		return t.SpotHourlyPrice
	}
	return t.HourlyPrice
}

// InZone reports whether the type is offered in a zone.
func (t *Type) InZone(zone string) bool {
	return slices.Contains(t.Zones, zone)
}

// Catalog holds the machine types by name.
type Catalog map[string]*Type

// ImageCache returns the size of a type's image cache and its rate of image fetches. For an unknown type
// the cache is unbounded and the rate 0, at which fetches count as taking no time.
func (c Catalog) ImageCache(typ string) (cacheGB, gbPerS float64) {
	if t := c[typ]; t != nil {
		return t.CacheGB, t.FetchGBPerS
	}
	return math.Inf(1), 0
}

// epsilon is the tolerance for rounding errors in sums of amounts.
const epsilon = 1e-6

// Fits reports whether one task fits an empty machine of the type.
func (t *Type) Fits(s *pipeline.Spec) bool { return t.Capacity(s) > 0 }

// Capacity returns how many tasks of the job fit an empty machine of the type.
func (t *Type) Capacity(s *pipeline.Spec) int { return tasksWithin(t.total(), s) }

// total returns the resources of an empty machine of the type.
func (t *Type) total() fleet.Amount {
	return fleet.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// maxPerMachine is the most tasks that count as fitting on one machine.
const maxPerMachine = 1000

// tasksWithin returns how many tasks of the job fit into an amount, maxPerMachine at the most.
func tasksWithin(free fleet.Amount, s *pipeline.Spec) int {
	n := maxPerMachine
	for _, p := range [3][2]float64{{free.CPUs, s.CPUs}, {free.GPUs, s.GPUs}, {free.MemGB, s.MemGB}} {
		if p[1] > 0 {
			n = min(n, int((p[0]+epsilon)/p[1]))
		}
	}
	return max(n, 0)
}
