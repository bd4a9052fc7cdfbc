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

// randomDemands returns demands of a few teams, and the teams' shares.
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

// teamSums returns what each team asks for and what it is given.
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

// allocated is what Allocate has given for random demands of a seed.
type allocated struct {
	*testing.T
	seed      uint64
	teams     map[string]TeamShare
	demands   []Demand
	given     []float64
	want, got map[string]float64 // by team
}

// An allocation gives nobody more than it asks for, leaves nothing while somebody asks for it, gives
// floors and guarantees first and the higher priorities of a team first, and gives no team more for
// its weight, beyond guarantee and floors, than one whose demand isn't met. It guards against a team
// that floods the others, and against capacity that is left unused under overload.
func TestAllocate(t *testing.T) {
	for seed := range uint64(3000) {
		a := &allocated{T: t, seed: seed}
		a.teams, a.demands = randomDemands(rand.New(rand.NewPCG(seed, 9)))
		a.given = Allocate(1, testFloor, a.teams, a.demands)
		a.want, a.got = teamSums(a.demands, a.given)
		a.checkAmounts()
		a.checkGuarantees()
		a.checkWeights()
		a.checkPriorities()
	}
}

// checkAmounts checks that nobody gets more than it asks for or less than its floor, and nothing is left.
func (a *allocated) checkAmounts() {
	a.Helper()
	total := 0.0
	for i, d := range a.demands {
		total += d.Rate
		if a.given[i] > d.Rate+tolerance || a.given[i] < min(testFloor, d.Rate)-tolerance {
			a.Fatalf("seed %d: %+v is given %g", a.seed, d, a.given[i])
		}
	}
	if s := sum(a.given); s > 1+tolerance || s < min(1, total)-tolerance {
		a.Fatalf("seed %d: %g given of a demand of %g", a.seed, s, total)
	}
}

// checkGuarantees checks that all guarantees are kept if they fit together with the floors.
func (a *allocated) checkGuarantees() {
	a.Helper()
	floors := map[string]float64{}
	for _, d := range a.demands {
		floors[d.Team] += min(testFloor, d.Rate)
	}
	promised := 0.0
	for name, share := range a.teams {
		promised += max(floors[name], min(share.Guarantee, a.want[name]))
	}
	for name, share := range a.teams {
		if promised <= 1 && a.got[name] < min(share.Guarantee, a.want[name])-tolerance {
			a.Fatalf("seed %d: %s is given %g of its guarantee %g", a.seed, name, a.got[name], share.Guarantee)
		}
	}
}

// checkWeights checks that no team has more for its weight than one whose demand isn't met, except by
// its guarantee and floors.
func (a *allocated) checkWeights() {
	a.Helper()
	for name, share := range a.teams {
		if a.want[name]-a.got[name] < tolerance {
			continue // it has all it wants
		}
		for other, o := range a.teams {
			beyond := a.got[other] - max(o.Guarantee, 4*testFloor)
			if beyond > tolerance && a.got[other]/o.Weight > a.got[name]/share.Weight+tolerance {
				a.Fatalf("seed %d: %s has %g for its weight, and %s, which asks for more, %g",
					a.seed, other, a.got[other]/o.Weight, name, a.got[name]/share.Weight)
			}
		}
	}
}

// checkPriorities checks that within a team only floors go to a lower priority while the demand of a
// higher one isn't met.
func (a *allocated) checkPriorities() {
	a.Helper()
	for i, x := range a.demands {
		for k, y := range a.demands {
			if x.Team == y.Team && x.Priority < y.Priority && x.Rate-a.given[i] > tolerance && a.given[k] > testFloor+tolerance {
				a.Fatalf("seed %d: %+v is given %g while %+v lacks some", a.seed, y, a.given[k], x)
			}
		}
	}
}

// overloaded returns a policy that admits a fraction of one key.
func overloaded(number uint64, fraction, offset float64) Policy {
	return Policy{Term: 1, Number: number, Reason: Backlog, Interval: time.Second,
		Shares: []Share{{Key: Key{"a", "c", pipeline.Normal}, Fraction: fraction, Offset: offset}}}
}

// Every job has its turn within as many policies as the fraction goes into 1, the turn lasts windowSpan
// policies, and Retry-After names it while the fraction stays. It guards against jobs that are refused
// for good, and against users who are told to come at the wrong time.
func TestEveryJobHasItsTurn(t *testing.T) {
	for _, fraction := range []float64{0.3, 0.1, 0.0137, 0.002} {
		bound := int(math.Ceil(1/fraction)) + 1
		for i := range 40 {
			job := fmt.Sprint("j-", i)
			turns := turnsOf(job, fraction, float64(i)/40, bound)
			if turns.first < 0 || turns.admitted < windowSpan-1 {
				t.Fatalf("fraction %g: %s had %d turns in %d policies", fraction, job, turns.admitted, bound)
			}
			if turns.promised >= 0 && (turns.first < turns.promised-1 || turns.first > turns.promised+1) {
				t.Fatalf("fraction %g: %s was told to come at policy %d, and had its turn at %d",
					fraction, job, turns.promised, turns.first)
			}
		}
	}
}

