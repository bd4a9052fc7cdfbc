// Package capacity plans which machines to rent.
package capacity

import (
	"maps"
	"math"
	"slices"
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
func (p *Plan) Answered(now time.Time, o Offer, asked, got int, _, unknown bool) {
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

// askedOffers lists the offers that are being asked for, in a fixed order: which of the
// coming machines a demand is booked on decides what is left for the next demand.
func (p *Plan) askedOffers() []Offer {
	offers := slices.Collect(maps.Keys(p.asking))
	sort.Slice(offers, func(i, k int) bool { return before(offers[i], offers[k]) })
	return offers
}

func (p *Plan) open(now time.Time, o Offer) bool {
	return !p.refused[o].until.After(now) && p.asking[o] == 0
}

// Choose plans what to rent for work that nothing has room for, after what the
// machines on the floor, live and booting, will take of it. Reservations don't
// count: the jobs that room is kept for are among the demand.
func (p *Plan) Choose(now time.Time, demand []Demand, floor *placement.Floor, c placement.Catalog) []Order {
	g := &planning{plan: p, now: now, catalog: c, floor: floor, copies: map[*placement.Slot]*placement.Slot{}, orders: map[Offer]int{}}
	for _, o := range p.askedOffers() {
		if t := c[o.Type]; t != nil {
			g.add(t, o, p.asking[o])
		}
	}
	for _, d := range demand {
		g.meet(d)
	}
	out := make([]Order, 0, len(g.orders))
	for o, n := range g.orders {
		out = append(out, Order{o, n})
	}
	sort.Slice(out, func(i, k int) bool { return before(out[i].Offer, out[k].Offer) })
	return out
}

// planning is one plan in the making.
type planning struct {
	plan    *Plan
	now     time.Time
	catalog placement.Catalog
	floor   *placement.Floor
	copies  map[*placement.Slot]*placement.Slot // of the floor's, with what is planned for them
	extra   []*placement.Slot                   // of machines asked for, or about to be
	orders  map[Offer]int
}

func (g *planning) add(t *placement.Type, o Offer, n int) {
	for range n {
		g.extra = append(g.extra, &placement.Slot{Type: t, Zone: o.Zone, Spot: o.Spot, CPUs: t.CPUs, GPUs: t.GPUs, MemG: t.MemGB, Future: true})
	}
}

// each calls fn for each slot that may have room for a task of the job, until it
// returns false.
func (g *planning) each(j *pipeline.Job, zone string, fn func(*placement.Slot) bool) {
	more := true
	g.floor.EachRoomy(&j.Spec, zone, func(s *placement.Slot) bool {
		if j.Avoids(g.now, s.Machine.Name) {
			return true // it won't be placed there again
		}
		c := g.copies[s]
		if c == nil {
			c = s.Plain()
			g.copies[s] = c
		}
		more = fn(c)
		return more
	})
	for _, s := range g.extra {
		if !more {
			return
		}
		if (zone == "" || s.Zone == zone) && s.Allowed(&j.Spec) {
			more = fn(s)
		}
	}
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
	left := g.fill(d.Job, d.Tasks, zones, only)
	for left > 0 {
		o, t, ok := g.cheapest(d.Job, left, zones, only)
		if !ok {
			return
		}
		per := t.Capacity(&d.Job.Spec)
		want := min(left, placement.ZoneRoom(d.Job, o.Zone, zones))
		n := min((want+per-1)/per, maxPerRequest-g.orders[o])
		g.orders[o] += n
		g.add(t, o, n)
		left = g.fill(d.Job, left, zones, only)
	}
}

// zoneFor picks the zone for a job that must stay in one: where its tasks are,
// else where the least is missing of those where something can be had.
func (g *planning) zoneFor(d Demand, zones map[string]int) string {
	names := map[string]bool{}
	for z, n := range zones {
		if n > 0 {
			return z
		}
	}
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
		left := d.Tasks
		g.each(d.Job, z, func(s *placement.Slot) bool {
			left = max(0, left-s.Free(&d.Job.Spec))
			return left > 0
		})
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
func (g *planning) fill(j *pipeline.Job, left int, zones map[string]int, only string) int {
	g.each(j, only, func(s *placement.Slot) bool {
		for left > 0 && s.Free(&j.Spec) > 0 && placement.ZoneRoom(j, s.Zone, zones) > 0 {
			s.Take(&j.Spec)
			zones[s.Zone]++
			left--
		}
		return left > 0
	})
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
				if (spot && !j.Spot) || g.orders[o] >= maxPerRequest || !g.plan.open(g.now, o) {
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
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	return !a.Spot && b.Spot
}

// Outlook tells whether machines that a job may use are being asked for, and
// whether all such offers have been refused of late.
func (p *Plan) Outlook(now time.Time, sp *pipeline.Spec, c placement.Catalog) (asked, refused bool) {
	refused = true
	for _, t := range c {
		if !sp.AllowsType(t.Name) || !t.Fits(sp) {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range [2]bool{false, true} {
				o := Offer{t.Name, z, spot}
				if (sp.Zone != "" && sp.Zone != z) || (spot && !sp.Spot) {
					continue
				}
				asked = asked || p.asking[o] > 0
				refused = refused && p.refused[o].until.After(now)
			}
		}
	}
	return asked, refused
}
