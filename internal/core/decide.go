package core

import (
	"fmt"
	"sort"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// entryBytes is about what one attempt takes in a machine's record.
const entryBytes = 64

// decideEvery bounds how often a round of decisions is begun without need.
const decideEvery = time.Second

// settled tells whether a new leader has heard enough to place: all machines
// that the records name, or one report period has passed.
func (e *Engine) settled(now time.Time) bool {
	if now.Sub(e.started) > e.cfg.ReportEvery*5/4+time.Second {
		return true
	}
	if len(e.machines) == 0 || e.lastList.IsZero() {
		return false
	}
	for _, m := range e.machines {
		if m.State() == fleet.Unheard {
			return false
		}
	}
	return true
}

// decide runs a round of decisions, then plans what to rent and give back.
func (e *Engine) decide(now time.Time, spent func() bool) {
	if len(e.catalog) == 0 || !e.settled(now) || (!e.replan && now.Sub(e.placedAt) < decideEvery) {
		return
	}
	e.replan, e.placedAt = false, now
	var future []*placement.Slot
	var demand []capacity.Demand
	looked := 0
	b := &placement.Board{
		Now: now, Jobs: e.ranked(now),
		Team:    func(name string) placement.Team { return e.cfg.Teams[name] },
		Usage:   e.usage,
		InZones: func(ref string) map[string]int { return e.useOf(ref).zones },
		Busy:    func(ref string) int { return e.useOf(ref).attempts },
		Commit:  func(d placement.Decision) { looked++; e.place(now, d) },
		Unmet: func(j *pipeline.Job, n int) {
			demand = append(demand, capacity.Demand{Job: j, Tasks: n, Zones: e.useOf(j.Ref).zones})
		},
		EndOf:   func(a *fleet.Attempt) time.Time { return e.endOf(now, a) },
		Due:     func(j *pipeline.Job) time.Time { return e.dueStart(now, j) },
		MayStop: func(by *pipeline.Job, a *fleet.Attempt) (float64, bool) { return e.mayStop(now, by, a) },
		Stop:    func(a *fleet.Attempt) { e.preempt(now, a) },
		Spent: func() bool {
			looked++
			return looked > e.cfg.RoundBudget || (spent != nil && spent())
		},
	}
	for _, m := range e.sortedMachines() {
		t := e.catalog[m.Type]
		if t == nil || m.Draining || m.Sick {
			continue
		}
		s := placement.NewSlot(m, t, e.cfg.MaxPerValue/entryBytes)
		switch {
		case m.State() == fleet.Booting:
			if now.Sub(m.FirstSeen) > 2*t.Boot+e.cfg.ReportEvery {
				continue // may never come
			}
			s.Future = true
			future = append(future, s)
		case m.State() == fleet.Live && m.Confirmed && !m.HoldUntil.After(now) && !hasForeign(m):
			b.Slots = append(b.Slots, s)
		}
	}
	if !e.round.Run(b) {
		e.replan = true
		return
	}
	e.rent(now, demand, append(future, b.Slots...))
	e.giveBack(now, demand)
	if len(demand) == 0 {
		e.consolidate(now, b.Slots)
	}
}

// mayStop holds the protocol's rules of preemption: for a job of higher
// priority, or to give a team its guarantee at the expense of one that is beyond
// its own. The cost is the delay of saving and the work that is lost.
func (e *Engine) mayStop(now time.Time, by *pipeline.Job, a *fleet.Attempt) (float64, bool) {
	j := e.jobs[a.Ref]
	if j == nil || (j.Shape == pipeline.Gang && len(j.Tasks) > 1) || a.Foreign || a.State() == fleet.Saving {
		return 0, false
	}
	if by.Priority >= j.Priority && !e.owed(by, j) {
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
	return cost, true
}

// owed tells whether a job's team is within its guarantee with one more task,
// and the other job's team beyond its own.
func (e *Engine) owed(by, j *pipeline.Job) bool {
	if by.Team == j.Team {
		return false
	}
	t, o := e.cfg.Teams[by.Team], e.cfg.Teams[j.Team]
	c, g := e.usage(by.Team)
	oc, og := e.usage(j.Team)
	within := c+by.CPUs <= t.CPUs || (by.GPUs > 0 && g+by.GPUs <= t.GPUs)
	beyond := oc > o.CPUs || og > o.GPUs
	return within && beyond
}

// preempt stops an attempt to make room.
func (e *Engine) preempt(now time.Time, a *fleet.Attempt) {
	j := e.jobs[a.Ref]
	for _, m := range e.machines {
		if m.Tasks[a.Key] == a {
			e.note("preempted", "job", a.Ref, "task", a.Task, "machine", m.Name)
			e.stopOrderly(now, m, a, j)
			return
		}
	}
}

func hasForeign(m *fleet.Machine) bool {
	for _, a := range m.Tasks {
		if a.Foreign && a.State() != fleet.Exited {
			return true
		}
	}
	return false
}

// ranked is the unfinished jobs in the order in which they may choose: by
// urgency, then by how soon they must start to keep an aim that can still be
// kept. Jobs that keep failing come last.
func (e *Engine) ranked(now time.Time) []*pipeline.Job {
	out := append([]*pipeline.Job(nil), e.order...)
	due := make(map[*pipeline.Job]time.Time, len(out))
	for _, j := range out {
		due[j] = e.dueStart(now, j).Add(e.workLeft(j) / sizeWeight)
	}
	sort.SliceStable(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if x, y := a.HeldBack(e.cfg.RestartLimit), b.HeldBack(e.cfg.RestartLimit); x != y {
			return y
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return due[a].Before(due[b])
	})
	return out
}

// noAim is the time to start that a job without aims is given; lateFactor is
// how much later than its last aim a job counts that can keep none any more:
// it lets those go first that can, but isn't put off for good.
const (
	noAim      = 5 * time.Minute
	lateFactor = 2
)

// dueStart is when a job must have started to keep the next of its aims.
func (e *Engine) dueStart(now time.Time, j *pipeline.Job) time.Time {
	run, fetch := e.expectedRun(j), e.expectedFetch(j)
	var next, last time.Duration
	since := now.Sub(j.Submitted)
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
			d = time.Duration(float64(j.Deadline)*a.Times) - run
		}
		d -= fetch
		last = max(last, d)
		if d >= since && (next == 0 || d < next) {
			next = d
		}
	}
	switch {
	case next > 0:
		return j.Submitted.Add(next)
	case last > 0:
		return j.Submitted.Add(lateFactor * last)
	}
	return j.Submitted.Add(noAim)
}

