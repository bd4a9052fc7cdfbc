package simulation

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// faultScenario is a row of a table of scenarios: a script whose faults coincide in a world.
type faultScenario struct {
	name string
	// digestLabel is the scenario's name in testdata/output_digests.txt, if the scenario was
	// renamed since that file was written.
	digestLabel  string
	randomFaults bool             // every other world has random faults too
	length       time.Duration    // Options.Length, if not the default
	alter        func(o *Options) // if set, changes the options of the world
	script       func(s *script)
	// least is how often events have to occur over all seeds; with fewer, the scenario proves
	// nothing.
	least eventCounts
}

// seedsPerScenario is how many worlds of each scenario a test plays.
const seedsPerScenario = 4

// firstScenarioSeed is added to the seeds of all scenarios.
const firstScenarioSeed = 9000

// options returns the options of the scenario's world with a seed.
func (scenario *faultScenario) options(seed uint64) Options {
	o := randomOptions(firstScenarioSeed+seed, scenario.randomFaults && seed%2 == 1)
	o.Jobs = 0
	if scenario.length > 0 {
		o.Length = scenario.length
	}
	if scenario.alter != nil {
		scenario.alter(&o)
	}
	return o
}

// refusedLeaderThenOutage has the state service refuse the leader alone, and the next leader
// confirm a cancellation to its user. Then startOutage has the state service fail for all nodes,
// while the workers send their heartbeats to the old leader.
func refusedLeaderThenOutage(s *script, at time.Duration, startOutage func(s *script)) {
	outage := func(old *node) {
		s.count("outage after confirmation by the next leader")
		s.countCancelledWithTasks()
		startOutage(s)
		s.sendHeartbeatsTo(old, 2*s.w.options.CancelWithin)
	}
	s.at(at, func() {
		s.onceLeader(func(old *node) {
			s.refuseNode(old, s.between(20*time.Second, 70*time.Second))
			s.onceNextLeader(old, func(*node) {
				s.at(s.between(0, 3*time.Second), func() { s.afterNextConfirmation(func() { outage(old) }) })
			})
		})
	})
}

// afterNextConfirmation has jobs cancelled, and runs fn within a second of the first confirmation
// to a user.
func (s *script) afterNextConfirmation(fn func()) {
	before := s.counts["cancellations confirmed"]
	s.cancelNow(3, 0)
	s.when(func() bool { return s.counts["cancellations confirmed"] > before }, func() {
		s.at(s.between(0, time.Second), fn)
	})
}

// countCancelledWithTasks counts the jobs whose users know that they are cancelled and that still
// have tasks on machines.
func (s *script) countCancelledWithTasks() {
	for _, j := range s.w.sortedJobs() {
		if j.reportedPhase == pipeline.Cancelled && s.taskCount(j) > 0 {
			s.count("cancelled jobs with tasks as the outage began")
		}
	}
}

// sendHeartbeatsTo directs the heartbeats of all workers to one node for some time.
func (s *script) sendHeartbeatsTo(n *node, d time.Duration) {
	for at := time.Duration(0); at < d; at += time.Second {
		s.at(at, func() {
			for _, m := range s.w.sortedMachines() {
				m.target = slices.Index(s.w.nodes, n)
				s.count("workers directed to the old leader")
			}
		})
	}
}

// limitTeams gives each team a limit low enough for long jobs to reach it.
func limitTeams(s *script) {
	for _, t := range []string{"red", "blue", "green"} {
		s.w.teams[t] = placement.Quota{CPULimit: 10, GPULimit: 4}
	}
}

// teamAtLimit tells whether a team's limit has no room for another task of two CPUs.
func (s *script) teamAtLimit(team string) bool {
	cpus, _ := s.w.checker.ledger.teamUse(team)
	return !s.w.teams[team].Within(cpus+2, 0)
}

// crashLeaderRepeatedly crashes the leader at regular intervals. It is down for a random time from
// lo to hi.
func crashLeaderRepeatedly(s *script, from, period time.Duration, lo, hi time.Duration) {
	s.every(from, period, func() { s.crashLeaderFor(lo, hi) })
}

