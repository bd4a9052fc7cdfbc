package core

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// When work thins out, tasks that save are moved off machines that they hardly
// use, so that those can be released.
const (
	// consolidateEvery leaves time for the last move to show.
	consolidateEvery = 3 * time.Second
	// settledRun is how long a task must have run: users count a start only if
	// no command stops it within 30 s.
	settledRun = 35 * time.Second
	// moveOverhead is what a move costs besides saving: exit, start, image check.
	moveOverhead = 4 * time.Second
	// emptiedPart is the part of the fleet that may be emptied at once.
	emptiedPart = 25
)

// emptying is which machines are being emptied to be released.
type emptying struct {
	machines map[*fleet.Machine]bool
	lookedAt time.Time // when machines to be emptied were last looked for
}

func newEmptying() emptying { return emptying{machines: map[*fleet.Machine]bool{}} }

// lookDue reports whether it is time to look for machines to be emptied, and notes the look.
func (s *emptying) lookDue(now time.Time) bool {
	if now.Sub(s.lookedAt) < consolidateEvery {
		return false
	}
	s.lookedAt = now
	return true
}

// add notes that a machine is being emptied.
func (s *emptying) add(m *fleet.Machine) { s.machines[m] = true }

// remove notes that a machine is kept after all.
func (s *emptying) remove(m *fleet.Machine) { delete(s.machines, m) }

// stillRunning counts the machines on which something is left, and forgets the others.
func (s *emptying) stillRunning() int {
	maps.DeleteFunc(s.machines, func(m *fleet.Machine, _ bool) bool {
		return m.State() != fleet.Live || m.ActiveAttempts() == 0
	})
	return len(s.machines)
}

// consolidate empties the machines whose emptying saves the most, a few at a
// time, if their tasks have room elsewhere and what stays free is enough for the
// arrivals of a boot time.
func (e *Engine) consolidate(now time.Time) {
	if !e.emptying.lookDue(now) {
		return
	}
	atOnce := max(1, e.capacity.free.Size()/emptiedPart) - e.emptying.stillRunning()
	plan := newConsolidation(now, e, &placement.Scorer{
		Now:                  now,
		SecondsPerDollarHour: e.cfg.Weights.SecondsPerDollarHour,
		LargeGPUWork:         e.largeGPUWork(now),
	})
	candidates := plan.candidates()
	for _, c := range candidates[:min(len(candidates), 3*max(atOnce, 0))] {
		if atOnce <= 0 {
			return
		}
		if e.hasAllReplicas(c.slot.Machine) || !plan.bookElsewhere(c.slot, c.jobs) {
			continue
		}
		atOnce--
		m := c.slot.Machine
		e.emptying.add(m)
		e.log(LogConsolidationStarted, logMachine(m), slog.String("type", m.Type), logActive(m),
			slog.Float64("saves_dollars", math.Round(c.gain*100)/100))
		e.moveByChoice(now, m)
		e.startDraining(now, m)
	}
}

// hasAllReplicas reports whether a machine has all the running replicas of a service of
// several: moving them together would stop the service.
func (e *Engine) hasAllReplicas(m *fleet.Machine) bool {
	for a := range m.Attempts() {
		j := e.jobs.get(a.Ref)
		several := j != nil && j.Shape == pipeline.Service && len(j.Tasks) > 1
		if several && a.State() != fleet.Exited && !e.runsElsewhere(a.Ref, m) {
			return true
		}
	}
	return false
}

// runsElsewhere reports whether a task of a job runs on another machine and isn't to stop.
func (e *Engine) runsElsewhere(ref string, m *fleet.Machine) bool {
	for _, a := range e.usage.attemptsOf(ref) {
		if a.Machine != m && a.State() == fleet.Running && !a.Stopping() {
			return true
		}
	}
	return false
}

// consolidation is one plan of which machines to empty, and where their tasks go.
type consolidation struct {
	engine  *Engine
	scorer  *placement.Scorer
	now     time.Time
	copies  map[*placement.Slot]*placement.Slot // with what is to move there
	emptied map[*placement.Slot]bool            // slots that are being emptied
	targets map[*fleet.Machine]bool             // machines that something is to move to
}

func newConsolidation(now time.Time, e *Engine, scorer *placement.Scorer) *consolidation {
	return &consolidation{
		engine: e, scorer: scorer, now: now,
		copies:  map[*placement.Slot]*placement.Slot{},
		emptied: map[*placement.Slot]bool{},
		targets: map[*fleet.Machine]bool{},
	}
}

// candidate is a machine that might be emptied, with the jobs of its tasks and
// what that would save in money.
type candidate struct {
	slot *placement.Slot
	jobs []*pipeline.Job
	gain float64
}