// sizeWeight says how a job's size counts against it: so many machine-seconds
// of its tasks weigh as much as a second of its due time. When not all can be in
// time, more jobs are if the small ones go first.
const sizeWeight = 3

// workLeft is the run time of all tasks of a job that aren't done.
func (e *Engine) workLeft(j *pipeline.Job) time.Duration {
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

// usage is what of a team may be on machines, of jobs that are over too.
func (e *Engine) usage(team string) (cpus, gpus float64) {
	for _, u := range e.use {
		if u.team == team && u.attempts > 0 {
			cpus, gpus = cpus+u.cpus, gpus+u.gpus
		}
	}
	return
}

// place notes a decision: the start goes out once the store holds that the
// attempt may be on the machine.
func (e *Engine) place(now time.Time, d placement.Decision) {
	j := d.Job
	n := e.nextAttempt()
	if j.Shape == pipeline.Gang && d.Task > 0 {
		n = j.Tasks[0].Attempt // the tasks of a gang find each other by it
	}
	a := &fleet.Attempt{Key: fleet.Key{Ref: j.Ref, Task: d.Task}, Number: n, CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB, Image: j.Image}
	e.attach(now, d.Slot.Machine, a, fleet.Intended)
	j.Assign(d.Task, d.Slot.Machine.Name, n)
	e.debug("placed", "job", j.Ref, "task", d.Task, "machine", d.Slot.Machine.Name, "type", d.Slot.Machine.Type)
}

// rent asks for machines for work that nothing has room for.
func (e *Engine) rent(now time.Time, demand []capacity.Demand, slots []*placement.Slot) {
	if now.Sub(e.started) < e.cfg.ReportEvery*5/4 {
		return // machines may be there that haven't been heard of yet
	}
	for _, o := range e.plan.Choose(now, demand, slots, e.catalog) {
		e.counter++
		e.plan.Asked(o.Offer, o.Count)
		e.out.Rent = append(e.out.Rent, Rent{Name: fmt.Sprintf("r-%d-%d", e.term, e.counter), Type: o.Offer.Type,
			Zone: o.Offer.Zone, Spot: o.Offer.Spot, Count: o.Count})
	}
}

// recentClass is how long a class of jobs counts as one that may come again.
const recentClass = 4 * time.Minute

// idleUseless is how long a machine is kept that no recent class of jobs fits.
// Others are kept for idleUseful and as long as idleDollars pay for: being
// there spares a job the boot time, whatever the machine costs.
const (
	idleUseless = 10 * time.Second
	idleUseful  = 10 * time.Second
	idleDollars = 0.1
	idleMost    = 40 * time.Second
)

// giveBack releases machines that have been idle too long.
func (e *Engine) giveBack(now time.Time, demand []capacity.Demand) {
	if len(e.classes) == 0 || now.Sub(e.started) < 3*e.cfg.ReportEvery {
		return
	}
	for _, m := range e.sortedMachines() {
		t := e.catalog[m.Type]
		if t == nil || m.State() != fleet.Live || len(m.Tasks) > 0 || !m.Confirmed || awaited(m, t, demand) {
			continue
		}
		keep := idleUseless
		if last := e.lastUse(now, m, t); !last.IsZero() {
			keep = idleUseful + time.Duration(idleDollars/max(t.Price(m.Spot), 0.01)*float64(time.Hour))
			if now.Sub(last) > idleMost {
				keep = min(keep, idleMost)
			}
		}
		if now.Sub(m.IdleSince) > keep {
			e.release(now, m, "idle")
		}
	}
}

// awaited tells whether waiting work could use the machine: a gang, say, that
// still lacks room for some of its tasks.
func awaited(m *fleet.Machine, t *placement.Type, demand []capacity.Demand) bool {
	for _, d := range demand {
		if s := placement.NewSlot(m, t, 1); s.Allowed(&d.Job.Spec) && t.Fits(&d.Job.Spec) && !d.Job.BadOn[m.Name] {
			return true
		}
	}
	return false
}

// lastUse is when a job last came that could run on the machine; zero if that is
// long ago.
func (e *Engine) lastUse(now time.Time, m *fleet.Machine, t *placement.Type) time.Time {
	var last time.Time
	for _, c := range e.classes {
		if now.Sub(c.lastAt) < recentClass && c.lastAt.After(last) && c.spec != nil && t.Fits(c.spec) &&
			c.spec.AllowsType(t.Name) && (c.spec.Spot || !m.Spot) {
			last = c.lastAt
		}
	}
	return last
}
