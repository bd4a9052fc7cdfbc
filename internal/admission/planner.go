package admission

import (
	"slices"
	"time"

	"gingertally/internal/core/placement"
)

// PlannerOptions configure the leader's planner.
type PlannerOptions struct {
	Teams   map[string]placement.Quota
	Weights map[string]float64 // by team; 1 where none is set
	// Floor is the part of the capacity that each class is given first.
	Floor float64
	// EnterBacklog and ExitBacklog are the backlogs at which overload begins and ends.
	EnterBacklog, ExitBacklog time.Duration
	// Interval is the time between two policies under overload.
	Interval time.Duration
}

// Load is what the leader has measured.
type Load struct {
	Rates   Rates
	Backlog time.Duration // how long the machines need for the tasks that wait
	Batches []Batch       // of all controllers that answered, since each was last asked
}

// Marks of overload. It begins and ends at different ones, so that it doesn't come and go with
// every measurement.
const (
	// enterWritesPart and exitWritesPart are the parts of the state service's rate of jobs that are
	// asked for when overload by writes begins and ends.
	enterWritesPart, exitWritesPart = 0.9, 0.6
	// demandPart is the part of the capacity that has to be asked for while there is overload by
	// backlog. With less, the backlog shrinks by itself.
	demandPart = 0.9
	// inflowPartAboveMark is the part of the capacity that is admitted while the backlog is above
	// the mark at which overload began, so that it shrinks.
	inflowPartAboveMark = 0.8
	// forgetAfter is how long after its last submission a key is forgotten.
	forgetAfter = time.Minute
	// similarPart is by which factor two measurements of the capacity may differ and still count as
	// the same.
	similarPart = 0.8
)

// Planner measures load and makes the policies of a leader's term. It isn't safe for concurrent use.
type Planner struct {
	options   PlannerOptions
	term      uint64
	policy    Policy
	keys      map[Key]*keyControl
	jobRate   float64 // jobs offered in a second, smoothed
	plannedAt time.Time
}

// NewPlanner makes the planner of a term. It goes on from the policy that the state service holds;
// a deployment that never had one starts with the zero policy.
func NewPlanner(now time.Time, options PlannerOptions, term uint64, stored Policy) *Planner {
	p := &Planner{options: options, term: term, policy: stored, keys: map[Key]*keyControl{}, plannedAt: now}
	for _, s := range stored.Shares {
		p.keys[s.Key] = &keyControl{share: s, due: s.FairShare, offered: s.FairShare, offeredAt: now}
	}
	return p
}

// Policy returns the newest policy.
func (p *Planner) Policy() Policy { return p.policy }

// Measured is what the planner has measured of a key, in parts of the capacity.
type Measured struct {
	Key
	Offered, FairShare float64
	Admitted           float64 // what was admitted; 0 without overload, or where nothing is refused
}

// Measured lists what was measured, by key.
func (p *Planner) Measured() []Measured {
	var out []Measured
	for _, k := range p.sortedKeys() {
		control := p.keys[k]
		out = append(out, Measured{Key: k, Offered: control.offered, FairShare: control.due, Admitted: control.admitted})
	}
	return out
}

// Plan takes in what was measured since the last call and makes the next policy. If changed is true
// it has to be stored. Without overload a policy stands for the whole term, unless the capacity changes.
func (p *Planner) Plan(now time.Time, load Load) (policy Policy, changed bool) {
	elapsed := now.Sub(p.plannedAt).Seconds()
	p.plannedAt = now
	if elapsed <= 0 {
		return p.policy, false
	}
	p.measure(now, load.Batches, elapsed)
	last := p.policy
	reason := p.nextReason(load)
	if reason == NotOverloaded && !last.Overloaded() && last.Term == p.term && last.Rate.similar(load.Rates) {
		return p.policy, false
	}
	p.policy = Policy{Term: p.term, Number: last.Number + 1, Reason: reason, Interval: p.options.Interval, Rate: load.Rates}
	if reason == NotOverloaded {
		for _, control := range p.keys {
			control.reset()
		}
	} else {
		p.policy.Shares = p.shares(load, elapsed)
	}
	return p.policy, true
}

