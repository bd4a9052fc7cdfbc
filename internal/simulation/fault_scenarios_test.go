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

// faultScenario is a row of a table of scenarios: faults that meet in a world.
type faultScenario struct {
	name string
	// digestLabel is the name in testdata/output_digests.txt, if the scenario was renamed since that file was written.
	digestLabel  string
	randomFaults bool             // every other seed has random faults besides
	length       time.Duration    // of the world, if it isn't the usual one
	alter        func(o *Options) // changes the world's options, if set
	script       func(s *script)
	// least is how often events have to come about over all seeds for the row to prove anything.
	least eventCounts
}

// seedsPerScenario is how many worlds each scenario has.
const seedsPerScenario = 4

// firstScenarioSeed is where the seeds of scenarios begin.
const firstScenarioSeed = 9000

func (m *faultScenario) options(seed uint64) Options {
	o := randomOptions(firstScenarioSeed+seed, m.randomFaults && seed%2 == 1)
	o.Jobs = 0
	if m.length > 0 {
		o.Length = m.length
	}
	if m.alter != nil {
		m.alter(&o)
	}
	return o
}

// refusedLeaderThenOutage has the state service refuse the leader alone, and the next leader confirm cancellations to
// users. Then the state service is out for all, while the workers keep sending their heartbeats to the old leader.
func refusedLeaderThenOutage(s *script, at time.Duration, out func(s *script)) {
	outage := func(old *node) {
		s.count("outage after confirmation by the next leader")
		s.countCancelledWithTasks()
		out(s)
		s.sendHeartbeatsTo(old, 2*s.w.options.CancelWithin)
	}
	s.at(at, func() {
		s.onceLeader(func(old *node) {
			s.refuse(old, s.between(20*time.Second, 70*time.Second))
			s.onceNextLeader(old, func(*node) {
				s.at(s.between(0, 3*time.Second), func() { s.afterNextConfirmation(func() { outage(old) }) })
			})
		})
	})
}

// afterNextConfirmation has jobs cancelled, and does something within a second of the first confirmation that a user
// gets.
func (s *script) afterNextConfirmation(fn func()) {
	before := s.counts["cancellations confirmed"]
	s.cancelNow(3, 0)
	s.when(func() bool { return s.counts["cancellations confirmed"] > before }, func() {
		s.at(s.between(0, time.Second), fn)
	})
}

// countCancelledWithTasks counts the jobs that are cancelled, as their users know, and still have tasks on machines.
func (s *script) countCancelledWithTasks() {
	for _, j := range s.w.sortedJobs() {
		if j.reportedPhase == pipeline.Cancelled && s.tasksOf(j) > 0 {
			s.count("cancelled jobs with tasks as the outage began")
		}
	}
}

// sendHeartbeatsTo has all workers send their heartbeats to one node for some time.
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

// limitTeams gives each team a limit that long jobs fill.
func limitTeams(s *script) {
	for _, t := range []string{"red", "blue", "green"} {
		s.w.teams[t] = placement.Quota{CPULimit: 10, GPULimit: 4}
	}
}

// teamAtLimit tells whether a team is at its limit, so that no further task of two CPUs is allowed.
func (s *script) teamAtLimit(team string) bool {
	cpus, _ := s.w.checker.ledger.teamUse(team)
	return !s.w.teams[team].Within(cpus+2, 0)
}

// crashLeaderRepeatedly ends the leader again and again.
func crashLeaderRepeatedly(s *script, from, period time.Duration, lo, hi time.Duration) {
	s.every(from, period, func() { s.crashLeaderFor(lo, hi) })
}

// cancelShare has a share of the users call off their jobs soon after they were accepted.
func cancelShare(s *script, share float64, within time.Duration) {
	s.onAccepted = append(s.onAccepted, func(j *userJob) {
		if s.chance(share) {
			s.count("cancellations requested")
			s.at(s.between(0, within), j.cancel)
		}
	})
}

// whenJobEnds does something at the very moment at which a job's last task ends.
func whenJobEnds(s *script, share float64, fn func(j *userJob)) {
	s.onEnded = append(s.onEnded, func(j *userJob) {
		if j.accepted && s.chance(share) {
			s.count("job ends met")
			fn(j)
		}
	})
}

// TestFaultScenarios plays worlds in which faults meet at just the wrong moments.
func TestFaultScenarios(t *testing.T) {
	for i := range faultScenarios {
		m := &faultScenarios[i]
		t.Run(m.name, func(t *testing.T) { m.playAll(t, uint64(i)*100) })
	}
}

// playAll plays all worlds of a scenario. A scenario that didn't come about proves nothing, and fails.
func (m *faultScenario) playAll(t *testing.T, firstSeed uint64) {
	t.Helper()
	counts := eventCounts{}
	for seed := range uint64(seedsPerScenario) {
		m.play(t, firstSeed+seed, counts, false)
	}
	counts.requireAtLeast(t, m.least)
	t.Log(counts)
}

// play plays one world of a scenario, holds every invariant against each step, and expects all jobs to end. It adds what
// came about to the counts.
func (m *faultScenario) play(t *testing.T, seed uint64, counts eventCounts, trace bool) {
	t.Helper()
	o := m.options(seed)
	o.Standby = o.Standby || os.Getenv("SIMULATION_STANDBY") != ""
	w := NewWorld(o)
	s := newScript(w)
	m.script(s)
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
			t.Errorf("seed %d: %s never came to an end: %+v", w.options.Seed, j.spec.Ref, j.spec)
		}
	}
}

// TestFaultScenarioSeeds plays as many worlds of each fault scenario and drain scenario as SIMULATION_FAULT_SCENARIOS
// says, from SIMULATION_FROM on: a longer hunt than the tests have time for.
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
