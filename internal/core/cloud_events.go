package core

import (
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
)

// ListedMachine is one machine of the cloud's list.
type ListedMachine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Status                 ListStatus
	Held                   time.Duration
}

// ListStatus is a machine's state in the cloud's list.
type ListStatus uint8

// States in the cloud's list.
const (
	ListStarting ListStatus = iota
	ListRunning
	ListFailed
)

// Listed brings the cloud's list. It lags and may be older than the last one:
// what it says is a hint, and proves nothing gone.
type Listed struct{ Machines []ListedMachine }

func (l Listed) apply(e *Engine, now time.Time) {
	e.lastList = now
	for _, lm := range l.Machines {
		if _, gone := e.gone[lm.Name]; gone {
			continue
		}
		m := e.machines[lm.Name]
		if m == nil {
			m = fleet.NewMachine(now, lm.Name, fleet.Kind{Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot}, fleet.Booting)
			m.Confirmed = true // the start log doesn't name it
			m.FirstSeen = now.Add(-lm.Held)
			e.addMachine(now, m)
		}
		m.ListedAt = now
		m.ListedRunning = lm.Status == ListRunning
		if !m.Known {
			m.Known = true
			e.touch(m)
		}
		if m.Addr == "" {
			m.Addr = lm.Addr
		}
		if lm.Status == ListFailed {
			e.release(now, m, "failed")
		}
	}
}

// Rented brings the answer to a request for machines.
type Rented struct {
	Rent     Rent
	Machines []string // those rented
	Refused  bool     // no capacity
	Unknown  bool     // given up without an answer; the list will tell
}

func (r Rented) apply(e *Engine, now time.Time) {
	o := capacity.Offer{Type: r.Rent.Type, Zone: r.Rent.Zone, Spot: r.Rent.Spot}
	e.plan.Answered(now, o, capacity.Answer{Asked: r.Rent.Count, Rented: len(r.Machines), Unknown: r.Unknown})
	e.warm.noteOffer(o)
	for _, name := range r.Machines {
		if _, gone := e.gone[name]; gone || e.machines[name] != nil {
			continue
		}
		m := fleet.NewMachine(now, name, fleet.Kind(o), fleet.Booting)
		m.Confirmed, m.Known = true, true
		e.addMachine(now, m)
	}
	e.drains.replacementRented(r)
	e.replan = true
	e.note("rental", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", r.Rent.Count, "got", len(r.Machines), "refused", r.Refused)
}

// Released says that the cloud answered a release with 200: the machines and
// all on them are gone. OK false: unknown, to be tried again.
type Released struct {
	Machines []string
	OK       bool
}

func (r Released) apply(e *Engine, now time.Time) {
	for _, name := range r.Machines {
		m := e.machines[name]
		if m == nil {
			continue
		}
		if !r.OK {
			m.ReleaseTries++
			m.HoldUntil = now.Add(time.Second)
			continue
		}
		e.removeMachine(now, m)
	}
}
