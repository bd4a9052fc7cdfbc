package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gingertally/internal/core/pipeline"
)

// Key names the jobs that are counted and decided together: those of a team, class and priority.
type Key struct {
	Team     string            `cbor:"t"`
	Class    string            `cbor:"c"`
	Priority pipeline.Priority `cbor:"p"`
}

// compare orders keys by team, then priority, then class.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Team, o.Team), cmp.Compare(k.Priority, o.Priority), cmp.Compare(k.Class, o.Class))
}

// Reason says why a policy refuses jobs.
type Reason uint8

// Reasons of overload.
const (
	NotOverloaded Reason = iota
	Backlog              // the machines need too long for the tasks that wait
	Writes               // more jobs are submitted than the state service can take
)

var reasonNames = [...]string{"not overloaded", "backlog", "writes"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Share says which jobs of a key a policy admits: those with a position in a window on the unit
// circle.
type Share struct {
	Key
	// Fraction is by how much each policy moves the window on; at 1 all jobs are admitted.
	Fraction  float64 `cbor:"f"`
	Offset    float64 `cbor:"o"` // where the window begins
	FairShare float64 `cbor:"d"` // the key's fair share, as a part of the capacity
}

// Policy is what all gates decide by, until a newer one replaces it. It is never changed.
type Policy struct {
	Term     uint64        `cbor:"m"`
	Number   uint64        `cbor:"n"` // rises with each policy, across terms
	Reason   Reason        `cbor:"r"`
	Interval time.Duration `cbor:"i"` // between two policies under overload
	Shares   []Share       `cbor:"s"` // by key; empty without overload
	Rate     Rates         `cbor:"c"`
}

// Rates is what the deployment can do in a second: its capacity.
type Rates struct {
	CPUs  float64 `cbor:"c"`
	GPUs  float64 `cbor:"g"`
	MemGB float64 `cbor:"m"`
	Jobs  float64 `cbor:"j"` // that the state service can take
}

// Overloaded reports whether the policy may refuse jobs.
func (p *Policy) Overloaded() bool { return p.Reason != NotOverloaded }

// Newer reports whether the policy replaces another. One of an older term never does.
func (p *Policy) Newer(o *Policy) bool {
	if p.Term != o.Term {
		return p.Term > o.Term
	}
	return p.Number > o.Number
}

// SharesWithoutWidest returns the shares without the one that refuses the smallest part of its jobs.
func (p *Policy) SharesWithoutWidest() []Share {
	widest := 0
	for i := range p.Shares {
		if p.Shares[i].Fraction > p.Shares[widest].Fraction {
			widest = i
		}
	}
	return slices.Delete(slices.Clone(p.Shares), widest, widest+1)
}

// Bounds of a decision.
const (
	// windowSpan is how many policies a job's turn lasts. A job that comes a little late, or at a
	// controller with the policy before, still has its turn.
	windowSpan = 3
	// maxRetryAfter is the longest pause that users obey (PROTOCOL).
	maxRetryAfter = 30 * time.Second
	minRetryAfter = time.Second
)

// Decision is the answer to a submission.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // of a refusal
	Reason     Reason
}

// Admit is the decision to admit a job.
var Admit = Decision{Admitted: true}

// Decide decides about a job by the policy alone.
func (p *Policy) Decide(k Key, job string) Decision {
	if !p.Overloaded() {
		return Admit
	}
	share := p.shareOf(k)
	if share.Fraction >= 1.0/windowSpan {
		return Admit // the windows of windowSpan policies cover the whole circle
	}
	ahead := wrap(position(job) - share.Offset) // how far the window has to move to reach the job
	if ahead < share.Fraction || passedRecently(ahead, share.Fraction) {
		return Admit
	}
	policiesAhead := math.Floor(ahead / share.Fraction)
	wait := time.Duration(policiesAhead * float64(p.Interval))
	return Decision{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter), Reason: p.Reason}
}

// passedRecently reports whether a job was in the window of one of the windowSpan-1 policies before,
// if the fraction was the same.
func passedRecently(ahead, fraction float64) bool { return ahead >= 1-(windowSpan-1)*fraction }

// shareOf returns the share of a key. A class that the policy doesn't know has the smallest one of
// its team, so that new names gain nothing. A team that it doesn't know is admitted in full: it
// asked for little until now.
func (p *Policy) shareOf(k Key) Share {
	i, known := slices.BinarySearchFunc(p.Shares, k, func(s Share, k Key) int { return s.Key.compare(k) })
	if known {
		return p.Shares[i]
	}
	smallest := Share{Key: k, Fraction: 1}
	first, _ := slices.BinarySearchFunc(p.Shares, k.Team, func(s Share, team string) int {
		return cmp.Compare(s.Team, team)
	})
	for _, s := range p.Shares[first:] {
		if s.Team != k.Team {
			break
		}
		if s.Fraction < smallest.Fraction {
			smallest = s
		}
	}
	return smallest
}

// position returns a job's place on the circle that the windows move along, from 0 to 1.
func position(job string) float64 {
	const bits = 53 // what a float64 represents exactly
	return float64(xxhash.Sum64String(job)>>(64-bits)) / (1 << bits)
}

// wrap returns the place on the circle that a number stands for: its fractional part.
func wrap(x float64) float64 {
	x -= math.Floor(x)
	if x >= 1 {
		return 0 // the difference of a tiny negative number and its floor is rounded to 1
	}
	return x
}

// serviceSeconds is for how many seconds a service's replica counts, which runs until its job is
// cancelled.
const serviceSeconds = 600

// JobCost returns what a job takes of the capacity, as a time in seconds: for how long it would
// have all of its dominant resource, or of the state service's rate of jobs, for itself.
func JobCost(s *pipeline.Spec, run time.Duration, r Rates) float64 {
	seconds := run.Seconds() * float64(s.Tasks)
	if s.Shape == pipeline.Service {
		seconds = serviceSeconds * float64(s.Tasks)
	}
	cost := 0.0
	for _, use := range [...]struct{ amount, rate float64 }{
		{s.CPUs * seconds, r.CPUs},
		{s.GPUs * seconds, r.GPUs},
		{s.MemGB * seconds, r.MemGB},
		{1, r.Jobs},
	} {
		if use.rate > 0 {
			cost = max(cost, use.amount/use.rate)
		}
	}
	return cost
}
