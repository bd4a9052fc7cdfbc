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

// Consolidation: when load falls, tasks that checkpoint are moved off lightly used machines, so
// that these can be released.
const (
	// consolidateInterval is the least time between two consolidations. It leaves time for the last
	// moves to take effect.
	consolidateInterval = 3 * time.Second
	// minRunBeforeMove is how long a task must have run before it may be moved: users count a start
	// only if no command stops it within 30 s.
	minRunBeforeMove = 35 * time.Second
	// moveOverhead is what a move costs besides the checkpoint: exit, start and image check. A task
	// isn't moved to where its image takes longer than this to fetch.
	moveOverhead = 4 * time.Second
	// emptyingDivisor bounds how many machines are emptied at a time: one in emptyingDivisor of the
	// fleet, and at least one.
	emptyingDivisor = 25
)

// emptying holds the machines that are being emptied in order to be released.
type emptying struct {
	machines  map[*fleet.Machine]bool
	checkedAt time.Time // when machines to empty were last searched for
}

func newEmptying() emptying { return emptying{machines: map[*fleet.Machine]bool{}} }

// checkDue reports whether it is time to search for machines to empty, and if so records the
// search.
func (s *emptying) checkDue(now time.Time) bool {
	if now.Sub(s.checkedAt) < consolidateInterval {
		return false
	}
	s.checkedAt = now
	return true
}

// add records that a machine is being emptied.
func (s *emptying) add(m *fleet.Machine) { s.machines[m] = true }

// remove removes a machine that is kept after all.
func (s *emptying) remove(m *fleet.Machine) { delete(s.machines, m) }

// pruneAndCount removes the machines that are empty or no longer live, and returns how many are
// left.
func (s *emptying) pruneAndCount() int {
	maps.DeleteFunc(s.machines, func(m *fleet.Machine, _ bool) bool {
		return m.State() != fleet.Live || m.ActiveAttempts() == 0
	})
	return len(s.machines)
}

// consolidate empties the machines whose release saves the most, a few at a time, if their tasks
// have room elsewhere and the remaining free capacity is enough for the tasks expected to arrive
// while a machine boots.
func (e *Engine) consolidate(now time.Time) {
	if !e.emptying.checkDue(now) {
		return
	}
	remaining := max(1, e.capacity.free.Size()/emptyingDivisor) - e.emptying.pruneAndCount()
	plan := newConsolidation(now, e, &placement.Scorer{
		Now:                  now,
		SecondsPerDollarHour: e.cfg.Weights.SecondsPerDollarHour,
		LargeGPUWork:         e.largeGPUWork(now),
	})
	candidates := plan.candidates()
	for _, c := range candidates[:min(len(candidates), 3*max(remaining, 0))] {
		if remaining <= 0 {
			return
		}
		if e.hasAllReplicas(c.slot.Machine) || !plan.bookElsewhere(c.slot, c.jobs) {
			continue
		}
		remaining--
		m := c.slot.Machine
		e.emptying.add(m)
		e.log(LogConsolidationStarted, logMachine(m), slog.String("type", m.Type), logActive(m),
			slog.Float64("saves_dollars", math.Round(c.gain*100)/100))
		e.stopForConsolidation(now, m)
		e.startDraining(now, m)
	}
}

// hasAllReplicas reports whether a machine has all the running replicas of a service with more than
// one: moving them together would stop the service.
func (e *Engine) hasAllReplicas(m *fleet.Machine) bool {
	for a := range m.Attempts() {
		j := e.jobs.get(a.Ref)
		replicated := j != nil && j.Shape == pipeline.Service && len(j.Tasks) > 1
		if replicated && a.State() != fleet.Exited && !e.runsElsewhere(a.Ref, m) {
			return true
		}
	}
	return false
}

// runsElsewhere reports whether a task of a job runs on a machine other than m and isn't being
// stopped.
func (e *Engine) runsElsewhere(ref string, m *fleet.Machine) bool {
	for _, a := range e.usage.attemptsOf(ref) {
		if a.Machine != m && a.State() == fleet.Running && !a.Stopping() {
			return true
		}
	}
	return false
}

// consolidation is a plan of which machines to empty and where to move their tasks.
type consolidation struct {
	engine  *Engine
	scorer  *placement.Scorer
	now     time.Time
	copies  map[*placement.Slot]*placement.Slot // copies of slots, on which planned moves are booked
	emptied map[*placement.Slot]bool            // slots that are being emptied
	targets map[*fleet.Machine]bool             // machines that tasks are to move to
}