// turns are the policies under which a job was admitted.
type turns struct {
	admitted int // how many
	first    int // the first of them; -1: none
	promised int // the one that Retry-After first pointed at; -1: none
}

// turnsOf submits a job under successive policies with the same fraction.
func turnsOf(job string, fraction, offset float64, policies int) turns {
	t := turns{first: -1, promised: -1}
	for n := range policies {
		p := overloaded(uint64(n+1), fraction, offset)
		d := p.Decide(Key{"a", "c", pipeline.Normal}, job)
		switch {
		case d.Admitted && t.first < 0:
			t.first = n
			t.admitted++
		case d.Admitted:
			t.admitted++
		case t.promised < 0 && t.first < 0 && d.RetryAfter < maxRetryAfter:
			t.promised = n + int(d.RetryAfter/time.Second)
		}
		offset = wrap(offset + fraction)
	}
	return t
}

// A policy admits about windowSpan times the fraction of the jobs, whatever their ids. It guards against
// positions that aren't spread evenly over the circle.
func TestFractionOfJobs(t *testing.T) {
	p := overloaded(1, 0.05, 0.9)
	admitted := 0
	for i := range 20_000 {
		if p.Decide(Key{"a", "c", pipeline.Normal}, fmt.Sprintf("j-%06d", i)).Admitted {
			admitted++
		}
	}
	if part := float64(admitted) / 20_000; part < 0.05*windowSpan*0.9 || part > 0.05*windowSpan*1.1 {
		t.Fatalf("%g of the jobs are admitted", part)
	}
}

// A class that the policy doesn't know has the smallest share of its team, and a team that it doesn't
// know is admitted. It guards against users who evade a refusal by new names.
func TestUnknownKeys(t *testing.T) {
	p := overloaded(1, 0.002, 0)
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

func gate(age time.Duration) *Gate {
	weights := map[string]float64{"b": 2}
	return NewGate(start, GateOptions{Teams: []string{"a", "b", "c"}, Weights: weights, Jobs: 5, PolicyAge: age})
}

// A policy that arrives late or twice, or comes from a leader of an older term, doesn't replace a newer
// one. It guards against controllers that give different answers.
func TestOlderPoliciesAreNotTaken(t *testing.T) {
	g := gate(time.Minute)
	for i, c := range []struct {
		policy Policy
		taken  bool
	}{
		{Policy{Term: 1, Number: 1}, true},
		{Policy{Term: 1, Number: 2}, true},
		{Policy{Term: 3, Number: 3}, true},
		{Policy{Term: 2, Number: 9}, false},
		{Policy{Term: 3, Number: 3}, false},
		{Policy{Term: 3, Number: 2}, false},
		{Policy{Term: 4, Number: 4}, true},
	} {
		if taken := g.Apply(at(time.Duration(i)), c.policy); taken != c.taken {
			t.Errorf("policy %d.%d: taken %v", c.policy.Term, c.policy.Number, taken)
		}
	}
	if p := g.Policy(); p.Term != 4 || p.Number != 4 {
		t.Errorf("%+v is applied", p)
	}
}

// A policy that wasn't confirmed for longer than its age is moved on by the controller's own clock, until
// it is confirmed again. It guards against jobs that a controller refuses for good while it is cut off.
func TestFallback(t *testing.T) {
	g := gate(10 * time.Second)
	g.Apply(start, overloaded(1, 0.02, 0))
	spec := &pipeline.Spec{Team: "a", Class: "c", Priority: pipeline.Normal, Tasks: 1, CPUs: 1}
	if g.Fallback(at(9 * time.Second)) {
		t.Fatal("too early")
	}
	turns := 0
	for second := range 70 {
		now := at(11*time.Second + time.Duration(second)*time.Second)
		if !g.Fallback(now) {
			t.Fatal("the policy is still relied on")
		}
		if g.effective(now).Decide(Key{spec.Team, spec.Class, spec.Priority}, "j-1").Admitted {
			turns++
		}
	}
	if turns < windowSpan {
		t.Fatalf("the job had %d turns within 70 s at 2%% each second", turns)
	}
	if g.Apply(at(90*time.Second), overloaded(1, 0.02, 0)); g.Fallback(at(91 * time.Second)) {
		t.Fatal("news of the same policy doesn't end the fallback")
	}
}

// A thousand jobs of one team in a second at one controller leave the other teams their part before any
// policy knows of the surge. It guards against a queue that one team fills within a second.
func TestThousandJobsInASecond(t *testing.T) {
	g := gate(time.Minute)
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
		t.Errorf("the small teams got %d and %d of 40 jobs", admitted["b"], admitted["c"])
	}
	if limit := 20*5 + 2*20; admitted["a"] < 20 || admitted["a"] > limit {
		t.Errorf("the flood got %d jobs in, in 20 s at 5 a second", admitted["a"])
	}
	if n := len(g.CollectCounts(at(time.Minute)).Counts); n != 3 {
		t.Errorf("%d counts", n)
	}
}

