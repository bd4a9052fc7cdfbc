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

// faultScenario is a row of TestFaultScenarios: faults that meet, and what must have come
// about, over all its seeds, for the row to prove anything.
type faultScenario struct {
	name string
	// digestLabel is the name in testdata/output_digests.txt, if the scenario was renamed since that file was written.
	digestLabel string
	noise       bool // every other seed has all other faults on top
	length      time.Duration
	alter       func(o *Options)
	script      func(s *script)
	least       eventCounts
}

// seedsPerScenario is how many worlds each fault scenario has.
const seedsPerScenario = 4

func (m *faultScenario) options(i uint64) Options {
	o := randomOptions(9000+i, m.noise && i%2 == 1)
	o.Jobs = 0
	if m.length > 0 {
		o.Length = m.length
	}
	if m.alter != nil {
		m.alter(&o)
	}
	return o
}

// refusedLeaderThenOutage has the state service refuse the leader alone; the next one confirms
// cancellations to users; then the state service is out for all, while the workers
// keep reporting to the old leader.
func refusedLeaderThenOutage(s *script, at time.Duration, out func(s *script)) {
	outage := func(old *node) {
		s.count("outage after confirmation by the next leader")
		s.noteCancelledWithTasks()
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

// afterNextConfirmation cancels jobs, and does something within a second of the first
// confirmation that a user gets.
func (s *script) afterNextConfirmation(fn func()) {
	before := s.counts["cancellations confirmed"]
	s.cancelNow(3, 0)
	s.when(func() bool { return s.counts["cancellations confirmed"] > before }, func() {
		s.at(s.between(0, time.Second), fn)
	})
}

// noteCancelledWithTasks counts the jobs that are cancelled, as their users know, and
// still have tasks on machines.
func (s *script) noteCancelledWithTasks() {
	for _, j := range s.w.sortedJobs() {
		if j.reportedPhase == pipeline.Cancelled && s.tasksOf(j) > 0 {
			s.count("cancelled jobs with tasks as the outage began")
		}
	}
}

// sendHeartbeatsTo has all workers report to one node, again and again.
func (s *script) sendHeartbeatsTo(n *node, d time.Duration) {
	for at := time.Duration(0); at < d; at += time.Second {
		s.at(at, func() {
			for _, m := range s.w.sortedMachines() {
				for i, o := range s.w.nodes {
					if o == n {
						m.target = i
						s.count("workers directed to the old leader")
					}
				}
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

// TestFaultScenarios plays worlds in which faults meet at just the wrong moments, and
// holds every rule against each step. A row whose scenario didn't come about proves
// nothing, and fails.
func TestFaultScenarios(t *testing.T) {
	for i := range faultScenarios {
		m := &faultScenarios[i]
		t.Run(m.name, func(t *testing.T) {
			counts := eventCounts{}
			for k := range uint64(seedsPerScenario) {
				m.play(t, uint64(i)*100+k, counts, false)
			}
			counts.requireAtLeast(t, m.least)
			t.Log(counts)
		})
	}
}

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

// TestFaultScenarioSeeds plays as many worlds of each fault scenario as SIMULATION_FAULT_SCENARIOS says,
// from SIMULATION_FROM on: a longer hunt than the tests have time for.
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
