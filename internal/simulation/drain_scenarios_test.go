package simulation

import (
	"slices"
	"testing"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// drainAll has an operator drain all machines that are there at some moment.
func (s *script) drainAll(at time.Duration, atOnce int) {
	d := s.w.drains
	s.at(at, func() {
		p := drain.Plan{ID: "all-" + at.String(), Selector: drain.Selector{All: true}, MaxAtOnce: atOnce, Surge: 2}
		d.plans = append(d.plans, p.ID)
		d.create(p)
	})
}

// drainLoad submits work of all kinds that drains meet.
func (s *script) drainLoad() {
	s.long(6, 0)
	s.short(30, 0, 160*time.Second)
	for i, team := range []string{"red", "blue", "green"} {
		s.add(time.Duration(i)*time.Second, pipeline.Spec{Team: team, Shape: pipeline.Service, Tasks: 3, CPUs: 1, MemGB: 1, Priority: pipeline.High}, endless)
		s.add(time.Duration(i)*time.Second, pipeline.Spec{Team: team, Shape: pipeline.Gang, Tasks: 3, CPUs: 1, MemGB: 1, CheckpointInterval: 3 * time.Second, CheckpointTime: 2 * time.Second}, endless)
	}
}

// sometimes calls something with a chance, at most so often.
func (s *script) sometimes(chance float64, most int, fn func()) func() {
	return func() {
		if most > 0 && !s.over() && s.chance(chance) {
			most--
			fn()
		}
	}
}

// endLeader ends the leader; it is back soon.
func (s *script) endLeader() { s.crash(s.ruling(), s.between(10*time.Millisecond, 6*time.Second)) }

// stalls stops the leader for longer than its lease, its clocks running on.
func (s *script) stalls() { s.stallLeader("leaders stalled") }

// drainScenarios are the hard cases of drains in which controllers fail.
var drainScenarios = []faultScenario{
	{name: "the leader ends between charge and stop, cordon and eviction, release and its record", length: 200 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.drainAll(15*time.Second, 2)
		s.drainAll(90*time.Second, 3)
		d := s.w.drains
		d.onCharge = append(d.onCharge, s.sometimes(0.5, 6, s.endLeader))
		d.onCordon = append(d.onCordon, s.sometimes(0.3, 6, s.endLeader))
		d.onScaleIn = append(d.onScaleIn, s.sometimes(0.3, 6, s.endLeader))
	}, least: map[string]int{"leaders ended": 40, "machines released": 30, "interruptions by choice": 10}},

	{name: "the leader stalls just then, and wakes after the takeover", length: 200 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.drainAll(15*time.Second, 2)
		s.drainAll(90*time.Second, 3)
		d := s.w.drains
		d.onCharge = append(d.onCharge, s.sometimes(0.5, 6, s.stalls))
		d.onCordon = append(d.onCordon, s.sometimes(0.3, 6, s.stalls))
		d.onScaleIn = append(d.onScaleIn, s.sometimes(0.3, 6, s.stalls))
	}, least: map[string]int{"leaders stalled": 40, "machines released": 30, "interruptions by choice": 10}},

	{name: "the leader is refused by the state service alone, and another drains on", length: 220 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.drainAll(15*time.Second, 2)
		s.drainAll(100*time.Second, 3)
		s.every(25*time.Second, 35*time.Second, func() { s.refuse(s.ruling(), s.between(5*time.Second, 25*time.Second)) })
	}, least: map[string]int{"refused nodes": 16, "machines released": 30}},

	{name: "the state service is down in every stage, slow, and loses answers", length: 240 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.slow, s.lost = 200*time.Millisecond, 0.1
		s.drainAll(15*time.Second, 2)
		s.drainAll(110*time.Second, 3)
		d := s.w.drains
		out := func() {
			s.outage(s.between(2*time.Second, 12*time.Second))
			if s.chance(0.3) {
				s.endLeader()
			}
		}
		d.onCharge = append(d.onCharge, s.sometimes(0.3, 3, out))
		d.onCordon = append(d.onCordon, s.sometimes(0.2, 3, out))
		d.onScaleIn = append(d.onScaleIn, s.sometimes(0.2, 3, out))
	}, least: map[string]int{"outages": 16, "machines released": 25, "late transactions carried out": 1}},

	{name: "all controllers end in the middle", length: 200 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.drainAll(15*time.Second, 2)
		s.drainAll(90*time.Second, 3)
		s.every(22*time.Second, 30*time.Second, func() { s.crashAll(10*time.Millisecond, 8*time.Second) })
	}, least: map[string]int{"all ended": 20, "machines released": 30}},

	{name: "half the machines die, others hang and come back", length: 220 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.drainAll(15*time.Second, 2)
		s.drainAll(100*time.Second, 3)
		s.every(30*time.Second, 60*time.Second, func() {
			for _, m := range s.some(0.5, nil) {
				s.note("machines lost")
				m.die()
			}
			for _, m := range s.some(0.4, nil) {
				s.hang(m, s.between(2*time.Second, s.w.o.Lease))
			}
		})
		s.every(45*time.Second, 40*time.Second, s.endLeader)
	}, least: map[string]int{"machines lost": 20, "machines released": 25}},

	{name: "drained workers restart, hang and lose messages; old reports arrive", noise: true, length: 200 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.copies, s.forNext = 0.1, true
		s.drainAll(15*time.Second, 2)
		s.drainAll(90*time.Second, 3)
		s.every(20*time.Second, 20*time.Second, func() {
			for _, m := range s.some(0.2, func(m *machine) bool { return s.w.drainCordoned(m) || s.chance(0.3) }) {
				s.note("workers ended")
				m.reboot()
			}
			s.loseInbound(s.some(0.2, nil), s.between(5*time.Second, 15*time.Second))
		})
		s.every(40*time.Second, 40*time.Second, s.endLeader)
	}, least: map[string]int{"workers ended": 20, "copies": 100, "machines released": 25}},

	{name: "replacements never boot, and the cloud is away", length: 220 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.drainAll(15*time.Second, 2)
		s.every(20*time.Second, 30*time.Second, func() {
			s.note("cloud away")
			s.w.cloud.down = true
			s.at(s.between(5*time.Second, 20*time.Second), func() { s.w.cloud.down = false })
		})
		s.every(35*time.Second, 50*time.Second, s.endLeader)
	}, least: map[string]int{"cloud away": 20, "leaders ended": 8, "machines released": 15}},

	{name: "the version in production leads amid the plan", length: 220 * time.Second, alter: func(o *Options) { o.Roll, o.Pipelines = true, 4 }, script: func(s *script) {
		s.drainLoad()
		s.drainAll(60*time.Second, 2)
		s.drainAll(110*time.Second, 3)
		s.every(20*time.Second, 30*time.Second, s.endLeader)
	}, least: map[string]int{"leaders ended": 16, "machines released": 20}},

	{name: "controllers cut off from the state service and each other", length: 220 * time.Second, script: func(s *script) {
		s.drainLoad()
		s.drainAll(15*time.Second, 2)
		s.drainAll(100*time.Second, 3)
		s.every(25*time.Second, 40*time.Second, func() {
			if n := s.ruling(); n != nil {
				s.alone(n, s.between(5*time.Second, 20*time.Second))
			}
		})
		s.every(45*time.Second, 60*time.Second, func() { s.cutZone(s.w.zones[s.rng.IntN(len(s.w.zones))], s.between(5*time.Second, 25*time.Second)) })
	}, least: map[string]int{"nodes alone": 14, "zones cut": 8, "machines released": 25}},
}

// withDrains are scenarios in worlds with drains, with the warm standby on in every other one.
func withDrains(scenarios []faultScenario) []faultScenario {
	out := slices.Clone(scenarios)
	for i := range out {
		alter := out[i].alter
		out[i].alter = func(o *Options) {
			o.Draining, o.Standby = true, o.Seed%2 == 0
			o.Drain = max(o.Drain, 350*time.Second)
			if alter != nil {
				alter(o)
			}
		}
	}
	return out
}

// TestDrainScenarios brings the hard cases of drains about, with the warm standby on in half of
// the worlds, and budgets and plans of every kind beside the script's own.
func TestDrainScenarios(t *testing.T) {
	scenarios := withDrains(drainScenarios)
	for i := range scenarios {
		m := scenarios[i]
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			notes := map[string]int{}
			for k := range uint64(seedsOf) {
				m.play(t, 8000+uint64(i)*100+k, notes, false)
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
