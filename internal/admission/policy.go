package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gingertally/internal/core/pipeline"
)

// Key identifies the jobs that are counted and admitted together: those of one team, class and
// priority.
type Key struct {
	Team     string            `cbor:"t"`
	Class    string            `cbor:"c"`
	Priority pipeline.Priority `cbor:"p"`
}

// compare orders keys by team, then priority, then class.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Team, o.Team), cmp.Compare(k.Priority, o.Priority), cmp.Compare(k.Class, o.Class))
}

// Reason is the reason for which a policy refuses jobs.
type Reason uint8

// Reasons of overload.
const (
	NotOverloaded Reason = iota
	Backlog              // the machines need too long for the waiting tasks
	Writes               // more jobs are submitted than the state service can take
)

var reasonNames = [...]string{"not overloaded", "backlog", "writes"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Share determines which jobs of a key a policy admits. Job ids are hashed to positions on a circle
// of length 1, on which a window moves with each policy. A job has its turn, and is admitted, while
// its position is in the window of the policy or in one of the last windowSpan-1 windows.
type Share struct {
	Key
	// Fraction is the length of the window, and how far each policy moves it. From 1/windowSpan on,
	// all jobs are admitted.
	Fraction  float64 `cbor:"f"`
	Offset    float64 `cbor:"o"` // position at which the window begins
	FairShare float64 `cbor:"d"` // the key's fair share, as a fraction of the capacity
}

// Policy contains all that gates need to admit or refuse jobs. All gates apply the same policy until
// a newer one replaces it. A policy is immutable.
type Policy struct {
	Term     uint64        `cbor:"m"`
	Number   uint64        `cbor:"n"` // increases with each policy, across terms
	Reason   Reason        `cbor:"r"`
	Interval time.Duration `cbor:"i"` // between two policies under overload
	Shares   []Share       `cbor:"s"` // sorted by key; empty without overload
	Capacity Capacity      `cbor:"c"` // as measured when the policy was made
}

// Capacity is the deployment's capacity per second; that of the machines is in CPU-, GPU- and GB-seconds.
type Capacity struct {
	CPUs          float64 `cbor:"c"`
	GPUs          float64 `cbor:"g"`
	MemGB         float64 `cbor:"m"`
	JobsPerSecond float64 `cbor:"j"` // new jobs that the state service can take
}

// Overloaded reports whether the policy may refuse jobs.
func (p *Policy) Overloaded() bool { return p.Reason != NotOverloaded }

// NewerThan reports whether the policy replaces other: whether it has a higher term, or a higher number
// in the same term.
func (p *Policy) NewerThan(other *Policy) bool {
	if p.Term != other.Term {
		return p.Term > other.Term
	}
	return p.Number > other.Number
}

// SharesWithoutWidest returns the shares without the one with the largest fraction, which refuses the
// smallest part of its jobs. There must be at least one share.
func (p *Policy) SharesWithoutWidest() []Share {
	widest := 0
	for i := range p.Shares {
		if p.Shares[i].Fraction > p.Shares[widest].Fraction {
			widest = i
		}
	}
	return slices.Delete(slices.Clone(p.Shares), widest, widest+1)
}

// Parameters of Policy.Decide.
const (
	// windowSpan is the number of successive policies for which a job stays admitted once it is in the
	// window. It is above 1 so that a job that is submitted a little late, or at a controller that
	// still has the previous policy, doesn't miss its turn.
	windowSpan = 3
	// maxRetryAfter is the longest pause that users obey (PROTOCOL).
	maxRetryAfter = 30 * time.Second
	minRetryAfter = time.Second
)

// Decision is the answer to a submission.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // of a refusal: when the user may submit the job again
	Reason     Reason        // of a refusal
}

// Admit is the decision to admit a job.
var Admit = Decision{Admitted: true}

// Decide admits or refuses a job of a key by the policy alone. A refusal's RetryAfter is the time
// until the job's turn if the fraction stays the same, limited to minRetryAfter and maxRetryAfter.
func (p *Policy) Decide(k Key, job string) Decision {
	if !p.Overloaded() {
		return Admit
	}
	share := p.shareOf(k)
	if share.Fraction >= 1.0/windowSpan {
		return Admit // the windows of windowSpan policies cover the whole circle
	}
	ahead := wrap(position(job) - share.Offset) // distance from the start of the window to the job
	if ahead < share.Fraction || passedRecently(ahead, share.Fraction) {
		return Admit
	}
	policiesAhead := math.Floor(ahead / share.Fraction)
	wait := time.Duration(policiesAhead * float64(p.Interval))
	return Decision{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter), Reason: p.Reason}
}

// passedRecently reports whether a job was in the window of one of the windowSpan-1 previous
// policies, assuming that they had the same fraction.
func passedRecently(ahead, fraction float64) bool { return ahead >= 1-(windowSpan-1)*fraction }

// shareOf returns the share that applies to a key. Without one of its own, that is the share of the
// key's team with the smallest fraction, so that users gain nothing by new class names. If the team
// has no share at all, all its jobs are admitted: it has submitted little until now.
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

// position returns the position of a job on the circle that the windows move along, in [0, 1).
func position(job string) float64 {
	const bits = 53 // integers of this size are exact in a float64
	return float64(xxhash.Sum64String(job)>>(64-bits)) / (1 << bits)
}

// wrap reduces a number to a position on the circle: its fractional part, in [0, 1).
func wrap(x float64) float64 {
	x -= math.Floor(x)
	if x >= 1 {
		return 0 // the difference of a tiny negative number and its floor is rounded to 1
	}
	return x
}

// serviceSeconds is the run time, in seconds, that is assumed for each replica of a service, because
// it has no end of its own: it runs until the job is cancelled.
const serviceSeconds = 600

// JobCost returns the cost of a job: for how many seconds it would use the whole capacity of its
// dominant resource, where the state service's rate of jobs counts as a resource too. run is the
// expected run time of a task; services are charged serviceSeconds instead.
func JobCost(s *pipeline.Spec, run time.Duration, r Capacity) float64 {
	seconds := run.Seconds() * float64(s.Tasks)
	if s.Shape == pipeline.Service {
		seconds = serviceSeconds * float64(s.Tasks)
	}
	cost := 0.0
	for _, use := range [...]struct{ amount, rate float64 }{
		{s.CPUs * seconds, r.CPUs},
		{s.GPUs * seconds, r.GPUs},
		{s.MemGB * seconds, r.MemGB},
		{1, r.JobsPerSecond},
	} {
		if use.rate > 0 {
			cost = max(cost, use.amount/use.rate)
		}
	}
	return cost
}
