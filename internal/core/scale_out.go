package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
)

// scaleOut requests machines for work that no machine has room for.
func (e *Engine) scaleOut(now time.Time, demand []capacity.Demand) {
	if now.Sub(e.started) < e.cfg.HeartbeatInterval*5/4 {
		return // there may be machines that haven't sent a heartbeat yet
	}
	e.recovery.Pacer().Allow(true) // the pace doesn't limit scale-out, but each round of it counts as a start
	for _, o := range e.plan.Choose(now, demand, &e.capacity.free, e.catalog) {
		e.plan.RecordRequest(o.Offer, o.Count)
		e.out.ScaleOut = append(e.out.ScaleOut, ScaleOut{
			Name: e.numbers.nextRequestName(),
			Type: o.Offer.Type, Zone: o.Offer.Zone, Spot: o.Offer.Spot, Count: o.Count,
		})
	}
}

// ScaleOutAnswered carries the outcome of a request for machines.
type ScaleOutAnswered struct {
	Request        ScaleOut
	Machines       []string // those created
	NoCapacity     bool     // the cloud has no such machines left
	OutcomeUnknown bool     // given up without an answer; the cloud's list will show what was created
}

func (r ScaleOutAnswered) apply(e *Engine, now time.Time) {
	o := fleet.PoolKey{Type: r.Request.Type, Zone: r.Request.Zone, Spot: r.Request.Spot}
	e.plan.RecordAnswer(now, o, capacity.Answer{
		Requested: r.Request.Count, Created: len(r.Machines), OutcomeUnknown: r.OutcomeUnknown,
	})
	e.warm.noteBackoff(o)
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
