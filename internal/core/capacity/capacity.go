// Package capacity plans which machines to request from the cloud. An offer is a pool
// (machine type, zone, spot or not) from which the cloud may provide machines. Pending requests
// and refusals are tracked per offer.
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

// Demand holds waiting tasks of a job that don't fit on the machines that take tasks now.
type Demand struct {
	Job   *pipeline.Job
	Tasks int
	Zones map[string]int // attempts of the job that may already be on machines, by zone
}

// Order is a request to be made for machines of an offer.
type Order struct {
	Offer fleet.PoolKey
	Count int
}

// Plan keeps the back-off of offers that were refused recently, and the requests in flight. Its
// zero value is ready to use.
type Plan struct {
	backoffs  map[fleet.PoolKey]Backoff
	requested map[fleet.PoolKey]int // machines in requests in flight, by offer
}

// Backoff is the pause in requests for an offer after it was refused.
type Backoff struct {
	Until    time.Time // no request before this time
	Refusals int       // consecutive refusals
}

// Backoff returns the back-off of an offer; false if no refusal is remembered. The back-off may
// have expired.
func (p *Plan) Backoff(o fleet.PoolKey) (Backoff, bool) {
	b, refused := p.backoffs[o]
	return b, refused
}

// SetBackoff sets the back-off of an offer, as taken over from the previous leader.
func (p *Plan) SetBackoff(o fleet.PoolKey, b Backoff) {
	if p.backoffs == nil {
		p.backoffs = map[fleet.PoolKey]Backoff{}
	}
	p.backoffs[o] = b
}

// The back-off after a first refusal is minBackoff. It doubles with each further consecutive
// refusal, up to maxBackoff.
const (
	minBackoff   = 8 * time.Second
	maxBackoff   = 64 * time.Second
	maxDoublings = 4
)

// maxPerRequest is the most machines that one request may ask for (PROTOCOL).
const maxPerRequest = 50

// Answer is the outcome of a request for machines of an offer.
type Answer struct {
	Requested      int  // machines asked for
	Created        int  // machines created
	OutcomeUnknown bool // the request was given up without an answer
}

// RecordAnswer records the outcome of a request. If all machines were created, the offer's back-off
// ends; if some weren't, it is extended. An unknown outcome leaves it as it is.
func (p *Plan) RecordAnswer(now time.Time, o fleet.PoolKey, a Answer) {
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

// backOff counts a refusal of an offer and starts its next back-off.
func (p *Plan) backOff(now time.Time, o fleet.PoolKey) {
	if p.backoffs == nil {
		p.backoffs = map[fleet.PoolKey]Backoff{}
	}
	b := p.backoffs[o]
	b.Until = now.Add(min(minBackoff<<min(b.Refusals, maxDoublings), maxBackoff))
	b.Refusals++
	p.backoffs[o] = b
}

// RecordRequest records that a request for machines of an offer was sent.
func (p *Plan) RecordRequest(o fleet.PoolKey, count int) {
	if p.requested == nil {
		p.requested = map[fleet.PoolKey]int{}
	}
	p.requested[o] += count
}

// requestedOffers lists the offers with requests in flight, in a fixed order. The order matters:
// which of the requested machines a demand is booked on decides what is left for the next demand.
func (p *Plan) requestedOffers() []fleet.PoolKey {
	return slices.SortedFunc(maps.Keys(p.requested), fleet.PoolKey.Compare)
}

// available reports whether an offer may be requested now: it is neither in back-off nor has a
// request in flight.
func (p *Plan) available(now time.Time, o fleet.PoolKey) bool {
	return !p.backoffs[o].Until.After(now) && p.requested[o] == 0
}

// Choose returns the requests to make for the demand that is left after the free capacity of live
// and booting machines, and machines in requests in flight, have been used up. Reservations are
// ignored, since the jobs that hold them are part of the demand.
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

// planner holds the state of one call of Choose.
type planner struct {
	plan         *Plan
	now          time.Time
	catalog      placement.Catalog
	freeCapacity *placement.FreeCapacity
	copies       map[*placement.Slot]*placement.Slot // of freeCapacity's slots, with what is booked here
	extra        []*placement.Slot                   // slots of machines that are requested or in orders
	orders       map[fleet.PoolKey]int
}

// addMachines adds slots for n machines of an offer that are requested or in orders.
func (g *planner) addMachines(t *placement.Type, o fleet.PoolKey, n int) {
	for range n {
		g.extra = append(g.extra, placement.NewPlannedSlot(t, o))
	}
}

// eachSlot calls fn for each slot that may have room for a task of the job, existing machines
// before requested ones, until fn returns false. Zone, if not empty, restricts the slots.
func (g *planner) eachSlot(j *pipeline.Job, zone string, fn func(*placement.Slot) bool) {
	more := true
	g.freeCapacity.EachWithFreeCapacity(&j.Spec, zone, func(s *placement.Slot) bool {
		if j.Avoids(g.now, s.Machine.Name) {
			return true // the job won't be placed there for now
		}
		c := g.copies[s]
		if c == nil {
			c = s.WithoutReservation()
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

// serve books a demand on existing and requested machines, and orders machines for the rest.
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

// zoneFor picks the zone for a job that must stay in one zone: the zone of its tasks if it has any
// on machines, else the zone where the fewest tasks lack room. A zone that lacks room and has no
// available offer is left out. The result is empty if no zone remains.
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
	best, leastMissing := "", math.MaxInt
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
		if left < leastMissing {
			best, leastMissing = z, left
		}
	}
	return best
}

// book books tasks of a job on slots and returns how many of left found no room. It counts the
// booked tasks in zones. Zone, if not empty, is the zone that they have to be in.
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

// pricedOffer is an offer with its machine type, which has the prices.
type pricedOffer struct {
	fleet.PoolKey
	machine *placement.Type
}

// cheapest returns the available offer with the lowest hourly price per task of the job, nil if
// there is none. The price of a machine is divided by the number of tasks that would run on it,
// which is no more than left. Zone, if not empty, is the zone that the offer has to be in.
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

// mayOrder reports whether one more machine of an offer may be ordered for a job that its type
// fits.
func (g *planner) mayOrder(j *pipeline.Job, o fleet.PoolKey, zones map[string]int, zone string) bool {
	if j.Zone != "" && j.Zone != o.Zone || zone != "" && zone != o.Zone {
		return false
	}
	if o.Spot && !j.Spot || g.orders[o] >= maxPerRequest {
		return false
	}
	return placement.ZoneCapacity(j, o.Zone, zones) >= 1 && g.plan.available(g.now, o)
}

// Outlook says whether a job that finds no room may expect new machines.
type Outlook struct {
	Requested  bool // a request for machines that it may use is in flight
	AllRefused bool // all offers that it may use are in back-off after a refusal
}

// Outlook returns the outlook for a job, from the state of the offers that it may use.
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

// offersOf lists the offers of a machine type: in each of its zones an on-demand and a spot one.
func offersOf(t *placement.Type) []fleet.PoolKey {
	out := make([]fleet.PoolKey, 0, 2*len(t.Zones))
	for _, z := range t.Zones {
		out = append(out, fleet.PoolKey{Type: t.Name, Zone: z}, fleet.PoolKey{Type: t.Name, Zone: z, Spot: true})
	}
	return out
}