// similar reports whether two measurements of the capacity are about the same.
func (r Rates) similar(o Rates) bool {
	near := func(x, y float64) bool { return x == y || x > y*similarPart && x < y*(1/similarPart) }
	return near(r.CPUs, o.CPUs) && near(r.GPUs, o.GPUs) && near(r.MemGB, o.MemGB) && near(r.Jobs, o.Jobs)
}

// measure takes in the controllers' counts.
func (p *Planner) measure(now time.Time, batches []Batch, elapsed float64) {
	costs := map[Key]costRate{}
	jobs := 0.0
	for _, b := range batches {
		seconds := max(b.Period.Seconds(), elapsed)
		for _, c := range b.Counts {
			rate := costs[c.Key]
			rate.offered += c.OfferedCost / seconds
			rate.admitted += c.AdmittedCost / seconds
			costs[c.Key] = rate
			jobs += float64(c.Offered) / seconds
		}
	}
	smooth(&p.jobRate, jobs)
	for k := range costs {
		if p.keys[k] == nil {
			p.keys[k] = &keyControl{share: Share{Key: k, Fraction: 1}}
		}
	}
	for k, control := range p.keys {
		rate, offered := costs[k]
		if offered {
			control.offeredAt = now
		}
		if now.Sub(control.offeredAt) > forgetAfter {
			delete(p.keys, k)
			continue
		}
		control.measure(rate, elapsed, p.policy.Overloaded())
	}
}

// nextReason decides whether the deployment is overloaded. Overload by backlog begins only if more
// is asked for than can be done, and ends when backlog and demand are both below their marks.
func (p *Planner) nextReason(load Load) Reason {
	demand := 0.0
	for _, control := range p.keys {
		demand += control.offered
	}
	writesPart := 0.0
	if load.Rates.Jobs > 0 {
		writesPart = p.jobRate / load.Rates.Jobs
	}
	switch p.policy.Reason {
	case Backlog:
		if load.Backlog > p.options.ExitBacklog || demand > demandPart {
			return Backlog
		}
	case Writes:
		if writesPart > exitWritesPart {
			return Writes
		}
	}
	switch {
	case load.Backlog >= p.options.EnterBacklog && demand > demandPart:
		return Backlog
	case writesPart >= enterWritesPart:
		return Writes
	}
	return NotOverloaded
}

// shares returns each key's share of the next policy.
func (p *Planner) shares(load Load, elapsed float64) []Share {
	keys := p.sortedKeys()
	demands := make([]Demand, len(keys))
	teams := map[string]TeamShare{}
	for i, k := range keys {
		demands[i] = Demand{Key: k, Rate: p.keys[k].offered}
		teams[k.Team] = TeamShare{Weight: weightOf(p.options.Weights, k.Team), Guarantee: p.guarantee(k.Team, load.Rates)}
	}
	due := Allocate(p.inflow(load), p.options.Floor, teams, demands)
	var out []Share
	for i, k := range keys {
		out = append(out, p.keys[k].nextShare(due[i], elapsed))
	}
	return out
}

// inflow returns the part of the capacity that is shared out: less than all while the backlog is
// above the mark at which overload began.
func (p *Planner) inflow(load Load) float64 {
	if p.policy.Reason == Backlog && load.Backlog > p.options.EnterBacklog {
		return inflowPartAboveMark
	}
	return 1
}

// guarantee returns a team's guarantee as a part of the capacity: the larger one of its resources.
func (p *Planner) guarantee(team string, r Rates) float64 {
	quota, part := p.options.Teams[team], 0.0
	if r.CPUs > 0 {
		part = quota.GuaranteedCPUs / r.CPUs
	}
	if r.GPUs > 0 {
		part = max(part, quota.GuaranteedGPUs/r.GPUs)
	}
	return min(part, 1)
}

func (p *Planner) sortedKeys() []Key {
	keys := make([]Key, 0, len(p.keys))
	for k := range p.keys {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}
