package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// newTwoTeamHarness makes a leader with one machine of eight CPUs, a backlog of team "large", and a
// single job of team "small" that was submitted after all of it.
func newTwoTeamHarness(t *testing.T, order FairOrderChanged) *harness {
	cfg := testConfig()
	cfg.Teams = map[string]placement.Quota{"large": {}, "small": {}}
	var jobs []StoredJob
	for i := range 30 {
		j := job(fmt.Sprintf("j-%06d", i), 4)
		j.Record.Spec.Team, j.Record.SubmittedMS = "large", int64(1000+i)
		jobs = append(jobs, j)
	}
	late := job("j-900000", 4)
	late.Record.Spec.Team, late.Record.SubmittedMS = "small", 5000
	b := newHarnessWith(t, cfg, 2, Snapshot{Jobs: append(jobs, late)})
	b.e.Step(b.now, order)
	b.up("m-1")
	b.pass(6*time.Second, true)
	return b
}

// Without fair order, a small team's job waits behind the backlog of a large team of the same
// urgency, since it was submitted last. With it, as under overload, the job is among the first to
// be placed.
func TestFairOrder(t *testing.T) {
	for _, on := range []bool{false, true} {
		b := newTwoTeamHarness(t, FairOrderChanged{On: on})
		placed := b.e.jobs.get("j-900000").Count(pipeline.Assigned) > 0
		if placed != on {
			t.Errorf("fair order %v: the small team's job placed: %v", on, placed)
		}
	}
}

// With weights, fair order keeps each team's own order, loses no entry, and moves none past jobs of
// another urgency or past starving jobs.
func TestFairOrderKeepsAll(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		b := newTwoTeamHarness(t, FairOrderChanged{On: true, Weights: map[string]float64{"large": 2}})
		var in []prioritized
		for i := range 40 {
			j := job(fmt.Sprintf("j-%06d", i), 1+rng.IntN(5))
			j.Record.Spec.Team = []string{"large", "small"}[rng.IntN(2)]
			p, err := pipeline.NewJob(j.Record, 1, nil)
			if err != nil {
				t.Fatal(err)
			}
			p.Urgency = pipeline.Priority(i / 10)
			in = append(in, prioritized{QueueEntry: placement.QueueEntry{Job: p, MaxTasks: len(p.Tasks)}, starving: i%10 == 0})
		}
		out := append([]prioritized(nil), in...)
		b.e.orderFairly(out)
		last := map[string]string{}
		seen := map[string]bool{}
		for i, entry := range out {
			j := entry.Job
			if j.Urgency != in[i].Job.Urgency || entry.starving != in[i].starving {
				t.Fatalf("seed %d: place %d has an entry of another group", seed, i)
			}
			if j.Ref < last[j.Team] {
				t.Fatalf("seed %d: %s after %s of the same team", seed, j.Ref, last[j.Team])
			}
			last[j.Team] = j.Ref
			seen[j.Ref] = true
		}
		if len(seen) != len(in) {
			t.Fatalf("seed %d: %d of %d entries", seed, len(seen), len(in))
		}
	}
}
