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

// faultScenario is a row of TestFaultScenarios: troubles that meet, and what must have come
// about, over all its seeds, for the row to prove anything.
type faultScenario struct {
	name   string
	noise  bool // every other seed has all other troubles on top
	length time.Duration
	alter  func(o *Options)
	script func(s *script)
	least  map[string]int
}

// seedsOf is how many worlds each fault scenario has.
const seedsOf = 4

func (m *faultScenario) options(i uint64) Options {
	o := options(9000+i, m.noise && i%2 == 1)
	o.Jobs = 0
	if m.length > 0 {
		o.Length = m.length
	}
	if m.alter != nil {
		m.alter(&o)
	}
	return o
}

// refusedThenOut has the state service refuse the leader alone; the next one confirms
// cancellations to users; then the state service is out for all, while the workers
// keep reporting to the old leader.
func refusedThenOut(s *script, at time.Duration, out func(s *script)) {
	outage := func(old *node) {
		s.note("outage after confirmation by the next leader")
		s.noteCancelledWithTasks()
		out(s)
		s.sendHeartbeatsTo(old, 2*s.w.o.Cancel)
	}
	s.at(at, func() {
		s.withLeader(func(old *node) {
			s.refuse(old, s.between(20*time.Second, 70*time.Second))
			s.afterLeader(old, func(*node) {
				s.at(s.between(0, 3*time.Second), func() { s.afterNextConfirmation(func() { outage(old) }) })
			})
		})
	})
}

// afterNextConfirmation cancels jobs, and does something within a second of the first
// confirmation that a user gets.
func (s *script) afterNextConfirmation(fn func()) {
	before := s.notes["confirmed"]
	s.cancelNow(3, 0)
	s.when(func() bool { return s.notes["confirmed"] > before }, func() {
		s.at(s.between(0, time.Second), fn)
	})
}

// noteCancelledWithTasks counts the jobs that are cancelled, as their users know, and
// still have tasks on machines.
func (s *script) noteCancelledWithTasks() {
	for _, j := range s.sortedJobs() {
		if j.told == pipeline.Cancelled && s.tasksOf(j) > 0 {
			s.note("cancelled jobs with tasks as the outage began")
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
						s.note("workers aimed at the old leader")
					}
				}
			}
		})
	}
}

// limitAll gives each team a limit that long jobs fill.
func limitAll(s *script) {
	for _, t := range []string{"red", "blue", "green"} {
		s.w.teams[t] = placement.Quota{CPULimit: 10, GPULimit: 4}
	}
}

// full notes whether a team is at its limit: no further task of two GuaranteedCPUs is allowed.
func (s *script) full(team string) bool {
	var cpus float64
	s.w.check.each(func(t *task) {
		if t.job.spec.Team == team {
			cpus += t.job.spec.CPUs
		}
	})
	return !s.w.teams[team].Within(cpus+2, 0)
}

// changes ends the leader again and again.
func changes(s *script, from, period time.Duration, lo, hi time.Duration) {
	s.every(from, period, func() { s.crash(s.ruling(), s.between(lo, hi)) })
}

// someCancel has a share of the users call off their jobs soon after they were accepted.
func someCancel(s *script, share float64, within time.Duration) {
	s.onAccepted = append(s.onAccepted, func(j *userJob) {
		if s.chance(share) {
			s.note("called off")
			s.at(s.between(0, within), j.cancel)
		}
	})
}

// atEndOf does something at the very moment at which a job's last task ends.
func atEndOf(s *script, share float64, fn func(j *userJob)) {
	s.onEnded = append(s.onEnded, func(j *userJob) {
		if j.accepted && s.chance(share) {
			s.note("ends met")
			fn(j)
		}
	})
}

// TestFaultScenarios plays worlds in which troubles meet at just the wrong moments, and
// holds every rule against each step. A row whose scenario didn't come about proves
// nothing, and fails.
func TestFaultScenarios(t *testing.T) {
	for i := range faultScenarios {
		m := &faultScenarios[i]
		t.Run(m.name, func(t *testing.T) {
			notes := map[string]int{}
			for k := range uint64(seedsOf) {
				m.play(t, uint64(i)*100+k, notes, false)
			}
			for what, least := range m.least {
				if notes[what] < least {
					t.Errorf("%s: %d, at least %d expected", what, notes[what], least)
				}
			}
			t.Log(notes)
		})
	}
}

func (m *faultScenario) play(t *testing.T, seed uint64, notes map[string]int, trace bool) {
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
	for what, n := range s.notes {
		notes[what] += n
	}
	if w.standbys != nil {
		for what, n := range w.standbys.notes {
			notes[what] += n
		}
	}
	if w.drains != nil {
		for what, n := range w.drains.notes {
			notes[what] += n
		}
	}
	notes["starts after a confirmed cancellation"] += w.check.startsCancelled
	for _, j := range s.sortedJobs() {
		switch {
		case !j.accepted:
			t.Errorf("seed %d: %s was never accepted", w.o.Seed, j.spec.Ref)
		case j.told == pipeline.Active:
			t.Errorf("seed %d: %s never came to an end: %+v", w.o.Seed, j.spec.Ref, j.spec)
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
				all[i].play(t, from+k, map[string]int{}, os.Getenv("SIMULATION_TRACE") != "")
			}
		})
	}
}
