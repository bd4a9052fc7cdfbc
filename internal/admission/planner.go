package admission

import (
	"slices"
	"time"

	"gingertally/internal/core/placement"
)

// PlannerOptions configures the leader's planner.
type PlannerOptions struct {
	Quotas  map[string]placement.Quota
	Weights map[string]float64 // by team; the default is 1
	// Floor is the part of the capacity that each key gets before anything else is allocated, or its
	// whole demand if that is less.
	Floor float64
	// EnterBacklog and ExitBacklog are the backlogs at which overload begins and ends.
	EnterBacklog, ExitBacklog time.Duration
	// Interval is the time between two policies under overload.
	Interval time.Duration
}

// Load is the input of Planner.Plan: the present capacity and backlog, and the counts since the last
// call.
type Load struct {
	Capacity Capacity
	Backlog  time.Duration // how long the machines need for the waiting tasks
	Batches  []Batch       // one of each controller that answered
}

// Constants of the planner. Overload begins and ends at different thresholds of write load and
// backlog (hysteresis; for the backlog see PlannerOptions), so that small changes in the
// measurements don't switch it on and off.
const (
	// enterWriteLoad and exitWriteLoad are the thresholds of overload by writes, as parts of the rate
	// of jobs that the state service can take.
	enterWriteLoad, exitWriteLoad = 0.9, 0.6
	// backlogDemandThreshold is a demand, as a part of the capacity. Overload by backlog begins only
	// if the demand is above it, and ends only if it isn't. With less demand, the backlog shrinks by
	// itself.
	backlogDemandThreshold = 0.9
	// capacityWhileBacklogged is the part of the capacity that is allocated under overload by backlog
	// while the backlog is above EnterBacklog, so that the backlog shrinks.
	capacityWhileBacklogged = 0.8
	// forgetAfter is how long after its last submission a key is forgotten.
	forgetAfter = time.Minute
	// minSimilarRatio is the ratio down to which two measurements of the capacity count as equal.
	minSimilarRatio = 0.8
)

// Planner measures the load and makes the policies of a leader's term. It isn't safe for concurrent
// use.
type Planner struct {
	options   PlannerOptions
	term      uint64
	policy    Policy // the newest
	keys      map[Key]*keyControl
	jobRate   float64 // jobs offered per second, smoothed
	plannedAt time.Time
}

// NewPlanner returns the planner of a term. It continues from the policy that the state service
// holds, which is the zero policy if none was ever stored.
func NewPlanner(now time.Time, options PlannerOptions, term uint64, stored Policy) *Planner {
	p := &Planner{options: options, term: term, policy: stored, keys: map[Key]*keyControl{}, plannedAt: now}
	for _, s := range stored.Shares {
		p.keys[s.Key] = &keyControl{share: s, fairShare: s.FairShare, offered: s.FairShare, offeredAt: now}
	}
	return p
}

// Policy returns the newest policy.
func (p *Planner) Policy() Policy { return p.policy }

// Measurement holds the measured load of a key and its fair share, as parts of the capacity.
type Measurement struct {
	Key
	Offered, FairShare float64
	Admitted           float64 // 0 without overload, or if the key isn't limited
}

// Measurements returns the measurements of all keys, sorted by key.
func (p *Planner) Measurements() []Measurement {
	var out []Measurement
	for _, k := range p.sortedKeys() {
		control := p.keys[k]
		out = append(out, Measurement{Key: k, Offered: control.offered, FairShare: control.fairShare, Admitted: control.admitted})
	}
	return out
}

// Plan processes the load since the last call and returns the newest policy. If changed is true, the
// policy is a new one and the caller must store it. Under overload, every call makes a new policy.
// Otherwise a call makes one only if it is the first of the term, if overload has just ended, or if
// the capacity has changed (similar). A call without elapsed time makes none.
func (p *Planner) Plan(now time.Time, load Load) (policy Policy, changed bool) {
	elapsed := now.Sub(p.plannedAt).Seconds()
	p.plannedAt = now
	if elapsed <= 0 {
		return p.policy, false
	}
	p.measure(now, load.Batches, elapsed)
	last := p.policy
	reason := p.nextReason(load)
	if reason == NotOverloaded && !last.Overloaded() && last.Term == p.term && last.Capacity.similar(load.Capacity) {
		return p.policy, false
	}
	p.policy = Policy{Term: p.term, Number: last.Number + 1, Reason: reason, Interval: p.options.Interval, Capacity: load.Capacity}
	if reason == NotOverloaded {
		for _, control := range p.keys {
			control.reset()
		}
	} else {
		p.policy.Shares = p.shares(load, elapsed)
	}
	return p.policy, true
}

// similar reports whether no rate differs by more than minSimilarRatio allows.
func (r Capacity) similar(other Capacity) bool {
	near := func(x, y float64) bool { return x == y || x > y*minSimilarRatio && x < y*(1/minSimilarRatio) }
	return near(r.CPUs, other.CPUs) && near(r.GPUs, other.GPUs) && near(r.MemGB, other.MemGB) && near(r.JobsPerSecond, other.JobsPerSecond)
}

// measure updates the keys' averages with the controllers' counts, adds keys that are new and removes
// those without submissions for forgetAfter.
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

// nextReason returns why the deployment is overloaded now, or NotOverloaded. Overload by backlog
// begins only if the demand also exceeds backlogDemandThreshold, and ends when both backlog and
// demand have fallen to their thresholds.
func (p *Planner) nextReason(load Load) Reason {
	demand := 0.0
	for _, control := range p.keys {
		demand += control.offered
	}
	writeLoad := 0.0
	if load.Capacity.JobsPerSecond > 0 {
		writeLoad = p.jobRate / load.Capacity.JobsPerSecond
	}
	switch p.policy.Reason {
	case Backlog:
		if load.Backlog > p.options.ExitBacklog || demand > backlogDemandThreshold {
			return Backlog
		}
	case Writes:
		if writeLoad > exitWriteLoad {
			return Writes
		}
	}
	switch {
	case load.Backlog >= p.options.EnterBacklog && demand > backlogDemandThreshold:
		return Backlog
	case writeLoad >= enterWriteLoad:
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
		teams[k.Team] = TeamShare{Weight: weightOf(p.options.Weights, k.Team), Guarantee: p.guarantee(k.Team, load.Capacity)}
	}
	fairShares := Allocate(p.allocatableCapacity(load), p.options.Floor, teams, demands)
	var out []Share
	for i, k := range keys {
		out = append(out, p.keys[k].nextShare(fairShares[i], elapsed))
	}
	return out
}

// allocatableCapacity returns the part of the capacity to be allocated: all of it, or less while the
// backlog has to shrink, see capacityWhileBacklogged.
func (p *Planner) allocatableCapacity(load Load) float64 {
	if p.policy.Reason == Backlog && load.Backlog > p.options.EnterBacklog {
		return capacityWhileBacklogged
	}
	return 1
}

// guarantee returns a team's guarantee as a part of the capacity: that of CPUs or that of GPUs,
// whichever is larger.
func (p *Planner) guarantee(team string, r Capacity) float64 {
	quota, part := p.options.Quotas[team], 0.0
	if r.CPUs > 0 {
		part = quota.GuaranteedCPUs / r.CPUs
	}
	if r.GPUs > 0 {
		part = max(part, quota.GuaranteedGPUs/r.GPUs)
	}
	return min(part, 1)
}

// sortedKeys returns the keys with a keyControl, sorted.
func (p *Planner) sortedKeys() []Key {
	keys := make([]Key, 0, len(p.keys))
	for k := range p.keys {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}