// The number of counts is bounded by teams and classes, and no submission is missing. It guards against
// memory and messages that grow with the names that users choose.
func TestCountsAreBounded(t *testing.T) {
	g := gate(time.Minute)
	for i := range 5000 {
		spec := &pipeline.Spec{Team: []string{"a", "b"}[i%2], Class: fmt.Sprint("class-", i), Tasks: 1}
		g.Decide(start, Submission{Job: fmt.Sprint("j-", i), Spec: spec})
	}
	counts := g.CollectCounts(at(time.Second)).Counts
	offered := 0
	for _, c := range counts {
		offered += c.Offered
	}
	if len(counts) > 2*(maxClassesPerTeam+1) || offered != 5000 {
		t.Fatalf("%d counts of %d jobs", len(counts), offered)
	}
}

// plannerOptions returns options of a deployment with one team.
func plannerOptions(enter, exit time.Duration) PlannerOptions {
	return PlannerOptions{Teams: map[string]placement.Quota{"a": {}}, EnterBacklog: enter, ExitBacklog: exit,
		Interval: time.Second, Floor: 0.02}
}

// oneSecond returns what one controller has counted in a second.
func oneSecond(count Count) []Batch { return []Batch{{Period: time.Second, Counts: []Count{count}}} }

// A new leader goes on from the stored policy, a policy is stored once a term without overload, and
// overload begins and ends at different marks. It guards against a takeover that admits everything, and
// against writes and refusals that come and go with every measurement.
func TestPlannerTermsAndMarks(t *testing.T) {
	options := plannerOptions(2*time.Minute, time.Minute)
	p := NewPlanner(start, options, 1, Policy{})
	now := start
	stored := 0
	plan := func(backlog time.Duration, cost float64) Policy {
		now = now.Add(time.Second)
		count := Count{Key: Key{"a", "c", pipeline.Normal}, Offered: 1, Admitted: 1,
			OfferedCost: cost, AdmittedCost: cost * 0.3}
		policy, changed := p.Plan(now, Load{Rates: Rates{CPUs: 100, Jobs: 50}, Backlog: backlog, Batches: oneSecond(count)})
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
		t.Fatal("overloaded below the mark")
	}
	if first, second := plan(121*time.Second, 3), plan(90*time.Second, 3); !first.Overloaded() || !second.Overloaded() {
		t.Fatal("not overloaded at the mark, or left above the lower one")
	}
	last := p.Policy()
	p = NewPlanner(now, options, 2, last)
	next := plan(90*time.Second, 3)
	if !next.Overloaded() || !next.Newer(&last) || next.Number != last.Number+1 || len(next.Shares) != 1 {
		t.Fatalf("the next leader goes on from %+v with %+v", last, next)
	}
	for range 60 {
		plan(10*time.Second, 0.1)
	}
	if policy := p.Policy(); policy.Overloaded() {
		t.Fatal("overload never ends")
	}
}

// The rate of submissions alone can overload the deployment. It guards against a state service that is
// flooded by jobs for which there are machines enough.
func TestOverloadByWrites(t *testing.T) {
	options := plannerOptions(time.Hour, time.Minute)
	options.Floor = 0
	p := NewPlanner(start, options, 1, Policy{})
	count := Count{Key: Key{"a", "c", pipeline.Normal}, Offered: 100, OfferedCost: 10, AdmittedCost: 1}
	for i := range 20 {
		now := at(time.Duration(i+1) * time.Second)
		p.Plan(now, Load{Rates: Rates{CPUs: 1e6, Jobs: 10}, Batches: oneSecond(count)})
	}
	policy := p.Policy()
	if policy.Reason != Writes || !slices.ContainsFunc(policy.Shares, func(s Share) bool { return s.Fraction < 1 }) {
		t.Fatalf("%+v", policy)
	}
}

// Under overload each window begins where the one before ends, also over a takeover. It guards against
// jobs in a gap between windows, which would never have their turn.
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
		load := Load{Rates: Rates{CPUs: 100}, Backlog: 2 * time.Minute, Batches: oneSecond(count)}
		policy, _ := p.Plan(at(time.Duration(second+1)*time.Second), load)
		if len(policy.Shares) != 1 {
			t.Fatalf("second %d: %+v", second, policy)
		}
		next := policy.Shares[0]
		if last.Fraction > 0 && last.Fraction < 1 {
			if want := wrap(last.Offset + last.Fraction); math.Abs(next.Offset-want) > 1e-9 {
				t.Fatalf("second %d: a window of %g at %g is followed by one at %g", second, last.Fraction, last.Offset, next.Offset)
			}
			moved += last.Fraction
		}
		last = next
	}
	if moved < 1 {
		t.Errorf("the windows went round %g times only", moved)
	}
}
