package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
)

// Instance is one machine of the cloud's list.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Status                 InstanceStatus
	Age                    time.Duration
}

// InstanceStatus is a machine's state in the cloud's list.
type InstanceStatus uint8

// States in the cloud's list.
const (
	InstanceStarting InstanceStatus = iota
	InstanceRunning
	InstanceFailed
)

// InstancesListed brings the cloud's list. It lags and may be older than the last one:
// what it says is a hint, and proves nothing gone.
type InstancesListed struct{ Instances []Instance }

func (l InstancesListed) apply(e *Engine, now time.Time) {
	e.machines.listed(now)
	for _, lm := range l.Instances {
		if e.machines.wasRemoved(lm.Name) {
			continue
		}
		m := e.machines.get(lm.Name)
		if m == nil {
			m = fleet.NewMachine(now, lm.Name, fleet.PoolKey{Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot})
			m.SetAge(now, lm.Age)
			e.addMachine(now, m)
		}
		if m.Listed(now, lm.Addr, lm.Status == InstanceRunning) {
			e.capacityChanged(m)
		}
		if lm.Status == InstanceFailed {
			e.scaleIn(now, m, ScaleInInstanceFailed)
		}
	}
}

// ScaleOutAnswered brings the answer to a request for machines.
type ScaleOutAnswered struct {
	Request        ScaleOut
	Machines       []string // those created
	NoCapacity     bool     // no capacity
	OutcomeUnknown bool     // given up without an answer; the list will tell
}

func (r ScaleOutAnswered) apply(e *Engine, now time.Time) {
	o := fleet.PoolKey{Type: r.Request.Type, Zone: r.Request.Zone, Spot: r.Request.Spot}
	e.plan.Answered(now, o, capacity.Answer{
		Requested: r.Request.Count, Created: len(r.Machines), OutcomeUnknown: r.OutcomeUnknown,
	})
	e.warm.noteOffer(o)
	for _, name := range r.Machines {
		if e.machines.wasRemoved(name) || e.machines.get(name) != nil {
			continue
		}
		m := fleet.NewMachine(now, name, o)
		m.VerifyExistence()
		e.addMachine(now, m)
	}
	if e.drains != nil {
		e.drains.replacements.answered(r)
	}
	e.rounds.request()
	e.log(LogScaleOutAnswered, append(logPool(o), slog.Int("requested", r.Request.Count),
		slog.Int("created", len(r.Machines)), slog.Bool("no_capacity", r.NoCapacity))...)
}

// ScaleInAnswered says that the cloud answered a release with 200: the machines and
// all on them are gone. OK false: unknown, to be tried again.
type ScaleInAnswered struct {
	Machines []string
	OK       bool
}

func (r ScaleInAnswered) apply(e *Engine, now time.Time) {
	for _, name := range r.Machines {
		m := e.machines.get(name)
		if m == nil {
			continue
		}
		if !r.OK {
			m.ScaleInFailed(now.Add(time.Second))
			continue
		}
		e.removeMachine(now, m)
	}
}
