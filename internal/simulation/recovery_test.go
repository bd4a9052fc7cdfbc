package simulation

import (
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/recovery"
)

// pace is the limit on the rate of starts at the beginning of a term, in worlds that have one.
var pace = recovery.PaceOptions{Enabled: true, Initial: 3, Highest: 20}

// recoverySeeds is how many worlds of each family TestRecoveryWorlds plays.
const recoverySeeds = 12

// TestRecoveryWorlds plays worlds of every family, with all their faults, in which the pace of
// starts is bounded at the beginning of each term. The warm standby is on in every other world.
// Besides all other invariants, the starts of each term keep to the pace.
func TestRecoveryWorlds(t *testing.T) {
	pacedSeconds := 0
	change := func(o Options, number int) Options {
		o.Pace, o.Standby = pace, number%2 == 0
		return o
	}
	runFamilies(t, recoverySeeds, change, func(w *World) { pacedSeconds += w.checker.pace.seconds })
	if pacedSeconds < 400 {
		t.Errorf("the pace was bounded in only %d seconds", pacedSeconds)
	}
	t.Log("seconds with a bounded pace:", pacedSeconds)
}

// restoreOlderCopy restores the state service from an older copy, which lacks the start log and the
// last terms. Records of jobs stay, since their users know of the jobs.
func (s *script) restoreOlderCopy(terms uint64) {
	s.count("restored from an older copy")
	store := s.w.store
	for key, it := range store.items {
		switch {
		case strings.HasPrefix(key, "s/"):
			delete(store.items, key)
		case key == leadership.TermKey:
			var term struct {
				N uint64 `cbor:"n"`
			}
			if codec.Unmarshal(it.value, &term) != nil {
				s.w.checker.fail("the stored term can't be read")
			}
			term.N -= min(term.N, terms)
			store.revision++
			store.items[key] = &item{codec.MustMarshal(term), store.revision}
			s.w.checker.leaders.resetNewestTerm(term.N)
		}
	}
}

