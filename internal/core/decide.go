package core

import (
	"fmt"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// decideEvery bounds how often a round of decisions is begun without need.
const decideEvery = time.Second

// planEvery is how often rentals and returns are thought about, and room is kept
// or made for what waits: a look at all machines, so less often the more there are.
func (e *Engine) planEvery() time.Duration {
	return min(time.Duration(e.freeCapacity.Size())*planEach, time.Second)
}

const planEach = 4 * time.Millisecond

// settled tells whether a new leader has heard enough to place: nearly all
// machines that the start log names, or one report period has passed. What it
// places on is proven free in any case; with few machines heard it would choose
// badly. After a warm start, machines that are expected count as heard, and half of them are
// enough.
func (e *Engine) settled(now time.Time) bool {
	if now.Sub(e.started) > e.cfg.ReportEvery*5/4+time.Second {
		return true
	}
	if e.warmOutcome.Expected > 0 && 2*e.unheard <= len(e.machines) {
		return true // the rest differs from what the leader before knew, and is waited for
	}
	return len(e.machines) > 0 && !e.lastList.IsZero() && e.unheard <= len(e.machines)/unheardPart
}

// unheardPart is the part of the machines that may be unheard of when placing begins.
const unheardPart = 5

// waitsInRound is for how many jobs a round keeps or makes room.
const waitsInRound = 30

// decide runs a round of decisions, then plans what to rent and scales down.
func (e *Engine) decide(now time.Time, spent func() bool) {
	if len(e.catalog) == 0 || !e.settled(now) || (!e.replan && now.Sub(e.placedAt) < decideEvery) {
		return
	}
	if e.attemptsUsedUp() {
		e.out.Resign = "the term's attempt numbers are used up"
		return
	}
	e.replan, e.placedAt = false, now
	e.updateFreeCapacity(now)
	plan := now.Sub(e.plannedAt) >= e.planEvery()
	if !e.round.Resumes() {
		e.demand = nil
	}
	looked := 0
	lowest, teams := e.runningWork()
	b := &placement.Board{
		Now: now, Queue: e.priorityOrder(now), FreeCapacity: &e.freeCapacity, SecondsPerDollarHour: e.cfg.Weights.SecondsPerDollarHour, ReportEvery: e.cfg.ReportEvery, GangSlack: max(0, e.cfg.GangWait-e.cfg.ReportEvery*5/4),
		Team:    func(name string) placement.Team { return e.cfg.Teams[name] },
		Usage:   func(team string) fleet.Amount { return e.teamUse[team] },
		InZones: func(ref string) map[string]int { return e.useOf(ref).zones },
		Busy:    func(ref string) int { return len(e.useOf(ref).attempts) },
		Commit:  func(d placement.Decision) { looked++; e.place(now, d) },
		Unmet: func(j *pipeline.Job, n int) {
			e.demand = append(e.demand, capacity.Demand{Job: j, Tasks: n, Zones: e.useOf(j.Ref).zones})
		},
		EndOf:        func(a *fleet.Attempt) time.Time { return e.endOf(now, a) },
		Due:          func(j *pipeline.Job) time.Time { return e.needsRoomBy(now, j) },
		StartBy:      func(j *pipeline.Job) time.Time { return e.startBy(now, j) },
		MayStop:      func(by *pipeline.Job, a *fleet.Attempt) (float64, bool) { return e.preemptionCost(now, by, a) },
		Stop:         func(a *fleet.Attempt) { e.preempt(now, a) },
		Preempts:     func(by *pipeline.Job) bool { return by.Urgency < lowest || teams > 1 },
		LargeGPUWork: e.largeGPUWork(now),
		Spent: func() bool {
			looked++
			return looked > e.cfg.RoundBudget || (spent != nil && spent())
		},
	}
	if plan {
		b.Waits = waitsInRound
	}
	if !e.round.Run(b) {
		e.replan = true
		return
	}
	if !plan {
		return
	}
	e.plannedAt = now
	e.rent(now, e.demand)
	e.scaleDown(now, e.demand)
	if len(e.demand) == 0 {
		e.consolidate(now)
	}
}

// largeGPUWork finds the largest task of the recent classes that need GPUs, by type.
func (e *Engine) largeGPUWork(now time.Time) func(t *placement.Type) *pipeline.Spec {
	byType := map[*placement.Type]*pipeline.Spec{}
	for _, t := range e.catalog {
		if t.GPUs == 0 {
			continue
		}
		for _, c := range e.classes {
			if c.spec == nil || c.spec.GPUs == 0 || now.Sub(c.lastAt) > recentClass || !c.spec.AllowsType(t.Name) || !t.Fits(c.spec) {
				continue
			}
			if large := byType[t]; large == nil || larger(t, c.spec, large) {
				byType[t] = c.spec
			}
		}
	}
	return func(t *placement.Type) *pipeline.Spec { return byType[t] }
}

// larger orders tasks by the part of a machine that they take, and then by job.
func larger(t *placement.Type, a, b *pipeline.Spec) bool {
	if x, y := placement.Share(t, a), placement.Share(t, b); x != y {
		return x > y
	}
	return a.Ref < b.Ref
}

// runningWork is the lowest priority of which anything may be on a machine, and
// how many teams have work there.
func (e *Engine) runningWork() (lowest pipeline.Priority, teams int) {
	seen := map[string]bool{}
	for _, j := range e.order {
		if len(e.useOf(j.Ref).attempts) > 0 {
			lowest, seen[j.Team] = max(lowest, j.Urgency), true
		}
	}
	return lowest, len(seen)
}

// updateFreeCapacity brings the free capacity up to date with the machines that have changed.
func (e *Engine) updateFreeCapacity(now time.Time) {
	for m := range e.changed {
		delete(e.changed, m)
		t := e.catalog[m.Type]
		switch {
		case t == nil || m.Draining || m.Sick || e.unreachable[m]:
			e.freeCapacity.Remove(m)
		case m.State() == fleet.Booting && m.Known && now.Sub(m.FirstSeen) <= e.slowBoot(t):
			e.freeCapacity.Set(m, t, true)
		case m.State() == fleet.Live && m.Confirmed && m.Known && !hasForeign(m), m.Expected:
			e.freeCapacity.Set(m, t, false)
		default:
			e.freeCapacity.Remove(m)
		}
	}
}

// slowBoot is after how long a machine that boots no longer counts as coming.
func (e *Engine) slowBoot(t *placement.Type) time.Duration { return 2*t.Boot + e.cfg.ReportEvery }

// preemptionCost holds the protocol's rules of preemption: for a job of higher
// priority, or to give a team its guarantee at the expense of one that is beyond
// its own. The cost is the delay of saving and the work that is lost, in seconds of a
// whole machine: many small tasks of an array are less than one gang.
func (e *Engine) preemptionCost(now time.Time, by *pipeline.Job, a *fleet.Attempt) (float64, bool) {
	j := e.jobs[a.Ref]
	if j == nil || a.Foreign || a.Stopping || a.State() == fleet.Saving {
		return 0, false
	}
	if by.Urgency >= j.Urgency && !e.mayReclaimGuarantee(by, j) || e.starvesBefore(now, j, by) {
		return 0, false
	}
	cost := 10 + j.Save.Seconds()
	if a.State() == fleet.Running {
		ran := now.Sub(a.RunStart)
		if j.Checkpoint == 0 {
			cost += ran.Seconds()
		}
		if e.expectedRun(j)-ran < j.Save+5*time.Second {
			return 0, false // as good as done
		}
	}
	if j.Shape == pipeline.Gang {
		cost *= float64(len(j.Tasks)) // they all stop
	}
	if t := e.catalog[a.On.Type]; t != nil {
		cost *= placement.Share(t, &j.Spec)
	}
	return cost, true
}

// starvesBefore tells whether a job of which nothing has begun for long comes before another:
// what it has just been given mustn't be taken from it again, round after round, so that
// neither ever starts.
func (e *Engine) starvesBefore(now time.Time, j, by *pipeline.Job) bool {
	return e.pastStarvationBound(now, j) && !(e.pastStarvationBound(now, by) && e.starvingSince(by).Before(e.starvingSince(j)))
}

// mayReclaimGuarantee tells whether a job's team is within its guarantee with what the job needs at
// once, and the other job's team beyond its own. Where both CPUs and GPUs are guaranteed,
// both have to fit; a guarantee of none holds nothing back but gives nothing either.
func (e *Engine) mayReclaimGuarantee(by, j *pipeline.Job) bool {
	if by.Team == j.Team {
		return false
	}
	t, o := e.cfg.Teams[by.Team], e.cfg.Teams[j.Team]
	u, ou := e.teamUse[by.Team], e.teamUse[j.Team]
	n := 1.0
	if by.Shape == pipeline.Gang {
		n = float64(len(by.Tasks))
	}
	cpus, gpus := u.CPUs+n*by.CPUs <= t.CPUs, u.GPUs+n*by.GPUs <= t.GPUs
	within := cpus
	if by.GPUs > 0 {
		within = gpus && (cpus || t.CPUs == 0)
	}
	beyond := ou.CPUs > o.CPUs || ou.GPUs > o.GPUs
	return within && beyond
}

// preempt stops an attempt to make room.
func (e *Engine) preempt(now time.Time, a *fleet.Attempt) {
	e.note("preempted", "job", a.Ref, "task", a.Task, "machine", a.On.Name)
	e.stopWithSave(now, a.On, a, e.jobs[a.Ref])
}

func hasForeign(m *fleet.Machine) bool {
	for _, a := range m.Tasks {
		if a.Foreign && a.State() != fleet.Exited {
			return true
		}
	}
	return false
}

// noAim is the time to start that a job without aims is given; lateFactor is
// how much later than its last aim a job counts that can keep none any more:
// it lets those go first that can, but isn't put off for good.
const (
	noAim      = 5 * time.Minute
	lateFactor = 2
)

// startBy is when a job's tasks must have started for the next of its aims on starting;
// zero if it has none that it can still keep.
func (e *Engine) startBy(now time.Time, j *pipeline.Job) (by time.Time) {
	for _, a := range e.cfg.Aims[j.Class] {
		if t := j.Since.Add(a.Within); a.Kind == AimStart && t.After(now) && (by.IsZero() || t.Before(by)) {
			by = t
		}
	}
	return by
}

// dueStart is when a job must have started to keep the next of its aims, or of
// those of the last job of its line.
func (e *Engine) dueStart(now time.Time, j *pipeline.Job) time.Time {
	run, fetch := e.expectedRun(j), e.expectedFetch(j)
	var next, last time.Duration
	since := now.Sub(j.Since)
	consider := func(d time.Duration) {
		last = max(last, d)
		if d >= since && (next == 0 || d < next) {
			next = d
		}
	}
	for _, a := range e.cfg.Aims[j.Class] {
		var d time.Duration
		switch a.Kind {
		case AimStart:
			if j.Started {
				continue
			}
			d = a.Within
		case AimFinish:
			d = a.Within - run
		case AimDeadline:
			if j.Deadline == 0 {
				continue
			}
			d = time.Duration(float64(j.Deadline)*a.Times) - run - j.Since.Sub(j.Submitted)
		}
		consider(d - fetch)
	}
	if l := j.CriticalPath; l.Job != nil {
		for _, a := range e.cfg.Aims[l.Job.Class] {
			if a.Kind == AimDeadline {
				consider(l.EndBy(a.Times).Sub(j.Since) - run - fetch)
			}
		}
	}
	switch {
	case next > 0:
		return j.Since.Add(next)
	case last > 0:
		return j.Since.Add(lateFactor * last)
	}
	return j.Since.Add(noAim)
}

// remainingWork is the run time of all tasks of a job that aren't done.
func (e *Engine) remainingWork(j *pipeline.Job) time.Duration {
	return e.expectedRun(j) * time.Duration(len(j.Tasks)-j.Count(pipeline.Finished))
}

// expectedRun is how long a task of the job is expected to run: its owner's
// estimate, corrected by what its class taught.
func (e *Engine) expectedRun(j *pipeline.Job) time.Duration {
	return time.Duration(float64(j.Estimate) * e.class(j.Class).ratio)
}

// expectedFetch is how long the job's image takes to fetch, on the mean of the
// types that it may use.
func (e *Engine) expectedFetch(j *pipeline.Job) time.Duration {
	var rate float64
	n := 0
	for _, t := range e.catalog {
		if j.AllowsType(t.Name) && t.FetchGBPerS > 0 && t.Fits(&j.Spec) {
			rate += t.FetchGBPerS
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(j.ImageGB / (rate / float64(n)) * float64(time.Second))
}

// overdue is how much longer a task is expected to run that has outrun its
// expectation.
const overdue = 15 * time.Second

// endOf is when an attempt is expected to leave its machine.
func (e *Engine) endOf(now time.Time, a *fleet.Attempt) time.Time {
	j := e.jobs[a.Ref]
	if a.Stopping {
		return a.StopAt.Add(a.Grace + e.cfg.ReportEvery)
	}
	if j == nil {
		return now.Add(overdue)
	}
	from := a.RunStart
	if from.IsZero() {
		from = now.Add(5 * time.Second) // still fetching
	}
	end := from.Add(e.expectedRun(j))
	if end.Before(now) {
		end = now.Add(overdue)
	}
	return end
}

// place notes a decision: the start goes out once the store holds that the
// attempt may be on the machine.
func (e *Engine) place(now time.Time, d placement.Decision) {
	j := d.Job
	n := e.nextAttempt()
	if j.Shape == pipeline.Gang && d.Task > 0 {
		n = j.Tasks[0].Attempt // the tasks of a gang find each other by it
	}
	a := &fleet.Attempt{Key: fleet.Key{Ref: j.Ref, Task: d.Task}, Number: n, CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Image: j.Image,
		NotBefore: now.Add(d.Delay)}
	e.attach(now, d.Slot.Machine, a, fleet.Intended)
	e.startLog.addAttempt(a)
	j.Assign(d.Task, d.Slot.Machine.Name, n)
	e.debug("placed", "job", j.Ref, "task", d.Task, "machine", d.Slot.Machine.Name, "type", d.Slot.Machine.Type)
}

// rent asks for machines for work that nothing has room for.
func (e *Engine) rent(now time.Time, demand []capacity.Demand) {
	if now.Sub(e.started) < e.cfg.ReportEvery*5/4 {
		return // machines may be there that haven't been heard of yet
	}
	for _, o := range e.plan.Choose(now, demand, &e.freeCapacity, e.catalog) {
		e.counter++
		e.plan.Asked(o.Offer, o.Count)
		e.out.Rent = append(e.out.Rent, Rent{Name: fmt.Sprintf("r-%d-%d", e.term, e.counter), Type: o.Offer.Type,
			Zone: o.Offer.Zone, Spot: o.Offer.Spot, Count: o.Count})
	}
}
