// Package capacity plans what to rent and what to give back.
package capacity

import (
	"math"
	"sort"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// Offer is a type of machine in a zone, as an ordinary or a spot one.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Demand is waiting work that no machine has room for.
type Demand struct {
	Job   *pipeline.Job
	Tasks int
	Zones map[string]int // where tasks of the job may be already
}

// Order asks for machines of an offer.
type Order struct {
	Offer Offer
	Count int
}

// Plan remembers which offers were refused of late and what is being asked for.
type Plan struct {
	refused map[Offer]refusal
	asking  map[Offer]int
}

type refusal struct {
	until time.Time
	times int
}

// How long an offer is left alone after a refusal: doubled each time.
const (
	refusedFirst = 8 * time.Second
	refusedMost  = 64 * time.Second
)

// maxPerRequest is how many machines one request may name (PROTOCOL).
const maxPerRequest = 50

// Answered takes in the answer to a request.
func (p *Plan) Answered(now time.Time, o Offer, asked, got int, refused, unknown bool) {
	p.asking[o] -= asked
	if p.asking[o] <= 0 {
		delete(p.asking, o)
	}
	if unknown || got >= asked {
		if got >= asked {
			delete(p.refused, o)
		}
		return
	}
	if p.refused == nil {
		p.refused = map[Offer]refusal{}
	}
	r := p.refused[o]
	r.until = now.Add(min(refusedFirst<<min(r.times, 4), refusedMost))
	r.times++
	p.refused[o] = r
}

// Asked notes a request that is under way.
func (p *Plan) Asked(o Offer, count int) {
	if p.asking == nil {
		p.asking = map[Offer]int{}
	}
	p.asking[o] += count
}

func (p *Plan) open(now time.Time, o Offer) bool {
	return !p.refused[o].until.After(now) && p.asking[o] == 0
}

// Choose plans what to rent for work that nothing has room for, after what the
// given slots, of live and of booting machines, will take of it.
func (p *Plan) Choose(now time.Time, demand []Demand, slots []*placement.Slot, c placement.Catalog) []Order {
	g := &planning{plan: p, now: now, catalog: c, slots: slots, used: map[Offer]bool{}}
	for o, n := range p.asking {
		if t := c[o.Type]; t != nil {
			g.add(t, o, n)
		}
	}
	for _, s := range slots {
		s.Unreserve()
	}
	for _, d := range demand {
		g.meet(d)
	}
	return g.orders
}

// planning is one plan in the making.
type planning struct {
	plan    *Plan
	now     time.Time
	catalog placement.Catalog
	slots   []*placement.Slot
	used    map[Offer]bool
	orders  []Order
}

func (g *planning) add(t *placement.Type, o Offer, n int) []*placement.Slot {
	from := len(g.slots)
	for range n {
		g.slots = append(g.slots, &placement.Slot{Type: t, Zone: o.Zone, Spot: o.Spot, CPUs: t.CPUs, GPUs: t.GPUs, MemG: t.MemGB,
			Room: math.MaxInt32, Future: true})
	}
	return g.slots[from:]
}

// meet books a demand on what is there or coming, and orders the rest.
func (g *planning) meet(d Demand) {
	zones := map[string]int{}
	for z, n := range d.Zones {
		zones[z] = n
	}
	only := ""
	if d.Job.OneZone {
		only = g.zoneFor(d, zones)
	}
	left := fill(d.Job, d.Tasks, g.slots, zones, only)
	for left > 0 {
		o, t, ok := g.cheapest(d.Job, left, zones, only)
		if !ok {
			return
		}
		per := t.Capacity(&d.Job.Spec)
		want := min(left, placement.ZoneRoom(d.Job, o.Zone, zones))
		n := min((want+per-1)/per, maxPerRequest)
		g.orders = append(g.orders, Order{o, n})
		g.used[o] = true
		left = fill(d.Job, left, g.add(t, o, n), zones, only)
	}
}

// zoneFor picks the zone for a job that must stay in one: where its tasks are,
// else where the least is missing of those where something can be had.
func (g *planning) zoneFor(d Demand, zones map[string]int) string {
	for z, n := range zones {
		if n > 0 {
			return z
		}
	}
	names := map[string]bool{}
	for _, t := range g.catalog {
		for _, z := range t.Zones {
			names[z] = true
		}
	}
	sorted := make([]string, 0, len(names))
	for z := range names {
		sorted = append(sorted, z)
	}
	sort.Strings(sorted)
	best, least := "", math.MaxInt
	for _, z := range sorted {
		var copies []*placement.Slot
		for _, s := range g.slots {
			c := *s
			copies = append(copies, &c)
		}
		left := fill(d.Job, d.Tasks, copies, map[string]int{}, z)
		if left > 0 {
			if _, _, ok := g.cheapest(d.Job, left, nil, z); !ok {
				continue
			}
		}
		if left < least {
			best, least = z, left
		}
	}
	return best
}

// fill books tasks of a job on slots and returns how many are left.
func fill(j *pipeline.Job, left int, slots []*placement.Slot, zones map[string]int, only string) int {
	for _, s := range slots {
		if s.Machine != nil && j.BadOn[s.Machine.Name] {
			continue // it won't be placed there again
		}
		for left > 0 && (only == "" || s.Zone == only) && s.Allowed(&j.Spec) && s.Free(&j.Spec) > 0 &&
			placement.ZoneRoom(j, s.Zone, zones) > 0 {
			s.Take(&j.Spec)
			zones[s.Zone]++
			left--
		}
	}
	return left
}

// cheapest is the open offer with the least cost for each task of the job.
func (g *planning) cheapest(j *pipeline.Job, left int, zones map[string]int, only string) (Offer, *placement.Type, bool) {
	var best Offer
	var bestType *placement.Type
	low := math.Inf(1)
	for _, t := range g.catalog {
		per := t.Capacity(&j.Spec)
		if per == 0 || !j.AllowsType(t.Name) {
			continue
		}
		for _, z := range t.Zones {
			if (j.Zone != "" && j.Zone != z) || (only != "" && only != z) || placement.ZoneRoom(j, z, zones) < 1 {
				continue
			}
			for _, spot := range [2]bool{false, true} {
				o := Offer{t.Name, z, spot}
				if (spot && !j.Spot) || g.used[o] || !g.plan.open(g.now, o) {
					continue
				}
				cost := t.Price(spot) / float64(min(per, left))
				if cost < low || cost == low && before(o, best) {
					best, bestType, low = o, t, cost
				}
			}
		}
	}
	return best, bestType, bestType != nil
}

func before(a, b Offer) bool {
	if a.Type != b.Type {
		return a.Type < b.Type
	}
	return a.Zone < b.Zone
}