// candidates are the machines whose emptying saves something, the most first.
func (v *consolidation) candidates() []candidate {
	var out []candidate
	for _, p := range v.engine.capacity.free.Pools {
		for _, s := range p.Slots {
			if s.Future || s.Machine.ActiveAttempts() == 0 {
				continue
			}
			if c := v.gain(s); c.gain > 0 {
				out = append(out, c)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	return out
}

// gain is what emptying a machine is expected to save, or 0 if it can't be
// emptied, or had better not be.
func (v *consolidation) gain(s *placement.Slot) candidate {
	price := s.Type.Price(s.Spot) / 3600
	var longest time.Duration
	var moved []*pipeline.Job
	cost := 0.0
	for _, a := range s.Machine.SortedAttempts() {
		if a.State() == fleet.Exited {
			continue
		}
		j := v.engine.jobs.get(a.Ref)
		if j == nil || !v.movable(a, j) {
			return candidate{}
		}
		longest = max(longest, v.engine.expectedRun(j)-v.now.Sub(a.RunStart))
		cost += placement.Share(s.Type, &j.Spec) * price * (j.CheckpointTime + moveOverhead).Seconds()
		moved = append(moved, j)
	}
	return candidate{s, moved, price*longest.Seconds() - v.engine.cfg.Weights.MoveGain*cost}
}

// movable reports whether an attempt may be moved: it saves, has run long enough for its start to
// count, and no budget is in the way.
func (v *consolidation) movable(a *fleet.Attempt, j *pipeline.Job) bool {
	if a.State() != fleet.Running || a.Stopping() || v.now.Sub(a.RunStart) < settledRun {
		return false
	}
	return j.CheckpointInterval > 0 && !isGang(j) && v.engine.mayMoveByChoice(v.now, a, j)
}

// copyOf is the plan's own copy of a slot, with what is to move there.
func (v *consolidation) copyOf(s *placement.Slot) *placement.Slot {
	c := v.copies[s]
	if c == nil {
		c = s.Plain()
		v.copies[s] = c
	}
	return c
}

// bookElsewhere books the jobs' tasks on other machines, if all have room and enough
// stays free.
func (v *consolidation) bookElsewhere(from *placement.Slot, jobs []*pipeline.Job) bool {
	if v.targets[from.Machine] {
		return false // others are to move there
	}
	undo := map[*placement.Slot]placement.Slot{}
	for _, j := range jobs {
		to := v.bestTarget(j, from)
		if to == nil {
			v.restore(undo)
			return false
		}
		if _, saved := undo[to]; !saved {
			undo[to] = *to
		}
		to.Take(&j.Spec)
	}
	v.emptied[from] = true
	if !v.headroom(from.Type.Boot) {
		v.emptied[from] = false
		v.restore(undo)
		return false
	}
	for to := range undo {
		v.targets[to.Machine] = true
	}
	return true
}

func (*consolidation) restore(undo map[*placement.Slot]placement.Slot) {
	for s, was := range undo {
		*s = was
	}
}

// bestTarget is the best place for a task on another machine that is in use, or much
// cheaper.
func (v *consolidation) bestTarget(j *pipeline.Job, from *placement.Slot) *placement.Slot {
	var best *placement.Slot
	low := math.Inf(1)
	zones := maps.Clone(v.engine.usage.ofJob(j.Ref).zones)
	zones[from.Zone]--
	v.engine.capacity.free.EachOpen(&j.Spec, "", func(o *placement.Slot) {
		if o == from || v.emptied[o] || placement.ZoneCapacity(j, o.Zone, zones) < 1 || j.Avoids(v.now, o.Machine.Name) ||
			(o.Machine.ActiveAttempts() == 0 && o.Type.Price(o.Spot) > from.Type.Price(from.Spot)/2) ||
			o.Machine.FetchLeft(v.now, j.Image, j.ImageGB, o.Type.FetchGBPerS) > moveOverhead {
			return
		}
		if c := v.copyOf(o); c.CapacityFor(&j.Spec) > 0 {
			if sc := v.scorer.Score(c, j, time.Time{}); sc < low {
				best, low = c, sc
			}
		}
	})
	return best
}

// headroom reports whether there is room for what is expected to arrive, of each
// class, while a machine boots.
func (v *consolidation) headroom(boot time.Duration) bool {
	for _, c := range v.engine.classes {
		need := c.rateAt(v.now) * boot.Seconds()
		if c.spec == nil || need < 0.1 {
			continue
		}
		v.engine.capacity.free.EachOpen(c.spec, "", func(s *placement.Slot) {
			if !v.emptied[s] {
				if o := v.copies[s]; o != nil {
					s = o
				}
				need -= float64(s.CapacityFor(c.spec))
			}
		})
		if need > 0 {
			return false
		}
	}
	return true
}
