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

// Choose plans what to rent for work that nothing has room for, after what
// booting machines will take. `future` are those machines' slots.
func (p *Plan) Choose(now time.Time, demand []Demand, future []*placement.Slot, c placement.Catalog) []Order {
	var orders []Order
	for o, n := range p.asking {
		for range n {
			if t := c[o.Type]; t != nil {
				future = append(future, emptySlot(t, o))
			}
		}
	}
	used := map[Offer]bool{}
	for _, d := range demand {
		left := fill(d, future)
		for left > 0 {
			o, t, ok := p.cheapest(now, d.Job, left, c, used)
			if !ok {
				break
			}
			per := t.Capacity(&d.Job.Spec)
			n := min((left+per-1)/per, maxPerRequest)
			orders = append(orders, Order{o, n})
			used[o] = true
			var fresh []*placement.Slot
			for range n {
				fresh = append(fresh, emptySlot(t, o))
			}
			future = append(future, fresh...)
			left = fill(Demand{d.Job, left}, fresh)
		}
	}
	return orders
}

func emptySlot(t *placement.Type, o Offer) *placement.Slot {
	return &placement.Slot{Type: t, Zone: o.Zone, Spot: o.Spot, CPUs: t.CPUs, GPUs: t.GPUs, MemG: t.MemGB,
		Room: math.MaxInt32, Future: true}
}

// fill books a demand on coming machines and returns what is left of it.
func fill(d Demand, slots []*placement.Slot) int {
	left := d.Tasks
	for _, s := range slots {
		for left > 0 && s.Allowed(&d.Job.Spec) && s.Free(&d.Job.Spec) > 0 {
			s.Take(&d.Job.Spec)
			left--
		}
	}
	return left
}

// cheapest is the open offer with the least cost for each task of the job.
func (p *Plan) cheapest(now time.Time, j *pipeline.Job, left int, c placement.Catalog, used map[Offer]bool) (Offer, *placement.Type, bool) {
	type option struct {
		o    Offer
		t    *placement.Type
		cost float64
	}
	var opts []option
	for _, t := range c {
		per := t.Capacity(&j.Spec)
		if per == 0 || !j.AllowsType(t.Name) {
			continue
		}
		for _, z := range t.Zones {
			if j.Zone != "" && j.Zone != z {
				continue
			}
			for _, spot := range [2]bool{false, true} {
				o := Offer{t.Name, z, spot}
				if (spot && !j.Spot) || used[o] || !p.open(now, o) {
					continue
				}
				opts = append(opts, option{o, t, t.Price(spot) / float64(min(per, left))})
			}
		}
	}
	if len(opts) == 0 {
		return Offer{}, nil, false
	}
	sort.Slice(opts, func(i, k int) bool {
		a, b := opts[i], opts[k]
		if a.cost != b.cost {
			return a.cost < b.cost
		}
		if a.o.Zone != b.o.Zone {
			return a.o.Zone < b.o.Zone
		}
		return a.o.Type < b.o.Type
	})
	return opts[0].o, opts[0].t, true
}
