package simulation

import (
	"slices"
	"testing"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// drainAll has an operator drain all machines that exist at the given time.
func (s *script) drainAll(at time.Duration, atOnce int) {
	d := s.w.drains
	s.at(at, func() {
		p := drain.Plan{ID: "all-" + at.String(), Selector: drain.Selector{All: true}, MaxAtOnce: atOnce, Surge: 2}
		d.plans = append(d.plans, p.ID)
		d.createPlan(p)
	})
}

// submitDrainLoad submits endless and short jobs of all shapes, with and without checkpoints.
func (s *script) submitDrainLoad() {
	s.submitEndless(6, 0)
	s.submitShort(30, 0, 160*time.Second)
	for i, team := range []string{"red", "blue", "green"} {
		at := time.Duration(i) * time.Second
		s.submitJob(at, pipeline.Spec{
			Team: team, Shape: pipeline.Service, Tasks: 3, CPUs: 1, MemGB: 1, Priority: pipeline.High,
		}, endless)
		s.submitJob(at, pipeline.Spec{
			Team: team, Shape: pipeline.Gang, Tasks: 3, CPUs: 1, MemGB: 1,
			CheckpointInterval: 3 * time.Second, CheckpointTime: 2 * time.Second,
		}, endless)
	}
}

// sometimes returns a function that calls fn with a probability, at most callsLeft times, and not
// after the faults are over.
func (s *script) sometimes(chance float64, callsLeft int, fn func()) func() {
	return func() {
		if callsLeft > 0 && !s.faultsOver() && s.chance(chance) {
			callsLeft--
			fn()
		}
	}
}

// crashLeader crashes the leader, which boots again within six seconds.
func (s *script) crashLeader() {
	s.crashLeaderFor(10*time.Millisecond, 6*time.Second)
}

// pauseLeaderForDrain pauses the leader for longer than its lease, while its clocks run on.
func (s *script) pauseLeaderForDrain() { s.pauseLeader("leaders paused") }

// drainScenarios are scenarios in which controllers, workers, the state service or the cloud fail
// during drains.
var drainScenarios = []faultScenario{
	{name: "the leader ends between charge and stop, cordon and eviction, release and its record",
		length: 200 * time.Second,
		script: func(s *script) {
			s.submitDrainLoad()
			s.drainAll(15*time.Second, 2)
			s.drainAll(90*time.Second, 3)
			d := s.w.drains
			d.onCharge = append(d.onCharge, s.sometimes(0.5, 6, s.crashLeader))
			d.onCordon = append(d.onCordon, s.sometimes(0.3, 6, s.crashLeader))
			d.onScaleIn = append(d.onScaleIn, s.sometimes(0.3, 6, s.crashLeader))
		}, least: eventCounts{"leaders crashed": 40, "machines released": 30, "interruptions by choice": 10}},

	{name: "the leader stalls just then, and wakes after the takeover", length: 200 * time.Second,
		script: func(s *script) {
			s.submitDrainLoad()
			s.drainAll(15*time.Second, 2)
			s.drainAll(90*time.Second, 3)
			d := s.w.drains
			d.onCharge = append(d.onCharge, s.sometimes(0.5, 6, s.pauseLeaderForDrain))
			d.onCordon = append(d.onCordon, s.sometimes(0.3, 6, s.pauseLeaderForDrain))
			d.onScaleIn = append(d.onScaleIn, s.sometimes(0.3, 6, s.pauseLeaderForDrain))
		}, least: eventCounts{"leaders paused": 40, "machines released": 30, "interruptions by choice": 10}},

	{name: "the leader is refused by the state service alone, and another drains on", length: 220 * time.Second,
		script: func(s *script) {
			s.submitDrainLoad()
			s.drainAll(15*time.Second, 2)
			s.drainAll(100*time.Second, 3)
			s.every(25*time.Second, 35*time.Second, func() {
				s.refuseNode(s.w.currentLeader(), s.between(5*time.Second, 25*time.Second))
			})
		}, least: eventCounts{"nodes refused by the state service": 16, "machines released": 30}},

	{name: "the state service is down in every stage, slow, and loses answers", length: 240 * time.Second,
		script: func(s *script) {
			s.submitDrainLoad()
			s.storeDelay, s.lostAnswerShare = 200*time.Millisecond, 0.1
			s.drainAll(15*time.Second, 2)
			s.drainAll(110*time.Second, 3)
			d := s.w.drains
			out := func() {
				s.outage(s.between(2*time.Second, 12*time.Second))
				if s.chance(0.3) {
					s.crashLeader()
				}
			}
			d.onCharge = append(d.onCharge, s.sometimes(0.3, 3, out))
			d.onCordon = append(d.onCordon, s.sometimes(0.2, 3, out))
			d.onScaleIn = append(d.onScaleIn, s.sometimes(0.2, 3, out))
		}, least: eventCounts{"outages": 16, "machines released": 25, "late transactions carried out": 1}},

	{name: "all controllers end in the middle", length: 200 * time.Second, script: func(s *script) {
		s.submitDrainLoad()
		s.drainAll(15*time.Second, 2)
		s.drainAll(90*time.Second, 3)
		s.every(22*time.Second, 30*time.Second, func() { s.crashAll(10*time.Millisecond, 8*time.Second) })
	}, least: eventCounts{"crashes of all controllers": 20, "machines released": 30}},

	{name: "half the machines die, others hang and come back", length: 220 * time.Second, script: func(s *script) {
		s.submitDrainLoad()
		s.drainAll(15*time.Second, 2)
		s.drainAll(100*time.Second, 3)
		s.every(30*time.Second, 60*time.Second, func() {
			for _, m := range s.sampleMachines(0.5, nil) {
				s.count("machines lost")
				m.terminate()
			}
			for _, m := range s.sampleMachines(0.4, nil) {
				s.hangMachine(m, s.between(2*time.Second, s.w.options.Lease))
			}
		})
		s.every(45*time.Second, 40*time.Second, s.crashLeader)
	}, least: eventCounts{"machines lost": 20, "machines released": 25}},

	{
		name:         "drained workers restart, hang and lose messages; old heartbeats arrive",
		digestLabel:  "drained workers restart, hang and lose messages; old reports arrive",
		randomFaults: true,
		length:       200 * time.Second,
		script: func(s *script) {
			s.submitDrainLoad()
			s.duplicateShare, s.forNextLeader = 0.1, true
			s.drainAll(15*time.Second, 2)
			s.drainAll(90*time.Second, 3)
			s.every(20*time.Second, 20*time.Second, func() {
				cordonedOrSome := func(m *machine) bool { return s.w.checker.cordons.isCordoned(m) || s.chance(0.3) }
				for _, m := range s.sampleMachines(0.2, cordonedOrSome) {
					s.count("workers restarted")
					m.reboot()
				}
				s.loseInbound(s.sampleMachines(0.2, nil), s.between(5*time.Second, 15*time.Second))
			})
			s.every(40*time.Second, 40*time.Second, s.crashLeader)
		}, least: eventCounts{"workers restarted": 20, "duplicate heartbeats": 100, "machines released": 25}},

	{name: "replacements never boot, and the cloud is away", length: 220 * time.Second, script: func(s *script) {
		s.submitDrainLoad()
		s.drainAll(15*time.Second, 2)
		s.every(20*time.Second, 30*time.Second, func() {
			s.count("cloud outages")
			s.w.cloud.down = true
			s.at(s.between(5*time.Second, 20*time.Second), func() { s.w.cloud.down = false })
		})
		s.every(35*time.Second, 50*time.Second, s.crashLeader)
	}, least: eventCounts{"cloud outages": 20, "leaders crashed": 8, "machines released": 15}},

	{name: "the version in production leads amid the plan", length: 220 * time.Second,
		alter: func(o *Options) { o.RollingUpgrade, o.Pipelines = true, 4 },
		script: func(s *script) {
			s.submitDrainLoad()
			s.drainAll(60*time.Second, 2)
			s.drainAll(110*time.Second, 3)
			s.every(20*time.Second, 30*time.Second, s.crashLeader)
		}, least: eventCounts{"leaders crashed": 16, "machines released": 20}},

	{name: "controllers cut off from the state service and each other", length: 220 * time.Second,
		script: func(s *script) {
			s.submitDrainLoad()
			s.drainAll(15*time.Second, 2)
			s.drainAll(100*time.Second, 3)
			s.every(25*time.Second, 40*time.Second, func() {
				if n := s.w.currentLeader(); n != nil {
					s.partitionFromPeersAndStore(n, s.between(5*time.Second, 20*time.Second))
				}
			})
			s.every(45*time.Second, 60*time.Second, func() {
				s.cutZone(s.w.zones[s.rng.IntN(len(s.w.zones))], s.between(5*time.Second, 25*time.Second))
			})
		}, least: eventCounts{
			"nodes partitioned from peers and state service": 14, "zones cut off": 8, "machines released": 25,
		}},
}

// withDrains returns scenarios with drains switched on in their worlds, and the warm standby in
// every other one.
func withDrains(scenarios []faultScenario) []faultScenario {
	out := slices.Clone(scenarios)
	for i := range out {
		alter := out[i].alter
		out[i].alter = func(o *Options) {
			o.Drains, o.Standby = true, o.Seed%2 == 0
			o.SettleTime = max(o.SettleTime, 350*time.Second)
			if alter != nil {
				alter(o)
			}
		}
	}
	return out
}

// TestDrainScenarios plays the drain scenarios, with the warm standby on in half of the worlds.
// Besides the drains of the scripts there are random budgets and drain plans.
func TestDrainScenarios(t *testing.T) {
	scenarios := withDrains(drainScenarios)
	for i := range scenarios {
		scenario := scenarios[i]
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			scenario.playAll(t, 8000+uint64(i)*100)
		})
	}
}
