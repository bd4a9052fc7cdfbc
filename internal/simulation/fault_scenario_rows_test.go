package simulation

import (
	"slices"
	"time"

	"gingertally/internal/core/pipeline"
)

// faultScenarios are the rows of TestFaultScenarios; docs/fault-scenarios.md has the argument for
// each. The seeds of a row depend on its place in the list, so new rows go to the end.
var faultScenarios = slices.Concat(clusterScenarios, messageScenarios)

// clusterScenarios are the fault scenarios in which controllers, machines, zones and the state
// service fail.
var clusterScenarios = []faultScenario{
	{name: "refused leader, next one confirms, out for all", length: 280 * time.Second, script: func(s *script) {
		s.submitEndless(12, 0)
		s.submitEndless(8, 130*time.Second)
		long := func(s *script) { s.outage(s.w.options.CancelWithin + s.between(2*time.Second, 12*time.Second)) }
		short := func(s *script) { s.outages(4, s.w.options.Lease*8/10, time.Second) }
		if s.w.options.Seed%2 == 0 {
			long, short = short, long
		}
		refusedLeaderThenOutage(s, s.between(25*time.Second, 35*time.Second), long)
		refusedLeaderThenOutage(s, s.between(155*time.Second, 175*time.Second), short)
	}, least: eventCounts{
		"outage after confirmation by the next leader": 6, "cancelled jobs with tasks as the outage began": 4,
		"cancellations confirmed": 20, "outages": 12, "workers directed to the old leader": 1000,
	}},

	{
		name:         "refused leader, outages each way, users query",
		digestLabel:  "refused leader, outages each way, users look",
		randomFaults: true,
		length:       280 * time.Second,
		alter:        func(o *Options) { o.Lease = 28 * time.Second },
		script: func(s *script) {
			s.submitEndless(12, 0)
			s.submitShort(30, 0, 200*time.Second)
			s.submitEndless(8, 130*time.Second)
			s.probeConsistency()
			refusedLeaderThenOutage(s, s.between(25*time.Second, 35*time.Second), func(s *script) {
				s.outage(s.w.options.CancelWithin + s.between(2*time.Second, 12*time.Second))
			})
			refusedLeaderThenOutage(s, s.between(155*time.Second, 175*time.Second), func(s *script) {
				s.outages(4, s.w.options.Lease*8/10, time.Second)
			})
		}, least: eventCounts{
			"outage after confirmation by the next leader": 5, "cancellations confirmed": 20,
			"consistency probes": 1000,
		}},

	{
		name:        "leaders shut down in turn, all controllers crash, one returns",
		digestLabel: "hand over and back, all end, one returns",
		script: func(s *script) {
			s.submitEndless(6, 0)
			s.submitShort(20, 0, 120*time.Second)
			s.every(15*time.Second, 14*time.Second, func() { s.shutDownLeader(s.between(10*time.Millisecond, time.Second)) })
			s.every(40*time.Second, 37*time.Second, func() {
				s.crashAll(3*time.Second, 20*time.Second)
				s.at(1001*time.Millisecond, func() { s.w.nodes[0].crash(s.between(10*time.Millisecond, time.Second)) })
			})
			s.every(20*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
		}, least: eventCounts{
			"leaders elected": 25, "leaders shut down": 20, "crashes of all controllers": 8,
			"cancellations confirmed": 12,
		}},

	{name: "ten leaders in two minutes, also inside an outage", script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(25, 0, 120*time.Second)
		crashLeaderRepeatedly(s, 10*time.Second, 9*time.Second, 10*time.Millisecond, 3*time.Second)
		s.at(s.between(50*time.Second, 70*time.Second), func() {
			s.outage(s.between(8*time.Second, 25*time.Second))
			s.crashAll(100*time.Millisecond, 2*time.Second)
		})
		s.every(20*time.Second, 25*time.Second, func() { s.cancelNow(2, 0) })
	}, least: eventCounts{
		"leaders elected": 40, "leaders crashed": 40, "outages": 4, "cancellations confirmed": 10,
	}},

	{name: "commands and answers held up, machines go on", randomFaults: true, script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(30, 0, 120*time.Second)
		s.delayedAnswerShare, s.delayedCommandShare = 0.15, 0.5
		s.every(20*time.Second, 15*time.Second, func() { s.cancelNow(1, s.between(time.Second, 15*time.Second)) })
		crashLeaderRepeatedly(s, 45*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{
		"answers with commands delayed": 20, "commands delayed": 4, "machines with tasks hung": 20,
		"cancellations confirmed": 12,
	}},

	{
		name:         "leader partitioned from peers and state service",
		digestLabel:  "leader alone with workers and users",
		randomFaults: true,
		script: func(s *script) {
			s.submitEndless(10, 0)
			s.submitShort(20, 0, 120*time.Second)
			s.probeConsistency()
			s.every(25*time.Second, 40*time.Second, func() {
				s.onceLeader(func(old *node) {
					s.partitionFromPeersAndStore(old, s.between(15*time.Second, 35*time.Second))
					s.sendHeartbeatsTo(old, 10*time.Second)
					s.onceNextLeader(old, func(*node) {
						s.count("another leader elected")
						s.cancelNow(2, 0)
					})
				})
			})
		}, least: eventCounts{
			"nodes partitioned from peers and state service": 10, "another leader elected": 8,
			"cancellations confirmed": 12, "consistency probes": 1000,
		}},

	{name: "team at its limit, leader changes, machines cut, cancellation", randomFaults: true, script: func(s *script) {
		limitTeams(s)
		for range 8 {
			s.submitJob(s.between(0, 3*time.Second), pipeline.Spec{Team: "red", Tasks: 2}, endless)
		}
		s.submitShort(25, 0, 120*time.Second)
		s.every(40*time.Second, 30*time.Second, func() {
			if s.teamAtLimit("red") {
				s.count("team at its limit")
			}
			s.cutMachines(s.sampleMachines(0.6, hasTask), s.between(5*time.Second, 30*time.Second))
			s.crashLeaderFor(time.Second, 5*time.Second)
			s.at(s.between(0, 6*time.Second), func() { s.cancelNow(2, 0) })
		})
	}, least: eventCounts{
		"team at its limit": 6, "machines with tasks cut off": 5, "leaders crashed": 8,
		"cancellations confirmed": 12,
	}},

	{name: "cancellations while work changes hands", script: func(s *script) {
		s.submitEndless(14, 0)
		s.probeConsistency()
		s.every(25*time.Second, 20*time.Second, func() {
			if s.chance(0.5) {
				s.crashLeaderFor(10*time.Millisecond, 3*time.Second)
			} else {
				s.shutDownLeader(s.between(10*time.Millisecond, 3*time.Second))
			}
			for range 3 {
				s.at(s.between(0, 4*time.Second), func() {
					if s.w.currentLeader() == nil {
						s.count("cancellations requested while nobody leads")
					}
					s.cancelNow(1, 0)
				})
			}
		})
	}, least: eventCounts{
		"cancellations requested while nobody leads": 10, "leaders crashed": 16, "cancellations confirmed": 25,
	}},

	{name: "only the answers of transactions lost", randomFaults: true, script: func(s *script) {
		s.submitEndless(8, 0)
		s.submitShort(40, 0, 120*time.Second)
		s.probeConsistency()
		s.every(15*time.Second, 20*time.Second, func() { s.loseCommitAnswers(0.4, 12*time.Second, true) })
		s.every(20*time.Second, 10*time.Second, func() { s.cancelNow(1, 0) })
		crashLeaderRepeatedly(s, 50*time.Second, 45*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{
		"answers of transactions lost": 60, "cancellations confirmed": 16, "consistency probes": 2000,
		"repeated submissions answered": 150,
	}},

	{name: "all teams at their limits, cancellations on machines out of reach", randomFaults: true,
		script: func(s *script) {
			limitTeams(s)
			for _, team := range []string{"red", "blue", "green"} {
				for range 5 {
					s.submitJob(s.between(0, 3*time.Second), pipeline.Spec{Team: team, Tasks: 2}, endless)
				}
			}
			s.submitShort(30, 0, 120*time.Second)
			s.every(50*time.Second, 40*time.Second, func() {
				if s.teamAtLimit("red") && s.teamAtLimit("blue") && s.teamAtLimit("green") {
					s.count("all teams at their limits")
				}
				s.cutMachines(s.sampleMachines(0.4, hasTask), s.between(5*time.Second, 45*time.Second))
				s.cancelNow(4, s.between(5*time.Second, 30*time.Second))
				s.at(s.between(0, 3*time.Second), func() { s.crashLeaderFor(10*time.Millisecond, 3*time.Second) })
			})
		}, least: eventCounts{
			"all teams at their limits": 2, "machines with tasks cut off": 6, "machines with tasks hung": 6,
			"leaders crashed": 6, "cancellations confirmed": 16,
		}},

	{name: "quick machines, late writes, the leader ends", randomFaults: true, script: func(s *script) {
		s.quickMachines = true
		s.submitShort(60, 0, 130*time.Second)
		s.every(5*time.Second, 20*time.Second, func() { s.loseCommitAnswers(0.4, 15*time.Second, s.chance(0.3)) })
		s.every(15*time.Second, 17*time.Second, func() {
			n := len(s.w.machines)
			s.submitJob(0, pipeline.Spec{Tasks: 5, CPUs: 3, MemGB: 4, Team: "green"}, 8*time.Second)
			s.when(func() bool { return len(s.w.machines) > n }, func() {
				s.at(s.between(0, 4*time.Second), func() { s.crashLeaderFor(10*time.Millisecond, 2*time.Second) })
			})
		})
	}, least: eventCounts{"quick machines": 8, "late transactions carried out": 4, "leaders crashed": 4}},

	{name: "more work than room over slow links", alter: func(o *Options) { o.Length = 200 * time.Second },
		script: func(s *script) {
			s.linkDelayMax = 700 * time.Millisecond
			for i := range 60 {
				p := pipeline.High
				if i%2 == 0 {
					p = pipeline.Low
				}
				sp := pipeline.Spec{Team: "green", Tasks: 4, CPUs: 4, MemGB: 4, Priority: p}
				if i%5 == 4 {
					sp.Shape = pipeline.Gang
				}
				s.submitJob(s.between(0, 90*time.Second), sp, s.between(5*time.Second, 15*time.Second))
			}
			cancelShare(s, 0.2, 40*time.Second)
			crashLeaderRepeatedly(s, 60*time.Second, 50*time.Second, 10*time.Millisecond, 3*time.Second)
			s.every(30*time.Second, 10*time.Second, func() {
				for _, j := range s.w.sortedJobs() {
					if j.accepted && j.reportedPhase == pipeline.Active && j.startedAt.IsZero() {
						s.count("jobs without room")
					}
				}
			})
		}, least: eventCounts{"jobs without room": 40, "leaders crashed": 6, "cancellations confirmed": 10}},

	{name: "tasks end far apart across a change of leader", randomFaults: true, script: func(s *script) {
		for i := range 30 {
			j := s.submitJob(s.between(0, 90*time.Second), pipeline.Spec{Tasks: 2 + i%2, CPUs: 1, MemGB: 1}, 20*time.Second)
			j.runs = []time.Duration{s.between(time.Second, 4*time.Second), s.between(15*time.Second, 40*time.Second)}
		}
		s.onTaskDone = append(s.onTaskDone, func(t *task) {
			if left := t.job.spec.Tasks - len(t.job.done); left > 0 && s.taskCount(t.job) > 0 && s.chance(0.3) {
				s.count("one task done, others running")
				s.at(s.between(0, 3*time.Second), func() { s.crashLeaderFor(10*time.Millisecond, 3*time.Second) })
			}
		})
		s.probeConsistency()
	}, least: eventCounts{"one task done, others running": 20, "leaders crashed": 16}},

	{name: "zone cut off beyond the lease", randomFaults: true, script: func(s *script) {
		s.submitEndless(10, 0)
		s.submitShort(25, 0, 120*time.Second)
		s.every(30*time.Second, 60*time.Second, func() {
			s.onceLeader(func(n *node) {
				if s.chance(0.6) {
					s.count("zones of the leader cut off")
					s.cutZone(n.zone, s.w.options.Lease+s.between(2*time.Second, 15*time.Second))
				} else {
					s.cutZone(s.w.zones[s.rng.IntN(len(s.w.zones))], s.w.options.Lease+s.between(2*time.Second, 15*time.Second))
				}
				s.at(s.between(0, 10*time.Second), func() { s.cancelNow(3, 0) })
			})
		})
	}, least: eventCounts{"zones cut off": 8, "zones of the leader cut off": 2, "cancellations confirmed": 12}},

	{
		name:         "all controllers down beyond the lease",
		digestLabel:  "all away beyond the lease",
		randomFaults: true,
		script: func(s *script) {
			s.submitEndless(10, 0)
			s.submitShort(25, 0, 120*time.Second)
			s.every(30*time.Second, 55*time.Second, func() {
				s.cancelNow(2, 0)
				s.at(s.between(0, time.Second), func() { s.crashAll(s.w.options.Lease, s.w.options.Lease+8*time.Second) })
			})
		}, least: eventCounts{"crashes of all controllers": 8, "leaders elected": 12, "cancellations confirmed": 12}},

	{
		name:         "leader crashes, machines cut off or with inbound loss at the next",
		digestLabel:  "leader ends, machines unreached or deaf to the next",
		randomFaults: true,
		script: func(s *script) {
			s.submitEndless(10, 0)
			s.submitShort(25, 0, 120*time.Second)
			s.every(30*time.Second, 35*time.Second, func() {
				s.cutMachines(s.sampleMachines(0.4, hasTask), s.between(3*time.Second, 40*time.Second))
				s.loseInbound(s.sampleMachines(0.4, hasTask), s.between(3*time.Second, 40*time.Second))
				s.crashLeaderFor(10*time.Millisecond, 3*time.Second)
				s.at(s.between(0, 8*time.Second), func() { s.cancelNow(2, 0) })
			})
		}, least: eventCounts{
			"machines with tasks cut off": 8, "machines with inbound loss": 8, "leaders crashed": 12,
			"cancellations confirmed": 12,
		}},

	{name: "jobs bound to a zone lose machines", randomFaults: true, script: func(s *script) {
		for i := range 30 {
			sp := pipeline.Spec{Tasks: 1 + i%4, Zone: s.w.zones[i%len(s.w.zones)]}
			switch i % 3 {
			case 1:
				sp.Shape = pipeline.Gang
			case 2:
				sp.Zone, sp.OneZone = "", true
			}
			s.submitJob(s.between(0, 90*time.Second), sp, s.between(5*time.Second, 30*time.Second))
		}
		s.every(20*time.Second, 8*time.Second, func() {
			for _, m := range s.sampleMachines(0.3, hasTask) {
				s.count("machines with tasks lost")
				switch s.rng.IntN(3) {
				case 0:
					m.terminate()
				case 1:
					m.reboot()
				default:
					s.hangMachine(m, s.between(10*time.Second, 40*time.Second))
				}
			}
		})
		crashLeaderRepeatedly(s, 50*time.Second, 45*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"machines with tasks lost": 30, "leaders crashed": 6}},
}