// recoveryScenarios are scenarios in which all controllers restart, most of them together with
// other failures.
var recoveryScenarios = []faultScenario{
	{name: "all controllers end again and again, and come back in any order", length: 200 * time.Second,
		script: func(s *script) {
			s.submitEndless(10, 0)
			s.submitShort(30, 0, 160*time.Second)
			s.every(20*time.Second, 25*time.Second, func() { s.crashAll(10*time.Millisecond, 15*time.Second) })
			s.every(33*time.Second, 40*time.Second, func() { s.cancelNow(2, 0) })
		}, least: eventCounts{"crashes of all controllers": 24, "leaders elected": 24, "cancellations confirmed": 12}},

	{name: "all controllers and a third of the workers end together", length: 200 * time.Second,
		script: func(s *script) {
			s.submitEndless(10, 0)
			s.submitShort(30, 0, 160*time.Second)
			s.every(20*time.Second, 45*time.Second, func() {
				s.crashAll(100*time.Millisecond, 10*time.Second)
				for _, m := range s.sampleMachines(0.33, nil) {
					s.count("workers restarted")
					m.reboot()
				}
			})
		}, least: eventCounts{"crashes of all controllers": 12, "workers restarted": 15}},

	{name: "outages longer and shorter than the lease, workers minutes late", length: 240 * time.Second,
		script: func(s *script) {
			s.submitEndless(10, 0)
			s.submitShort(30, 0, 160*time.Second)
			s.every(25*time.Second, 60*time.Second, func() {
				downtime := s.w.options.Lease * 3 / 2
				if s.chance(0.5) {
					downtime = s.w.options.Lease / 2
				}
				for _, n := range s.w.nodes {
					s.crash(n, downtime+s.between(0, 3*time.Second))
				}
				s.count("all controllers down")
				s.cutMachines(s.sampleMachines(0.3, nil), downtime+s.between(0, 2*s.w.options.Lease))
			})
		}, least: eventCounts{"all controllers down": 12}},

	{name: "the state service is back last, slow, and loses answers", length: 220 * time.Second,
		script: func(s *script) {
			s.submitEndless(8, 0)
			s.submitShort(30, 0, 160*time.Second)
			s.storeDelay, s.lostAnswerShare = 300*time.Millisecond, 0.1
			s.every(25*time.Second, 50*time.Second, func() {
				s.outage(s.between(6*time.Second, 15*time.Second))
				s.crashAll(10*time.Millisecond, 3*time.Second)
			})
		}, least: eventCounts{"crashes of all controllers": 12, "outages": 12}},

	{name: "the start log and the last terms are forgotten", length: 220 * time.Second, script: func(s *script) {
		s.submitEndless(10, 0)
		s.submitShort(30, 0, 160*time.Second)
		s.every(30*time.Second, 60*time.Second, func() {
			for _, n := range s.w.nodes {
				s.crash(n, s.between(s.w.options.LeaseTTL, 6*time.Second))
			}
			s.at(time.Second, func() { s.restoreOlderCopy(3) })
		})
	}, least: eventCounts{"restored from an older copy": 8}},

	{name: "repeated crashes in the middle of it", length: 200 * time.Second, script: func(s *script) {
		s.submitEndless(10, 0)
		s.submitShort(30, 0, 160*time.Second)
		s.every(25*time.Second, 45*time.Second, func() {
			s.crashAll(10*time.Millisecond, time.Second)
			for k := range 3 {
				s.at(time.Duration(5+k*5)*time.Second, func() { s.crashLeaderFor(10*time.Millisecond, 2*time.Second) })
			}
		})
	}, least: eventCounts{"crashes of all controllers": 12, "leaders crashed": 24}},

	{name: "the version in production restarts beside the new one", length: 200 * time.Second,
		alter: func(o *Options) { o.RollingUpgrade, o.Pipelines = true, 4 },
		script: func(s *script) {
			s.submitEndless(6, 0)
			s.submitShort(30, 0, 160*time.Second)
			s.every(20*time.Second, 30*time.Second, func() { s.crashAll(10*time.Millisecond, 8*time.Second) })
		}, least: eventCounts{"crashes of all controllers": 20}},

	{name: "one controller is refused by the state service, services and gangs", length: 200 * time.Second,
		script: func(s *script) {
			s.submitEndless(6, 0)
			s.submitShort(20, 0, 160*time.Second)
			for i := range 4 {
				s.submitJob(time.Duration(i)*5*time.Second, pipeline.Spec{
					Team: "blue", Shape: pipeline.Service, Tasks: 2, CPUs: 1, MemGB: 2, Spot: true,
				}, endless)
				s.submitJob(time.Duration(i)*30*time.Second, pipeline.Spec{
					Team: "red", Shape: pipeline.Gang, Tasks: 3, CPUs: 2, MemGB: 4, Spot: true,
				}, 20*time.Second)
			}
			s.every(20*time.Second, 40*time.Second, func() {
				s.crashAll(10*time.Millisecond, 8*time.Second)
				s.refuseNode(s.w.nodes[s.rng.IntN(len(s.w.nodes))], s.between(10*time.Second, 25*time.Second))
			})
		}, least: eventCounts{"crashes of all controllers": 12, "nodes refused by the state service": 12}},

	{
		name:         "old heartbeats arrive in the middle",
		digestLabel:  "old reports arrive in the middle",
		randomFaults: true,
		length:       200 * time.Second,
		script: func(s *script) {
			s.submitEndless(10, 0)
			s.submitShort(30, 0, 160*time.Second)
			s.duplicateShare, s.forNextLeader = 0.2, true
			s.every(25*time.Second, 35*time.Second, func() { s.crashAll(10*time.Millisecond, 5*time.Second) })
		}, least: eventCounts{"crashes of all controllers": 16}},
}

// TestRecoveryScenarios plays the recovery scenarios with a bounded pace, and with the warm standby
// on in half of the worlds.
func TestRecoveryScenarios(t *testing.T) {
	for i := range recoveryScenarios {
		scenario := recoveryScenarios[i]
		alter := scenario.alter
		scenario.alter = func(o *Options) {
			o.Pace, o.Standby = pace, o.Seed%2 == 0
			o.SettleTime = max(o.SettleTime, 300*time.Second)
			if alter != nil {
				alter(o)
			}
		}
		t.Run(scenario.name, func(t *testing.T) { scenario.playAll(t, 8000+uint64(i)*100) })
	}
}

// TestPaceHoldsNoRentalsBack guards against scale-outs that wait for as long as the pace is
// bounded: they once waited behind starts of bulk work, so a lost replica wasn't replaced in time.
func TestPaceHoldsNoRentalsBack(t *testing.T) {
	o := shortLeaseOptions(10205)
	o.Pace = pace
	if err := NewWorld(o).Run(); err != nil {
		t.Error(err)
	}
}
