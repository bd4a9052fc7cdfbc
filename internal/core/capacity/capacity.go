// Package capacity plans which machines to request from the cloud. An offer is a pool whose
// machines the cloud may let one have; requests and refusals are remembered by offer.
package capacity

import (
	"maps"
	"math"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// Demand is waiting work that no machine has room for.
type Demand struct {
	Job   *pipeline.Job
	Tasks int
	Zones map[string]int // where tasks of the job may be already
}

// Order asks for machines of an offer.
type Order struct {
	Offer fleet.PoolKey
	Count int
}

// Plan remembers which offers were refused of late, and which requests are under way.
type Plan struct {
	backoffs  map[fleet.PoolKey]Backoff
	requested map[fleet.PoolKey]int // machines, by offer
}

// Backoff is how long an offer is left alone after refusals.
type Backoff struct {
	Until    time.Time
	Refusals int // in a row
}

// Backoff is how long an offer is left alone; false if it isn't.
func (p *Plan) Backoff(o fleet.PoolKey) (Backoff, bool) {
	b, refused := p.backoffs[o]
	return b, refused
}

// SetBackoff has an offer left alone, as another leader had found it refused.
func (p *Plan) SetBackoff(o fleet.PoolKey, b Backoff) {
	if p.backoffs == nil {
		p.backoffs = map[fleet.PoolKey]Backoff{}
	}
	p.backoffs[o] = b
}

// An offer is left alone for minBackoff after a refusal, for twice as long after each
// further one, and for maxBackoff at the most.
const (
	minBackoff   = 8 * time.Second
	maxBackoff   = 64 * time.Second
	maxDoublings = 4
)

// maxPerRequest is how many machines one request may name (PROTOCOL).
const maxPerRequest = 50

// Answer is the outcome of a request for machines of an offer.
type Answer struct {
	Requested      int  // machines asked for
	Created        int  // machines created
	OutcomeUnknown bool // given up without an answer
}

// Answered takes in the outcome of a request.
func (p *Plan) Answered(now time.Time, o fleet.PoolKey, a Answer) {
	p.requested[o] -= a.Requested
	if p.requested[o] <= 0 {
		delete(p.requested, o)
	}
	switch {
	case a.Created >= a.Requested:
		delete(p.backoffs, o)
	case !a.OutcomeUnknown:
		p.backOff(now, o)
	}
}

// backOff leaves an offer alone for a while.
func (p *Plan) backOff(now time.Time, o fleet.PoolKey) {
	if p.backoffs == nil {
		p.backoffs = map[fleet.PoolKey]Backoff{}
	}
	b := p.backoffs[o]
	b.Until = now.Add(min(minBackoff<<min(b.Refusals, maxDoublings), maxBackoff))
	b.Refusals++
	p.backoffs[o] = b
}

// Requested notes a request that is under way.
func (p *Plan) Requested(o fleet.PoolKey, count int) {
	if p.requested == nil {
		p.requested = map[fleet.PoolKey]int{}
	}
	p.requested[o] += count
}

// requestedOffers lists the offers that are being asked for, in a fixed order: which of the
// coming machines a demand is booked on decides what is left for the next demand.
func (p *Plan) requestedOffers() []fleet.PoolKey {
	return slices.SortedFunc(maps.Keys(p.requested), fleet.PoolKey.Compare)
}

// available reports whether an offer may be asked for now.
func (p *Plan) available(now time.Time, o fleet.PoolKey) bool {
	return !p.backoffs[o].Until.After(now) && p.requested[o] == 0
}

// Choose plans what to request for work that nothing has room for, after what the
// machines counted as capacity, live and booting, will take of it. Reservations don't
// count: the jobs that room is kept for are among the demand.
func (p *Plan) Choose(
	now time.Time, demand []Demand, freeCapacity *placement.FreeCapacity, c placement.Catalog,
) []Order {
	g := &planner{
		plan: p, now: now, catalog: c, freeCapacity: freeCapacity,
		copies: map[*placement.Slot]*placement.Slot{},
		orders: map[fleet.PoolKey]int{},
	}
	for _, o := range p.requestedOffers() {
		if t := c[o.Type]; t != nil {
			g.addMachines(t, o, p.requested[o])
		}
	}
	for _, d := range demand {
		g.serve(d)
	}
	out := make([]Order, 0, len(g.orders))
	for _, o := range slices.SortedFunc(maps.Keys(g.orders), fleet.PoolKey.Compare) {
		out = append(out, Order{o, g.orders[o]})
	}
	return out
}

// planner is one plan in the making.
type planner struct {
	plan         *Plan
	now          time.Time
	catalog      placement.Catalog
	freeCapacity *placement.FreeCapacity
	copies       map[*placement.Slot]*placement.Slot // of the slots with free capacity, with what is planned for them
	extra        []*placement.Slot                   // of machines asked for, or about to be
	orders       map[fleet.PoolKey]int
}

// addMachines counts on machines of an offer that are asked for, or about to be.
func (g *planner) addMachines(t *placement.Type, o fleet.PoolKey, n int) {
	for range n {
		g.extra = append(g.extra, placement.NewPlannedSlot(t, o))
	}
}

// eachSlot calls fn for each slot that may have room for a task of the job, until it
// returns false.
func (g *planner) eachSlot(j *pipeline.Job, zone string, fn func(*placement.Slot) bool) {
	more := true
	g.freeCapacity.EachWithFreeCapacity(&j.Spec, zone, func(s *placement.Slot) bool {
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

// serve books a demand on what is there or coming, and orders machines for the rest.
func (g *planner) serve(d Demand) {
	zones := map[string]int{}
	maps.Copy(zones, d.Zones)
	zone := ""
	if d.Job.OneZone {
		zone = g.zoneFor(d, zones)
	}
	left := g.book(d.Job, d.Tasks, zones, zone)
	for left > 0 {
		offer := g.cheapest(d.Job, left, zones, zone)
		if offer == nil {
			return
		}
		perMachine := offer.machine.Capacity(&d.Job.Spec)
		tasks := min(left, placement.ZoneCapacity(d.Job, offer.Zone, zones))
		n := min((tasks+perMachine-1)/perMachine, maxPerRequest-g.orders[offer.PoolKey])
		g.orders[offer.PoolKey] += n
		g.addMachines(offer.machine, offer.PoolKey, n)
		left = g.book(d.Job, left, zones, zone)
	}
}

// zoneFor picks the zone for a job that must stay in one: where its tasks are,
// else where the least is missing of those where something can be had.
func (g *planner) zoneFor(d Demand, zones map[string]int) string {
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
	best, least := "", math.MaxInt
	for _, z := range slices.Sorted(maps.Keys(names)) {
		left := d.Tasks
		g.eachSlot(d.Job, z, func(s *placement.Slot) bool {
			left = max(0, left-s.CapacityFor(&d.Job.Spec))
			return left > 0
		})
		if left > 0 {
			if g.cheapest(d.Job, left, nil, z) == nil {
				continue
			}
		}
		if left < least {
			best, least = z, left
		}
	}
	return best
}

// book books tasks of a job on slots and returns how many are left. Zone, if not empty, is
// where they have to be.
func (g *planner) book(j *pipeline.Job, left int, zones map[string]int, zone string) int {
	g.eachSlot(j, zone, func(s *placement.Slot) bool {
		for left > 0 && s.CapacityFor(&j.Spec) > 0 && placement.ZoneCapacity(j, s.Zone, zones) > 0 {
			s.Take(&j.Spec)
			zones[s.Zone]++
			left--
		}
		return left > 0
	})
	return left
}

// pricedOffer is an offer with its machine type.
type pricedOffer struct {
	fleet.PoolKey
	machine *placement.Type
}

// cheapest is the available offer with the least cost for each task of the job, nil if
// there is none. Zone, if not empty, is where it has to be.
func (g *planner) cheapest(j *pipeline.Job, left int, zones map[string]int, zone string) *pricedOffer {
	var best *pricedOffer
	lowest := math.Inf(1)
	for _, t := range g.catalog {
		perMachine := t.Capacity(&j.Spec)
		if perMachine == 0 || !j.AllowsType(t.Name) {
			continue
		}
		for _, o := range offersOf(t) {
			if !g.mayOrder(j, o, zones, zone) {
				continue
			}
			cost := t.Price(o.Spot) / float64(min(perMachine, left))
			if cost < lowest || best != nil && cost == lowest && o.Compare(best.PoolKey) < 0 {
				best, lowest = &pricedOffer{o, t}, cost
			}
		}
	}
	return best
}

// mayOrder reports whether one more machine of an offer may be ordered for a job.
func (g *planner) mayOrder(j *pipeline.Job, o fleet.PoolKey, zones map[string]int, zone string) bool {
	if j.Zone != "" && j.Zone != o.Zone || zone != "" && zone != o.Zone {
		return false
	}
	if o.Spot && !j.Spot || g.orders[o] >= maxPerRequest {
		return false
	}
	return placement.ZoneCapacity(j, o.Zone, zones) >= 1 && g.plan.available(g.now, o)
}

// Outlook is what may be expected for a job that finds no room.
type Outlook struct {
	Requested  bool // machines that it may use are being asked for
	AllRefused bool // all offers that it may use have been refused of late
}

// Outlook looks at the offers that a job may use.
func (p *Plan) Outlook(now time.Time, sp *pipeline.Spec, c placement.Catalog) Outlook {
	out := Outlook{AllRefused: true}
	for _, t := range c {
		if !sp.AllowsType(t.Name) || !t.Fits(sp) {
			continue
		}
		for _, o := range offersOf(t) {
			if (sp.Zone != "" && sp.Zone != o.Zone) || (o.Spot && !sp.Spot) {
				continue
			}
			out.Requested = out.Requested || p.requested[o] > 0
			out.AllRefused = out.AllRefused && p.backoffs[o].Until.After(now)
		}
	}
	return out
}

// offersOf lists the offers of a machine type: in each of its zones an ordinary and a spot
// one.
func offersOf(t *placement.Type) []fleet.PoolKey {
	out := make([]fleet.PoolKey, 0, 2*len(t.Zones))
	for _, z := range t.Zones {
		out = append(out, fleet.PoolKey{Type: t.Name, Zone: z}, fleet.PoolKey{Type: t.Name, Zone: z, Spot: true})
	}
	return out
}
