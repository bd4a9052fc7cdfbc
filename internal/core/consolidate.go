package core

import (
	"math"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// When work thins out, tasks that save are moved off machines that they hardly
// use, so that those can be given back.
const (
	// consolidateEvery leaves time for the last move to show.
	consolidateEvery = 3 * time.Second
	// settledRun is how long a task must have run: users count a start only if
	// no command stops it within 30 s.
	settledRun = 35 * time.Second
	// moveOverhead is what a move costs besides saving: exit, start, image check.
	moveOverhead = 4 * time.Second
	// moveGain is how many times its cost a move must save.
	moveGain = 3.0
	// rateWindow smooths the observed arrivals.
	rateWindow = time.Minute
)

// arrived notes a job's tasks for its class's rate of arrivals.
func (c *classStats) arrived(now time.Time, tasks int) {
	c.rate = c.rateAt(now) + float64(tasks)/rateWindow.Seconds()
	c.lastAt = now
}

// rateAt is the class's recent rate of arrivals, in tasks a second.
func (c *classStats) rateAt(now time.Time) float64 {
	if c.lastAt.IsZero() {
		return 0
	}
	return c.rate * math.Exp(-now.Sub(c.lastAt).Seconds()/rateWindow.Seconds())
}

// consolidate empties the machine whose emptying saves the most, if its tasks
// have room elsewhere and what stays free is enough for the arrivals of a boot
// time.
func (e *Engine) consolidate(now time.Time, slots []*placement.Slot) {
	if now.Sub(e.movedAt) < consolidateEvery {
		return
	}
	for _, m := range e.machines {
		if m.Draining && m.State() == fleet.Live && m.Busy() > 0 {
			return // one at a time
		}
	}
	var best *placement.Slot
	most := 0.0
	for _, s := range slots {
		if gain := e.gainOfMoving(now, s, slots); gain > most {
			best, most = s, gain
		}
	}
	if best == nil {
		return
	}
	m := best.Machine
	e.movedAt, m.Draining = now, true
	e.note("machine emptied", "machine", m.Name, "type", m.Type, "tasks", m.Busy(), "saves", math.Round(most*100)/100)
	for _, a := range sortedAttempts(m) {
		if j := e.jobs[a.Ref]; j != nil && a.State() != fleet.Exited {
			e.stopOrderly(now, m, a, j)
		}
	}
}

// gainOfMoving is what emptying a machine is expected to save in money, or 0 if
// it can't be, or had better not be.
func (e *Engine) gainOfMoving(now time.Time, s *placement.Slot, slots []*placement.Slot) float64 {
	m := s.Machine
	price := s.Type.Price(s.Spot) / 3600
	var longest time.Duration
	var moved []*pipeline.Job
	cost := 0.0
	for _, a := range m.Tasks {
		if a.State() == fleet.Exited {
			continue
		}
		j := e.jobs[a.Ref]
		if j == nil || a.State() != fleet.Running || a.Stopping || j.Checkpoint == 0 || now.Sub(a.RunStart) < settledRun ||
			(j.Shape == pipeline.Gang && len(j.Tasks) > 1) {
			return 0
		}
		left := e.expectedRun(j) - now.Sub(a.RunStart)
		longest = max(longest, left)
		cost += placement.Share(s.Type, &j.Spec) * price * (j.Save + moveOverhead).Seconds()
		moved = append(moved, j)
	}
	gain := price*longest.Seconds() - moveGain*cost
	if len(moved) == 0 || gain <= 0 {
		return 0
	}
	var others []*placement.Slot
	for _, o := range slots {
		if o != s {
			c := *o
			others = append(others, &c)
		}
	}
	for _, j := range moved {
		if !takeBest(now, j, s, others) {
			return 0
		}
	}
	if !e.headroom(now, s.Type.Boot, others) {
		return 0
	}
	return gain
}

// takeBest books a task on another machine that is in use, or much cheaper.
func takeBest(now time.Time, j *pipeline.Job, from *placement.Slot, others []*placement.Slot) bool {
	var best *placement.Slot
	low := math.Inf(1)
	for _, o := range others {
		if !o.Allowed(&j.Spec) || o.Free(&j.Spec) < 1 || j.BadOn[o.Machine.Name] ||
			(o.Machine.Busy() == 0 && o.Type.Price(o.Spot) > from.Type.Price(from.Spot)/2) ||
			o.Machine.FetchLeft(now, j.Image, j.ImageGB, o.Type.FetchGBPerS) > moveOverhead {
			continue
		}
		if sc := placement.Score(now, o, j); sc < low {
			best, low = o, sc
		}
	}
	if best == nil {
		return false
	}
	best.Take(&j.Spec)
	return true
}

// headroom tells whether the slots have room for what is expected to arrive, of
// each class, while a machine boots.
func (e *Engine) headroom(now time.Time, boot time.Duration, slots []*placement.Slot) bool {
	for _, c := range e.classes {
		need := c.rateAt(now) * boot.Seconds()
		if c.spec == nil || need < 0.1 {
			continue
		}
		for _, s := range slots {
			if s.Allowed(c.spec) {
				need -= float64(s.Free(c.spec))
			}
		}
		if need > 0 {
			return false
		}
	}
	return true
}
