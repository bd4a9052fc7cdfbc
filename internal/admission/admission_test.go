package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

var start = time.Unix(5000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// randomDemands returns random demands of a few teams, and the teams' shares.
func randomDemands(rng *rand.Rand) (map[string]TeamShare, []Demand) {
	teams := map[string]TeamShare{}
	var demands []Demand
	for t := range 1 + rng.IntN(5) {
		team := fmt.Sprint("t", t)
		share := TeamShare{Weight: 0.5 + 3*rng.Float64()}
		if rng.IntN(3) == 0 {
			share.Guarantee = 0.3 * rng.Float64()
		}
		teams[team] = share
		for c := range 1 + rng.IntN(4) {
			key := Key{team, fmt.Sprint("c", c), pipeline.Priority(rng.IntN(4))}
			demands = append(demands, Demand{key, rng.Float64() * 0.6})
		}
	}
	return teams, demands
}

// teamSums returns each team's total demand and what it is given in total.
func teamSums(demands []Demand, given []float64) (want, got map[string]float64) {
	want, got = map[string]float64{}, map[string]float64{}
	for i, d := range demands {
		want[d.Team] += d.Rate
		got[d.Team] += given[i]
	}
	return want, got
}

// Floor and tolerance of TestAllocate.
const (
	testFloor = 0.01
	tolerance = 1e-6
)

// allocationResult holds the random demands of a seed and what Allocate gave them.
type allocationResult struct {
	*testing.T
	seed      uint64
	teams     map[string]TeamShare
	demands   []Demand
	given     []float64
	want, got map[string]float64 // totals by team
}

// Checks the rules of Allocate on random demands: no demand gets more than it asks for, no capacity is
// left while a demand is unmet, floors and guarantees come first, and higher priorities come first
// within a team. Beyond guarantee and floors, no team gets more in proportion to its weight than one
// with unmet demand. Guards against one team crowding out the others, and against unused capacity
// under overload.
func TestAllocate(t *testing.T) {
	for seed := range uint64(3000) {
		a := &allocationResult{T: t, seed: seed}
		a.teams, a.demands = randomDemands(rand.New(rand.NewPCG(seed, 9)))
		a.given = Allocate(1, testFloor, a.teams, a.demands)
		a.want, a.got = teamSums(a.demands, a.given)
		a.checkAmounts()
		a.checkGuarantees()
		a.checkWeights()
		a.checkPriorities()
	}
}

// checkAmounts checks that no demand gets more than it asks for or less than its floor, and that no
// capacity is left while a demand is unmet.
func (a *allocationResult) checkAmounts() {
	a.Helper()
	total := 0.0
	for i, d := range a.demands {
		total += d.Rate
		if a.given[i] > d.Rate+tolerance || a.given[i] < min(testFloor, d.Rate)-tolerance {
			a.Fatalf("seed %d: demand %+v is given %g", a.seed, d, a.given[i])
		}
	}
	if s := sum(a.given); s > 1+tolerance || s < min(1, total)-tolerance {
		a.Fatalf("seed %d: a total of %g is given for a total demand of %g", a.seed, s, total)
	}
}

// checkGuarantees checks that every team gets its guarantee if all guarantees and floors fit into the
// capacity.
func (a *allocationResult) checkGuarantees() {
	a.Helper()
	floors := map[string]float64{}
	for _, d := range a.demands {
		floors[d.Team] += min(testFloor, d.Rate)
	}
	guaranteed := 0.0
	for name, share := range a.teams {
		guaranteed += max(floors[name], min(share.Guarantee, a.want[name]))
	}
	for name, share := range a.teams {
		if guaranteed <= 1 && a.got[name] < min(share.Guarantee, a.want[name])-tolerance {
			a.Fatalf("seed %d: %s is given %g of its guarantee %g", a.seed, name, a.got[name], share.Guarantee)
		}
	}
}

// checkWeights checks that no team gets more in proportion to its weight than one with unmet demand,
// except through its guarantee and floors.
func (a *allocationResult) checkWeights() {
	a.Helper()
	for name, share := range a.teams {
		if a.want[name]-a.got[name] < tolerance {
			continue // its demand is met
		}
		for other, o := range a.teams {
			beyond := a.got[other] - max(o.Guarantee, 4*testFloor)
			if beyond > tolerance && a.got[other]/o.Weight > a.got[name]/share.Weight+tolerance {
				a.Fatalf("seed %d: %s has %g per unit of weight, but %s, which has unmet demand, only %g",
					a.seed, other, a.got[other]/o.Weight, name, a.got[name]/share.Weight)
			}
		}
	}
}

// checkPriorities checks that within a team a lower priority gets only its floor while a higher one
// has unmet demand.
func (a *allocationResult) checkPriorities() {
	a.Helper()
	for i, x := range a.demands {
		for k, y := range a.demands {
			if x.Team == y.Team && x.Priority < y.Priority && x.Rate-a.given[i] > tolerance && a.given[k] > testFloor+tolerance {
				a.Fatalf("seed %d: %+v is given %g while %+v has unmet demand", a.seed, y, a.given[k], x)
			}
		}
	}
}

// overloadPolicy returns a policy under overload with one share.
func overloadPolicy(number uint64, fraction, offset float64) Policy {
	return Policy{Term: 1, Number: number, Reason: Backlog, Interval: time.Second,
		Shares: []Share{{Key: Key{"a", "c", pipeline.Normal}, Fraction: fraction, Offset: offset}}}
}

// Every job gets its turn within 1/fraction policies, the turn lasts about windowSpan policies, and
// Retry-After points at it while the fraction stays the same. Guards against jobs that are refused
// forever, and against a Retry-After that misses the turn.
func TestEveryJobHasItsTurn(t *testing.T) {
	for _, fraction := range []float64{0.3, 0.1, 0.0137, 0.002} {
		bound := int(math.Ceil(1/fraction)) + 1
		for i := range 40 {
			job := fmt.Sprint("j-", i)
			turns := turnsOf(job, fraction, float64(i)/40, bound)
			if turns.first < 0 || turns.admitted < windowSpan-1 {
				t.Fatalf("fraction %g: %s was admitted by %d of %d policies", fraction, job, turns.admitted, bound)
			}
			if turns.predicted >= 0 && (turns.first < turns.predicted-1 || turns.first > turns.predicted+1) {
				t.Fatalf("fraction %g: Retry-After told %s to come at policy %d, but its turn was at %d",
					fraction, job, turns.predicted, turns.first)
			}
		}
	}
}

// admittedTurns records which of a series of policies admitted a job.
type admittedTurns struct {
	admitted  int // number of policies
	first     int // index of the first one; -1: none
	predicted int // index of the policy at which the first usable Retry-After points; -1: none
}

// turnsOf submits a job under successive policies with the same fraction.
func turnsOf(job string, fraction, offset float64, policies int) admittedTurns {
	t := admittedTurns{first: -1, predicted: -1}
	for n := range policies {
		p := overloadPolicy(uint64(n+1), fraction, offset)
		d := p.Decide(Key{"a", "c", pipeline.Normal}, job)
		switch {
		case d.Admitted && t.first < 0:
			t.first = n
			t.admitted++
		case d.Admitted:
			t.admitted++
		case t.predicted < 0 && t.first < 0 && d.RetryAfter < maxRetryAfter:
			t.predicted = n + int(d.RetryAfter/time.Second)
		}
		offset = wrap(offset + fraction)
	}
	return t
}

// A policy admits about windowSpan*fraction of all jobs. Guards against a hash that doesn't spread
// job ids evenly over the circle.
func TestFractionOfJobs(t *testing.T) {
	p := overloadPolicy(1, 0.05, 0.9)
	admitted := 0
	for i := range 20_000 {
		if p.Decide(Key{"a", "c", pipeline.Normal}, fmt.Sprintf("j-%06d", i)).Admitted {
			admitted++
		}
	}
	if part := float64(admitted) / 20_000; part < 0.05*windowSpan*0.9 || part > 0.05*windowSpan*1.1 {
		t.Fatalf("a part of %g of the jobs is admitted", part)
	}
}

// A class without a share gets the smallest one of its team, and a team without shares is admitted.
// Guards against users who evade a refusal by new class names.
func TestUnknownKeys(t *testing.T) {
	p := overloadPolicy(1, 0.002, 0)
	refused := 0
	for i := range 200 {
		k := Key{"a", fmt.Sprint("new-", i), pipeline.High}
		if !p.Decide(k, fmt.Sprint("j-", i)).Admitted {
			refused++
		}
	}
	if refused < 190 {
		t.Errorf("%d of 200 jobs of new classes are refused", refused)
	}
	if !p.Decide(Key{"b", "c", pipeline.Low}, "j-1").Admitted {
		t.Error("a team without a share is refused")
	}
}

// testGate returns the gate of a controller that can have 5 jobs per second stored.
func testGate(age time.Duration) *Gate {
	weights := map[string]float64{"b": 2}
	return NewGate(start, GateOptions{Teams: []string{"a", "b", "c"}, Weights: weights, JobsPerSecond: 5, PolicyAge: age})
}

// A policy that arrives late or twice, or comes from the leader of an older term, doesn't replace a
// newer one. Guards against controllers that keep giving different answers.
func TestOlderPoliciesAreNotTaken(t *testing.T) {
	g := testGate(time.Minute)
	for i, c := range []struct {
		policy  Policy
		applied bool
	}{
		{Policy{Term: 1, Number: 1}, true},
		{Policy{Term: 1, Number: 2}, true},
		{Policy{Term: 3, Number: 3}, true},
		{Policy{Term: 2, Number: 9}, false},
		{Policy{Term: 3, Number: 3}, false},
		{Policy{Term: 3, Number: 2}, false},
		{Policy{Term: 4, Number: 4}, true},
	} {
		if applied := g.Apply(at(time.Duration(i)), c.policy); applied != c.applied {
			t.Errorf("term %d, policy %d: Apply returned %v", c.policy.Term, c.policy.Number, applied)
		}
	}
	if p := g.Policy(); p.Term != 4 || p.Number != 4 {
		t.Errorf("the current policy is %+v", p)
	}
}

// If the policy isn't confirmed for PolicyAge, the gate moves its windows by the controller's own clock
// until the policy is confirmed again. Guards against jobs that a controller refuses for as long as it
// is cut off.
func TestFallback(t *testing.T) {
	g := testGate(10 * time.Second)
	g.Apply(start, overloadPolicy(1, 0.02, 0))
	spec := &pipeline.Spec{Team: "a", Class: "c", Priority: pipeline.Normal, Tasks: 1, CPUs: 1}
	if g.InFallback(at(9 * time.Second)) {
		t.Fatal("the fallback begins too early")
	}
	turns := 0
	for second := range 70 {
		now := at(11*time.Second + time.Duration(second)*time.Second)
		if !g.InFallback(now) {
			t.Fatal("no fallback although the policy is too old")
		}
		if g.effectivePolicy(now).Decide(Key{spec.Team, spec.Class, spec.Priority}, "j-1").Admitted {
			turns++
		}
	}
	if turns < windowSpan {
		t.Fatalf("the job was admitted in %d of 70 s at a fraction of 2%% per second", turns)
	}
	if g.Apply(at(90*time.Second), overloadPolicy(1, 0.02, 0)); g.InFallback(at(91 * time.Second)) {
		t.Fatal("a confirmation of the policy doesn't end the fallback")
	}
}

// When one team submits a thousand jobs per second to one controller, the other teams keep their part
// before any policy takes the surge into account. Guards against one team filling the queue within a
// second.
func TestThousandJobsInASecond(t *testing.T) {
	g := testGate(time.Minute)
	admitted := map[string]int{}
	submit := func(now time.Time, team string, n int) {
		for i := range n {
			spec := &pipeline.Spec{Team: team, Class: "c", Tasks: 1, CPUs: 1}
			if g.Decide(now, Submission{Job: fmt.Sprint("j-", team, now.Sub(start), i), Spec: spec}).Admitted {
				admitted[team]++
			}
		}
	}
	for second := range 40 {
		now := at(time.Duration(second) * time.Second)
		submit(now, "b", 1)
		submit(now, "c", 1)
		if second >= 20 {
			submit(now, "a", 1000)
		}
	}
	if admitted["b"] != 40 || admitted["c"] != 40 {
		t.Errorf("%d and %d of 40 jobs of the small teams are admitted", admitted["b"], admitted["c"])
	}
	if limit := 20*5 + 2*20; admitted["a"] < 20 || admitted["a"] > limit {
		t.Errorf("%d jobs of the surge are admitted in 20 s at 5 jobs per second", admitted["a"])
	}
	if n := len(g.CollectCounts(at(time.Minute)).Counts); n != 3 {
		t.Errorf("%d counts for 3 keys", n)
	}
}

// The number of counts stays bounded when each job has a class of its own, and no submission is left
// out. Guards against memory and messages that grow with the class names that users choose.
func TestCountsAreBounded(t *testing.T) {
	g := testGate(time.Minute)
	for i := range 5000 {
		spec := &pipeline.Spec{Team: []string{"a", "b"}[i%2], Class: fmt.Sprint("class-", i), Tasks: 1}
		g.Decide(start, Submission{Job: fmt.Sprint("j-", i), Spec: spec})
	}
	counts := g.CollectCounts(at(time.Second)).Counts
	offered := 0
	for _, c := range counts {
		offered += c.Offered
	}
	if len(counts) > 2*(maxKeysPerTeam+1) || offered != 5000 {
		t.Fatalf("%d counts with a total of %d jobs", len(counts), offered)
	}
}

// plannerOptions returns the options for a deployment with one team.
func plannerOptions(enter, exit time.Duration) PlannerOptions {
	return PlannerOptions{Quotas: map[string]placement.Quota{"a": {}}, EnterBacklog: enter, ExitBacklog: exit,
		Interval: time.Second, Floor: 0.02}
}

// oneSecond returns the batch of one controller over a second with a single count.
func oneSecond(count Count) []Batch { return []Batch{{Period: time.Second, Counts: []Count{count}}} }

// A new leader continues from the stored policy, only one policy per term is stored without overload,
// and overload begins and ends at different thresholds. Guards against a takeover that admits
// everything, against needless writes, and against refusals that flap with every measurement.
func TestPlannerTermsAndMarks(t *testing.T) {
	options := plannerOptions(2*time.Minute, time.Minute)
	p := NewPlanner(start, options, 1, Policy{})
	now := start
	stored := 0
	plan := func(backlog time.Duration, cost float64) Policy {
		now = now.Add(time.Second)
		count := Count{Key: Key{"a", "c", pipeline.Normal}, Offered: 1, Admitted: 1,
			OfferedCost: cost, AdmittedCost: cost * 0.3}
		policy, changed := p.Plan(now, Load{Capacity: Capacity{CPUs: 100, JobsPerSecond: 50}, Backlog: backlog, Batches: oneSecond(count)})
		if changed {
			stored++
		}
		return policy
	}
	for range 30 {
		plan(time.Second, 0.2)
	}
	if stored != 1 {
		t.Fatalf("%d policies were stored without overload", stored)
	}
	for range 20 {
		plan(90*time.Second, 3)
	}
	if policy := p.Policy(); policy.Overloaded() {
		t.Fatal("overloaded below the threshold")
	}
	if first, second := plan(121*time.Second, 3), plan(90*time.Second, 3); !first.Overloaded() || !second.Overloaded() {
		t.Fatal("overload doesn't begin above the upper threshold, or ends above the lower one")
	}
	last := p.Policy()
	p = NewPlanner(now, options, 2, last)
	next := plan(90*time.Second, 3)
	if !next.Overloaded() || !next.NewerThan(&last) || next.Number != last.Number+1 || len(next.Shares) != 1 {
		t.Fatalf("the next leader continues from %+v with %+v", last, next)
	}
	for range 60 {
		plan(10*time.Second, 0.1)
	}
	if policy := p.Policy(); policy.Overloaded() {
		t.Fatal("overload never ends")
	}
}

// The rate of submissions alone can cause overload. Guards against flooding the state service with
// jobs for which there are enough machines.
func TestOverloadByWrites(t *testing.T) {
	options := plannerOptions(time.Hour, time.Minute)
	options.Floor = 0
	p := NewPlanner(start, options, 1, Policy{})
	count := Count{Key: Key{"a", "c", pipeline.Normal}, Offered: 100, OfferedCost: 10, AdmittedCost: 1}
	for i := range 20 {
		now := at(time.Duration(i+1) * time.Second)
		p.Plan(now, Load{Capacity: Capacity{CPUs: 1e6, JobsPerSecond: 10}, Batches: oneSecond(count)})
	}
	policy := p.Policy()
	if policy.Reason != Writes || !slices.ContainsFunc(policy.Shares, func(s Share) bool { return s.Fraction < 1 }) {
		t.Fatalf("the policy after 20 s at 100 jobs per second, with a limit of 10: %+v", policy)
	}
}

// Under overload each window begins where the previous one ends, also across a takeover. Guards
// against gaps between windows: jobs in them wouldn't get their turn.
func TestWindowsFollowEachOther(t *testing.T) {
	options := plannerOptions(time.Minute, time.Second)
	rng := rand.New(rand.NewPCG(5, 5))
	p := NewPlanner(start, options, 1, Policy{})
	var last Share
	moved := 0.0
	for second := range 300 {
		if second == 150 {
			p = NewPlanner(at(time.Duration(second)*time.Second), options, 2, p.Policy())
		}
		taken := 2 * last.Fraction * (0.5 + rng.Float64())
		count := Count{Key: Key{"a", "c", pipeline.Normal}, Offered: 20,
			OfferedCost: 8 * (0.5 + rng.Float64()), AdmittedCost: taken}
		load := Load{Capacity: Capacity{CPUs: 100}, Backlog: 2 * time.Minute, Batches: oneSecond(count)}
		policy, _ := p.Plan(at(time.Duration(second+1)*time.Second), load)
		if len(policy.Shares) != 1 {
			t.Fatalf("second %d: not one share: %+v", second, policy)
		}
		next := policy.Shares[0]
		if last.Fraction > 0 && last.Fraction < 1 {
			if want := wrap(last.Offset + last.Fraction); math.Abs(next.Offset-want) > 1e-9 {
				t.Fatalf("second %d: a window of length %g at %g is followed by one at %g", second, last.Fraction, last.Offset, next.Offset)
			}
			moved += last.Fraction
		}
		last = next
	}
	if moved < 1 {
		t.Errorf("the windows went round the circle only %g times", moved)
	}
}
