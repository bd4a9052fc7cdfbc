package admission

import (
	"sort"
	"time"

	"gingertally/internal/core/placement"
)

// PlannerOptions are the leader's part of an admission.
type PlannerOptions struct {
	Teams   map[string]placement.Quota
	Weights map[string]float64 // by team; those that aren't named weigh 1
	// Floor is the part of the capacity that each class is left.
	Floor float64
	// EnterBacklog and ExitBacklog are how long the machines need for what waits when
	// overload begins and ends.
	EnterBacklog, ExitBacklog time.Duration
	// Interval is the time between two policies under overload.
	Interval time.Duration
}

// Load is what the leader has measured.
type Load struct {
	Rates   Rates
	Backlog time.Duration // that the machines need for what waits
	Batches []Batch       // of all controllers that could be asked, since each was last asked
}

// Bounds of the planner's control.
const (
	// minFraction is the least by which a window moves: a job that keeps asking has its turn
	// within as many policies as go into 1.
	minFraction = 1.0 / 2000
	// smoothing is the weight of the newest measurement.
	smoothing = 0.2
	// creditSeconds is for how many seconds a key that gets less than it is due is owed the
	// rest, and one that got more pays it back.
	creditSeconds = 60.0
	// repaySeconds is in how many seconds that is made up for.
	repaySeconds = 10.0
	// maxStep bounds by how much a fraction changes from one policy to the next.
	maxStep = 4.0
	// writesEnter and writesExit are the parts of the state service's rate of jobs that are
	// asked for when overload by writes begins and ends.
	writesEnter, writesExit = 0.9, 0.6
	// exitRate is the part of the capacity below which the demand must be for overload to
	// end.
	exitRate = 0.9
	// forgetAfter is after how long without offers a key is dropped.
	forgetAfter = time.Minute
	// loweredInflow is the part of the capacity that is admitted while the backlog is above
	// where overload began.
	loweredInflow = 0.8
)

// Planner measures and makes the policies of a term. It isn't safe for concurrent use.
type Planner struct {
	options  PlannerOptions
	term     uint64
	policy   Policy
	keys     map[Key]*keyState
	jobsRate float64 // offered, smoothed
	planned  time.Time
}

// keyState is what the planner knows of a key.
type keyState struct {
	offered  float64 // cost a second, smoothed
	taken    float64 // cost a second that was admitted under overload, smoothed
	fraction float64 // by which that was brought about, smoothed
	credit   float64 // cost that it is owed
	due      float64
	share    Share
	seenAt   time.Time
}

// NewPlanner makes the planner of a term. It goes on from the policy that the state service
// holds; the zero policy is that of a deployment that never had one.
func NewPlanner(now time.Time, options PlannerOptions, term uint64, stored Policy) *Planner {
	p := &Planner{options: options, term: term, policy: stored, keys: map[Key]*keyState{}, planned: now}
	for _, s := range stored.Shares {
		p.keys[s.Key] = &keyState{share: s, due: s.Due, offered: s.Due, seenAt: now}
	}
	return p
}

// Policy returns the newest policy.
func (p *Planner) Policy() Policy { return p.policy }

// Measured is what the planner has measured of a key, in parts of the capacity.
type Measured struct {
	Key
	Offered, Due, Got float64 // Got is 0 without overload, or where nothing is refused
}

// Measured lists what was measured, by key.
func (p *Planner) Measured() []Measured {
	var out []Measured
	for _, k := range p.sortedKeys() {
		s := p.keys[k]
		out = append(out, Measured{Key: k, Offered: s.offered, Due: s.due, Got: s.taken})
	}
	return out
}

// Plan takes in what was measured since the last plan, and makes the next policy. Changed
// tells whether it differs from the one before, and so has to be stored; without overload it
// mostly doesn't.
func (p *Planner) Plan(now time.Time, load Load) (policy Policy, changed bool) {
	elapsed := now.Sub(p.planned).Seconds()
	p.planned = now
	if elapsed <= 0 {
		return p.policy, false
	}
	p.measure(now, load.Batches, elapsed)
	was := p.policy
	reason := p.nextReason(load)
	if reason == NotOverloaded && !was.Overloaded() && was.Term == p.term && sameRates(was.Rate, load.Rates) {
		return p.policy, false
	}
	p.policy = Policy{Term: p.term, Number: was.Number + 1, Reason: reason, Interval: p.options.Interval, Rate: load.Rates}
	if reason != NotOverloaded {
		p.share(load, elapsed)
	} else {
		p.reset()
	}
	return p.policy, true
}

// sameRates tells whether two measurements of the capacity are about the same.
func sameRates(a, b Rates) bool {
	near := func(x, y float64) bool { return x == y || x > y*0.8 && x < y*1.25 }
	return near(a.CPUs, b.CPUs) && near(a.GPUs, b.GPUs) && near(a.MemGB, b.MemGB) && near(a.Jobs, b.Jobs)
}

// measured is what was counted of a key, in a second.
type measured struct{ offered, taken float64 }

