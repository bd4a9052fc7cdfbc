package core

import (
	"maps"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/drain"
)

// capacityBooking books room elsewhere for tasks that are to be evicted, besides the tasks that are
// moving already. It examines the machines only once something is booked.
type capacityBooking struct {
	engine       *Engine
	now          time.Time
	copies       map[*placement.Slot]*placement.Slot
	noCapacity   map[string]bool // jobs for which no slot was found
	insufficient bool            // there isn't room even for the tasks that are moving already
}

func (e *Engine) newCapacityBooking(now time.Time) *capacityBooking {
	return &capacityBooking{engine: e, now: now}
}

// book books room for the tasks of a group that have to leave their machines, and returns false if
// there isn't enough. With skipPlanned, machines that are about to be drained don't count as room.
func (b *capacityBooking) book(g *evictionGroup, skipPlanned bool) bool {
	if b.copies == nil {
		b.copies, b.noCapacity = map[*placement.Slot]*placement.Slot{}, map[string]bool{}
		for _, t := range b.engine.drains.moving.sorted() {
			s := b.find(t.job, b.engine.usage.ofJob(t.job.Ref).zones, skipPlanned)
			if s == nil {
				b.insufficient = true
				break
			}
			s.Take(&t.job.Spec)
		}
	}
	if b.insufficient {
		return false
	}
	undo := map[*placement.Slot]placement.Slot{}
	zones := b.engine.zonesWithout(g.job, g.attempts)
	for _, a := range g.attempts {
		if !a.Machine.Cordoned() && !a.Machine.Draining() {
			zones[a.Machine.Zone]++
			continue // it may start again on the same machine
		}
		s := b.find(g.job, zones, skipPlanned)
		if s == nil {
			for slot, was := range undo {
				*slot = was
			}
			return false
		}
		if _, saved := undo[s]; !saved {
			undo[s] = *s
		}
		s.Take(&g.job.Spec)
		zones[s.Zone]++
	}
	return true
}

// zonesWithout counts the tasks of a job that may be on machines, by zone and without the attempts
// that are leaving.
func (e *Engine) zonesWithout(j *pipeline.Job, leaving []*fleet.Attempt) map[string]int {
	zones := maps.Clone(e.usage.ofJob(j.Ref).zones)
	for _, a := range leaving {
		zones[a.Machine.Zone]--
	}
	return zones
}

// find returns the booking's copy of a slot with room for a task of a job, given how many of its
// tasks each zone has; nil if there is none. A search without a result is remembered, and later ones
// for the same job return nil at once.
func (b *capacityBooking) find(j *pipeline.Job, zones map[string]int, skipPlanned bool) *placement.Slot {
	if b.noCapacity[j.Ref] {
		return nil
	}
	found := b.engine.capacity.free.FindOpen(&j.Spec, func(s *placement.Slot) bool {
		if skipPlanned && s.Machine.CordonPlanned() || j.Avoids(b.now, s.Machine.Name) {
			return false
		}
		return placement.ZoneCapacity(j, s.Zone, zones) > 0 && b.copyOf(s).CapacityFor(&j.Spec) > 0
	})
	if found == nil {
		b.noCapacity[j.Ref] = true
		return nil
	}
	return b.copyOf(found)
}

// copyOf returns the booking's own copy of a slot.
func (b *capacityBooking) copyOf(s *placement.Slot) *placement.Slot {
	c := b.copies[s]
	if c == nil {
		c = s.WithoutReservation()
		b.copies[s] = c
	}
	return c
}

// ensureReplacement handles a machine whose tasks have no room elsewhere, and returns what its
// drain waits for. A machine like it is requested if its plan allows one more replacement and the
// cloud hasn't refused such machines recently.
func (e *Engine) ensureReplacement(now time.Time, dm *drain.Machine) drain.Verdict {
	d := e.drains
	m := e.machines.get(dm.Name)
	if r := d.replacements.of(dm.Name); r != nil && !e.replacementLost(now, r) {
		return drain.Verdict{Kind: drain.NotYet, Cause: drain.CauseReplacement}
	}
	d.replacements.forget(dm.Name)
	noRoom := drain.Verdict{Kind: drain.NotYet, Cause: drain.CauseNoCapacity}
	backoff, refused := e.plan.Backoff(m.PoolKey)
	if len(d.replacements) >= d.coordinator.Surge(dm) || refused && now.Before(backoff.Until) {
		return noRoom
	}
	request := e.numbers.nextRequestName()
	d.replacements.request(now, dm.Name, request)
	d.coordinator.Move(dm, drain.Replacing)
	e.plan.RecordRequest(m.PoolKey, 1)
	e.out.ScaleOut = append(e.out.ScaleOut, ScaleOut{
		Name: request, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Count: 1,
	})
	return drain.Verdict{Kind: drain.NotYet, Cause: drain.CauseReplacement}
}

// replacementLost reports whether a replacement is no longer waited for: the cloud hasn't answered
// in time, the machine is gone, or it is up and in use and there still isn't enough room.
func (e *Engine) replacementLost(now time.Time, r *replacement) bool {
	if r.machine == "" {
		return now.Sub(r.requested) > replacementTimeout
	}
	m := e.machines.get(r.machine)
	return m == nil || m.State() != fleet.Booting && m.ActiveAttempts() > 0
}

// replacementTimeout is how long to wait for the cloud's answer to a request for a replacement.
const replacementTimeout = 30 * time.Second

// isReplacement reports whether a machine was requested to replace one that still exists.
func (e *Engine) isReplacement(m *fleet.Machine) bool {
	return e.drains != nil && e.drains.replacements.include(m.Name)
}