// cancelShare has a share of the users cancel their jobs at a random time up to within after their
// acceptance.
func cancelShare(s *script, share float64, within time.Duration) {
	s.onAccepted = append(s.onAccepted, func(j *userJob) {
		if s.chance(share) {
			s.count("cancellations requested")
			s.at(s.between(0, within), j.cancel)
		}
	})
}

// whenJobEnds calls fn for a share of the accepted jobs, at the moment their last task completes.
func whenJobEnds(s *script, share float64, fn func(j *userJob)) {
	s.onEnded = append(s.onEnded, func(j *userJob) {
		if j.accepted && s.chance(share) {
			s.count("job ends met")
			fn(j)
		}
	})
}

// TestFaultScenarios plays the fault scenarios, in which faults coincide at critical moments.
func TestFaultScenarios(t *testing.T) {
	for i := range faultScenarios {
		scenario := &faultScenarios[i]
		t.Run(scenario.name, func(t *testing.T) { scenario.playAll(t, uint64(i)*100) })
	}
}

// playAll plays all worlds of a scenario. It fails if the scenario's events occurred too rarely,
// since the scenario then proves nothing.
func (scenario *faultScenario) playAll(t *testing.T, firstSeed uint64) {
	t.Helper()
	counts := eventCounts{}
	for seed := range uint64(seedsPerScenario) {
		scenario.play(t, firstSeed+seed, counts, false)
	}
	counts.requireAtLeast(t, scenario.least)
	t.Log(counts)
}

// play plays one world of a scenario, checks every invariant after each step, and expects all jobs
// to end. It adds the world's events to the counts.
func (scenario *faultScenario) play(t *testing.T, seed uint64, counts eventCounts, trace bool) {
	t.Helper()
	o := scenario.options(seed)
	o.Standby = o.Standby || os.Getenv("SIMULATION_STANDBY") != ""
	w := NewWorld(o)
	s := newScript(w)
	scenario.script(s)
	if trace {
		w.Trace = func(at time.Duration, node string, line core.LogRecord) {
			t.Log(at.Seconds(), node, line.Event, line.Attrs)
		}
	}
	if err := w.Run(); err != nil {
		t.Error(err)
		return
	}
	counts.addAll(s.counts)
	if w.standbys != nil {
		counts.addAll(w.standbys.counts)
	}
	if w.drains != nil {
		counts.addAll(w.drains.counts)
	}
	counts["starts after a confirmed cancellation"] += w.checker.ledger.startsAfterCancellation
	for _, j := range s.w.sortedJobs() {
		switch {
		case !j.accepted:
			t.Errorf("seed %d: %s was never accepted", w.options.Seed, j.spec.Ref)
		case j.reportedPhase == pipeline.Active:
			t.Errorf("seed %d: %s never ended: %+v", w.options.Seed, j.spec.Ref, j.spec)
		}
	}
}

// TestFaultScenarioSeeds plays as many worlds of each fault and drain scenario as
// SIMULATION_FAULT_SCENARIOS says, beginning with the seed SIMULATION_FROM. It is for longer runs
// than the other tests have time for.
func TestFaultScenarioSeeds(t *testing.T) {
	n, err := strconv.ParseUint(os.Getenv("SIMULATION_FAULT_SCENARIOS"), 10, 64)
	if err != nil {
		t.Skip("SIMULATION_FAULT_SCENARIOS gives no number")
	}
	from, _ := strconv.ParseUint(os.Getenv("SIMULATION_FROM"), 10, 64)
	all := append(slices.Clone(faultScenarios), withDrains(drainScenarios)...)
	for i := range all {
		t.Run(all[i].name, func(t *testing.T) {
			t.Parallel()
			for k := range n {
				all[i].play(t, from+k, eventCounts{}, os.Getenv("SIMULATION_TRACE") != "")
			}
		})
	}
}