func newConsolidation(now time.Time, e *Engine, scorer *placement.Scorer) *consolidation {
	return &consolidation{
		engine: e, scorer: scorer, now: now,
		copies:  map[*placement.Slot]*placement.Slot{},
		emptied: map[*placement.Slot]bool{},
		targets: map[*fleet.Machine]bool{},
	}
}

// candidate is a machine that might be emptied.
type candidate struct {
	slot *placement.Slot
	jobs []*pipeline.Job // the job of each task on it
	gain float64         // dollars that emptying it saves, less the weighted cost of the moves
}

// candidates returns the machines whose emptying saves something, the largest gain first.
func (v *consolidation) candidates() []candidate {
	var out []candidate
	for _, p := range v.engine.capacity.free.Pools {
		for _, s := range p.Slots {
			if s.Future || s.Machine.ActiveAttempts() == 0 {
				continue
			}
			if c := v.evaluate(s); c.gain > 0 {
				out = append(out, c)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	return out
}

// evaluate returns a machine as a candidate with its expected gain. The gain is 0 if some task on
// it can't be moved, and not above 0 if moving its tasks isn't worth it.
func (v *consolidation) evaluate(s *placement.Slot) candidate {
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

// movable reports whether an attempt may be moved: it has run long enough for its start to count,
// its job checkpoints and isn't a gang, and no disruption budget forbids it.
func (v *consolidation) movable(a *fleet.Attempt, j *pipeline.Job) bool {
	if a.State() != fleet.Running || a.Stopping() || v.now.Sub(a.RunStart) < minRunBeforeMove {
		return false
	}
	return j.CheckpointInterval > 0 && !isGang(j) && v.engine.budgetsAllowMove(v.now, a, j)
}

// copyOf returns the plan's own copy of a slot, on which planned moves are booked.
func (v *consolidation) copyOf(s *placement.Slot) *placement.Slot {
	c := v.copies[s]
	if c == nil {
		c = s.WithoutReservation()
		v.copies[s] = c
	}
	return c
}

// bookElsewhere books the jobs' tasks on other machines and reports whether it could: there must be
// room for all of them, and enough must stay free. Otherwise nothing is booked.
func (v *consolidation) bookElsewhere(from *placement.Slot, jobs []*pipeline.Job) bool {
	if v.targets[from.Machine] {
		return false // other tasks are to move there
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
	if !v.hasHeadroom(from.Type.Boot) {
		v.emptied[from] = false
		v.restore(undo)
		return false
	}
	for to := range undo {
		v.targets[to.Machine] = true
	}
	return true
}

// restore puts booked copies of slots back to what they were.
func (*consolidation) restore(undo map[*placement.Slot]placement.Slot) {
	for s, was := range undo {
		*s = was
	}
}

// bestTarget returns the best place for a task on another machine; nil if there is none. An idle
// machine is considered only if it costs at most half as much as the present one.
func (v *consolidation) bestTarget(j *pipeline.Job, from *placement.Slot) *placement.Slot {
	var best *placement.Slot
	lowest := math.Inf(1)
	zones := maps.Clone(v.engine.usage.ofJob(j.Ref).zones)
	zones[from.Zone]--
	v.engine.capacity.free.EachOpen(&j.Spec, "", func(o *placement.Slot) {
		if o == from || v.emptied[o] || placement.ZoneCapacity(j, o.Zone, zones) < 1 || j.Avoids(v.now, o.Machine.Name) ||
			(o.Machine.ActiveAttempts() == 0 && o.Type.Price(o.Spot) > from.Type.Price(from.Spot)/2) ||
			o.Machine.FetchLeft(v.now, j.Image, j.ImageGB, o.Type.FetchGBPerS) > moveOverhead {
			return
		}
		if c := v.copyOf(o); c.CapacityFor(&j.Spec) > 0 {
			if sc := v.scorer.Score(c, j, time.Time{}); sc < lowest {
				best, lowest = c, sc
			}
		}
	})
	return best
}

// hasHeadroom reports whether enough stays free for the tasks of each class that are expected to
// arrive while a machine boots.
func (v *consolidation) hasHeadroom(boot time.Duration) bool {
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