// measure takes in the controllers' counts.
func (p *Planner) measure(now time.Time, batches []Batch, elapsed float64) {
	byKey := map[Key]measured{}
	jobs := 0.0
	for _, b := range batches {
		seconds := max(b.Period.Seconds(), elapsed)
		for _, c := range b.Counts {
			m := byKey[c.Key]
			m.offered += c.Cost / seconds
			m.taken += c.Taken / seconds
			byKey[c.Key] = m
			jobs += float64(c.Offered) / seconds
		}
	}
	p.jobsRate += (jobs - p.jobsRate) * smoothing
	for k := range byKey {
		if p.keys[k] == nil {
			p.keys[k] = &keyState{share: Share{Key: k, Fraction: 1}}
		}
	}
	for k, s := range p.keys {
		m, seen := byKey[k]
		if seen {
			s.seenAt = now
		}
		if now.Sub(s.seenAt) > forgetAfter {
			delete(p.keys, k)
			continue
		}
		s.offered += (m.offered - s.offered) * smoothing
		if p.policy.Overloaded() {
			s.credit -= m.taken * elapsed
			s.taken += (m.taken - s.taken) * smoothing
			s.fraction += (min(s.share.Fraction, 1) - s.fraction) * smoothing
		}
	}
}

// nextReason decides whether the deployment is overloaded. It enters and leaves that state at
// different marks.
func (p *Planner) nextReason(load Load) Reason {
	demand := 0.0
	for _, s := range p.keys {
		demand += s.offered
	}
	writes := 0.0
	if load.Rates.Jobs > 0 {
		writes = p.jobsRate / load.Rates.Jobs
	}
	switch p.policy.Reason {
	case Backlog:
		if load.Backlog > p.options.ExitBacklog || demand > exitRate {
			return Backlog
		}
	case Writes:
		if writes > writesExit {
			return Writes
		}
	}
	switch {
	case load.Backlog >= p.options.EnterBacklog && demand > exitRate:
		return Backlog
	case writes >= writesEnter:
		return Writes
	}
	return NotOverloaded
}

// reset forgets what overload has left behind.
func (p *Planner) reset() {
	for _, s := range p.keys {
		s.credit, s.taken, s.fraction, s.share.Fraction = 0, 0, 0, 1
	}
}

// share fills the policy with each key's share.
func (p *Planner) share(load Load, elapsed float64) {
	keys := p.sortedKeys()
	demands := make([]Demand, len(keys))
	teams := map[string]TeamShare{}
	for i, k := range keys {
		demands[i] = Demand{Key: k, Rate: p.keys[k].offered}
		teams[k.Team] = TeamShare{Weight: weightOf(p.options.Weights, k.Team), Guarantee: p.guarantee(k.Team, load.Rates)}
	}
	given := Allocate(p.inflow(load), p.options.Floor, teams, demands)
	for i, k := range keys {
		p.policy.Shares = append(p.policy.Shares, p.keys[k].next(k, given[i], elapsed))
	}
}

// inflow is the part of the capacity that is admitted: less while the backlog still grows.
func (p *Planner) inflow(load Load) float64 {
	if p.policy.Reason == Backlog && load.Backlog > p.options.EnterBacklog {
		return loweredInflow
	}
	return 1
}

// guarantee is a team's guarantee as a part of the capacity.
func (p *Planner) guarantee(team string, r Rates) float64 {
	t, part := p.options.Teams[team], 0.0
	if r.CPUs > 0 {
		part = t.GuaranteedCPUs / r.CPUs
	}
	if r.GPUs > 0 {
		part = max(part, t.GuaranteedGPUs/r.GPUs)
	}
	return min(part, 1)
}

// next moves a key's window on, and decides by how much: so that what the key is due, and a
// part of what it is owed, is admitted, as far as its windows have shown what a fraction
// admits. A key that asks for no more than it is due is never refused.
func (s *keyState) next(k Key, due, elapsed float64) Share {
	s.due = due
	if due >= s.offered-smallest {
		s.credit, s.taken, s.fraction = 0, 0, 0
		s.share = Share{Key: k, Fraction: 1, Due: due}
		return s.share
	}
	bound := due * creditSeconds
	s.credit = min(max(s.credit+due*elapsed, -bound), bound)
	target := max(due+s.credit/repaySeconds, 0)
	fraction := target / s.offered
	if s.share.Fraction < 1 && s.taken > 0 {
		fraction = target * s.fraction / s.taken
	}
	fraction = min(max(fraction, s.share.Fraction/maxStep), s.share.Fraction*maxStep)
	offset := wrap(s.share.Offset + min(s.share.Fraction, 1))
	s.share = Share{Key: k, Fraction: min(max(fraction, minFraction), 1), Offset: offset, Due: due}
	return s.share
}

func (p *Planner) sortedKeys() []Key {
	keys := make([]Key, 0, len(p.keys))
	for k := range p.keys {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, k int) bool { return keys[i].before(keys[k]) })
	return keys
}
