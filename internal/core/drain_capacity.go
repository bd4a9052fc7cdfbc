package core

import (
	"maps"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/drain"
)

// capacityBooking finds out whether what is to be evicted has room elsewhere, beside all that is
// moving already. It looks at the machines only once something asks.
type capacityBooking struct {
	engine  *Engine
	now     time.Time
	copies  map[*placement.Slot]*placement.Slot
	without map[string]bool // jobs for which there is no room
	short   bool            // what is moving already has no room
}

func (e *Engine) newCapacityBooking(now time.Time) *capacityBooking {
	return &capacityBooking{engine: e, now: now}
}

// book books room for the tasks of a group that have to leave their machines; false if there
// isn't any. Ahead: machines that are about to be drained don't count.
func (b *capacityBooking) book(g *evictionGroup, ahead bool) bool {
	if b.copies == nil {
		b.copies, b.without = map[*placement.Slot]*placement.Slot{}, map[string]bool{}
		for _, t := range b.engine.drains.moving.sorted() {
			s := b.find(t.job, b.engine.usage.ofJob(t.job.Ref).zones, ahead)
			if s == nil {
				b.short = true
				break
			}
			s.Take(&t.job.Spec)
		}
	}
	if b.short {
		return false
	}
	undo := map[*placement.Slot]placement.Slot{}
	zones := b.engine.zonesWithout(g.job, g.attempts)
	for _, a := range g.attempts {
		if !a.Machine.Cordoned() && !a.Machine.Draining() {
			zones[a.Machine.Zone]++
			continue // it may go back to where it is
		}
		s := b.find(g.job, zones, ahead)
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

// zonesWithout counts the tasks of a job that may be on machines by zone, but for some.
func (e *Engine) zonesWithout(j *pipeline.Job, leaving []*fleet.Attempt) map[string]int {
	zones := maps.Clone(e.usage.ofJob(j.Ref).zones)
	for _, a := range leaving {
		zones[a.Machine.Zone]--
	}
	return zones
}

// find is a place with room for a task of a job, of which so many are in which zone; nil if
// there is none. A job that found none finds none again.
func (b *capacityBooking) find(j *pipeline.Job, zones map[string]int, ahead bool) *placement.Slot {
	if b.without[j.Ref] {
		return nil
	}
	found := b.engine.capacity.free.FindOpen(&j.Spec, func(s *placement.Slot) bool {
		if ahead && s.Machine.CordonPlanned() || j.Avoids(b.now, s.Machine.Name) {
			return false
		}
		return placement.ZoneCapacity(j, s.Zone, zones) > 0 && b.copyOf(s).CapacityFor(&j.Spec) > 0
	})
	if found == nil {
		b.without[j.Ref] = true
		return nil
	}
	return b.copyOf(found)
}

func (b *capacityBooking) copyOf(s *placement.Slot) *placement.Slot {
	c := b.copies[s]
	if c == nil {
		c = s.Plain()
		b.copies[s] = c
	}
	return c
}

// awaitReplacement deals with a machine whose work has no room elsewhere: a machine like it is
// requested, if its plan says so.
func (e *Engine) awaitReplacement(now time.Time, dm *drain.Machine) drain.Verdict {
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
	e.plan.Requested(m.PoolKey, 1)
	e.out.ScaleOut = append(e.out.ScaleOut, ScaleOut{
		Name: request, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Count: 1,
	})
	return drain.Verdict{Kind: drain.NotYet, Cause: drain.CauseReplacement}
}

// replacementLost reports whether a replacement won't come up any more, or has and isn't enough.
func (e *Engine) replacementLost(now time.Time, r *replacement) bool {
	if r.machine == "" {
		return now.Sub(r.requested) > replacementAnswer
	}
	m := e.machines.get(r.machine)
	return m == nil || m.State() != fleet.Booting && m.ActiveAttempts() > 0
}

// replacementAnswer is how long the cloud's answer about a replacement is waited for.
const replacementAnswer = 30 * time.Second

// isReplacement reports whether a machine was requested in place of one that is still there.
func (e *Engine) isReplacement(m *fleet.Machine) bool {
	return e.drains != nil && e.drains.replacements.include(m.Name)
}
