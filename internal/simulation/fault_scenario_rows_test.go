package simulation

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// faultScenarios are the rows of TestFaultScenarios; docs/fault-scenarios.md has the argument for each.
var faultScenarios = []faultScenario{
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
	}, least: eventCounts{"outage after confirmation by the next leader": 6, "cancelled jobs with tasks as the outage began": 4, "cancellations confirmed": 20, "outages": 12, "workers directed to the old leader": 1000}},

	{name: "refused leader, outages each way, users look", noise: true, length: 280 * time.Second, alter: func(o *Options) { o.Lease = 28 * time.Second }, script: func(s *script) {
		s.submitEndless(12, 0)
		s.submitShort(30, 0, 200*time.Second)
		s.submitEndless(8, 130*time.Second)
		s.probeConsistency()
		refusedLeaderThenOutage(s, s.between(25*time.Second, 35*time.Second), func(s *script) { s.outage(s.w.options.CancelWithin + s.between(2*time.Second, 12*time.Second)) })
		refusedLeaderThenOutage(s, s.between(155*time.Second, 175*time.Second), func(s *script) { s.outages(4, s.w.options.Lease*8/10, time.Second) })
	}, least: eventCounts{"outage after confirmation by the next leader": 5, "cancellations confirmed": 20, "consistency probes": 1000}},

	{name: "hand over and back, all end, one returns", script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(20, 0, 120*time.Second)
		s.every(15*time.Second, 14*time.Second, func() { s.shutDownLeader(s.between(10*time.Millisecond, time.Second)) })
		s.every(40*time.Second, 37*time.Second, func() {
			s.crashAll(3*time.Second, 20*time.Second)
			s.at(1001*time.Millisecond, func() { s.w.nodes[0].crash(s.between(10*time.Millisecond, time.Second)) })
		})
		s.every(20*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
	}, least: eventCounts{"leaders elected": 25, "leaders shut down": 20, "crashes of all controllers": 8, "cancellations confirmed": 12}},

	{name: "ten leaders in two minutes, also inside an outage", script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(25, 0, 120*time.Second)
		crashLeaderRepeatedly(s, 10*time.Second, 9*time.Second, 10*time.Millisecond, 3*time.Second)
		s.at(s.between(50*time.Second, 70*time.Second), func() {
			s.outage(s.between(8*time.Second, 25*time.Second))
			s.crashAll(100*time.Millisecond, 2*time.Second)
		})
		s.every(20*time.Second, 25*time.Second, func() { s.cancelNow(2, 0) })
	}, least: eventCounts{"leaders elected": 40, "leaders crashed": 40, "outages": 4, "cancellations confirmed": 10}},

	{name: "commands and answers held up, machines go on", noise: true, script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(30, 0, 120*time.Second)
		s.delayedAnswerShare, s.delayedCommandShare = 0.15, 0.5
		s.every(20*time.Second, 15*time.Second, func() { s.cancelNow(1, s.between(time.Second, 15*time.Second)) })
		crashLeaderRepeatedly(s, 45*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"answers with commands delayed": 20, "commands delayed": 4, "machines with tasks hung": 20, "cancellations confirmed": 12}},

	{name: "leader alone with workers and users", noise: true, script: func(s *script) {
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
	}, least: eventCounts{"nodes partitioned from peers and state service": 10, "another leader elected": 8, "cancellations confirmed": 12, "consistency probes": 1000}},

	{name: "team at its limit, leader changes, machines cut, cancellation", noise: true, script: func(s *script) {
		limitTeams(s)
		for range 8 {
			s.add(s.between(0, 3*time.Second), pipeline.Spec{Team: "red", Tasks: 2}, endless)
		}
		s.submitShort(25, 0, 120*time.Second)
		s.every(40*time.Second, 30*time.Second, func() {
			if s.teamAtLimit("red") {
				s.count("team at its limit")
			}
			s.cutMachines(s.sampleMachines(0.6, hasTask), s.between(5*time.Second, 30*time.Second))
			s.crash(s.w.currentLeader(), s.between(time.Second, 5*time.Second))
			s.at(s.between(0, 6*time.Second), func() { s.cancelNow(2, 0) })
		})
	}, least: eventCounts{"team at its limit": 6, "machines with tasks cut off": 5, "leaders crashed": 8, "cancellations confirmed": 12}},

	{name: "cancellations while work changes hands", script: func(s *script) {
		s.submitEndless(14, 0)
		s.probeConsistency()
		s.every(25*time.Second, 20*time.Second, func() {
			if s.chance(0.5) {
				s.crash(s.w.currentLeader(), s.between(10*time.Millisecond, 3*time.Second))
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
	}, least: eventCounts{"cancellations requested while nobody leads": 10, "leaders crashed": 16, "cancellations confirmed": 25}},

	{name: "only the answers of transactions lost", noise: true, script: func(s *script) {
		s.submitEndless(8, 0)
		s.submitShort(40, 0, 120*time.Second)
		s.probeConsistency()
		s.every(15*time.Second, 20*time.Second, func() { s.lateWrites(0.4, 12*time.Second, true) })
		s.every(20*time.Second, 10*time.Second, func() { s.cancelNow(1, 0) })
		crashLeaderRepeatedly(s, 50*time.Second, 45*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"answers of transactions lost": 60, "cancellations confirmed": 16, "consistency probes": 2000, "repeated submissions answered": 150}},

	{name: "all teams at their limits, cancellations on machines out of reach", noise: true, script: func(s *script) {
		limitTeams(s)
		for _, team := range []string{"red", "blue", "green"} {
			for range 5 {
				s.add(s.between(0, 3*time.Second), pipeline.Spec{Team: team, Tasks: 2}, endless)
			}
		}
		s.submitShort(30, 0, 120*time.Second)
		s.every(50*time.Second, 40*time.Second, func() {
			if s.teamAtLimit("red") && s.teamAtLimit("blue") && s.teamAtLimit("green") {
				s.count("all teams at their limits")
			}
			s.cutMachines(s.sampleMachines(0.4, hasTask), s.between(5*time.Second, 45*time.Second))
			s.cancelNow(4, s.between(5*time.Second, 30*time.Second))
			s.at(s.between(0, 3*time.Second), func() { s.crash(s.w.currentLeader(), s.between(10*time.Millisecond, 3*time.Second)) })
		})
	}, least: eventCounts{"all teams at their limits": 2, "machines with tasks cut off": 6, "machines with tasks hung": 6, "leaders crashed": 6, "cancellations confirmed": 16}},

	{name: "quick machines, late writes, the leader ends", noise: true, script: func(s *script) {
		s.quickMachines = true
		s.submitShort(60, 0, 130*time.Second)
		s.every(5*time.Second, 20*time.Second, func() { s.lateWrites(0.4, 15*time.Second, s.chance(0.3)) })
		s.every(15*time.Second, 17*time.Second, func() {
			n := len(s.w.machines)
			s.add(0, pipeline.Spec{Tasks: 5, CPUs: 3, MemGB: 4, Team: "green"}, 8*time.Second)
			s.when(func() bool { return len(s.w.machines) > n }, func() {
				s.at(s.between(0, 4*time.Second), func() { s.crash(s.w.currentLeader(), s.between(10*time.Millisecond, 2*time.Second)) })
			})
		})
	}, least: eventCounts{"quick machines": 8, "late transactions carried out": 4, "leaders crashed": 4}},

	{name: "more work than room over slow links", alter: func(o *Options) { o.Length = 200 * time.Second }, script: func(s *script) {
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
			s.add(s.between(0, 90*time.Second), sp, s.between(5*time.Second, 15*time.Second))
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

	{name: "tasks end far apart across a change of leader", noise: true, script: func(s *script) {
		for i := range 30 {
			j := s.add(s.between(0, 90*time.Second), pipeline.Spec{Tasks: 2 + i%2, CPUs: 1, MemGB: 1}, 20*time.Second)
			j.runs = []time.Duration{s.between(time.Second, 4*time.Second), s.between(15*time.Second, 40*time.Second)}
		}
		s.onTaskDone = append(s.onTaskDone, func(t *task) {
			if left := t.job.spec.Tasks - len(t.job.done); left > 0 && s.tasksOf(t.job) > 0 && s.chance(0.3) {
				s.count("one task done, others running")
				s.at(s.between(0, 3*time.Second), func() { s.crash(s.w.currentLeader(), s.between(10*time.Millisecond, 3*time.Second)) })
			}
		})
		s.probeConsistency()
	}, least: eventCounts{"one task done, others running": 20, "leaders crashed": 16}},

	{name: "zone cut off beyond the lease", noise: true, script: func(s *script) {
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

	{name: "all away beyond the lease", noise: true, script: func(s *script) {
		s.submitEndless(10, 0)
		s.submitShort(25, 0, 120*time.Second)
		s.every(30*time.Second, 55*time.Second, func() {
			s.cancelNow(2, 0)
			s.at(s.between(0, time.Second), func() { s.crashAll(s.w.options.Lease, s.w.options.Lease+8*time.Second) })
		})
	}, least: eventCounts{"crashes of all controllers": 8, "leaders elected": 12, "cancellations confirmed": 12}},

	{name: "leader ends, machines unreached or deaf to the next", noise: true, script: func(s *script) {
		s.submitEndless(10, 0)
		s.submitShort(25, 0, 120*time.Second)
		s.every(30*time.Second, 35*time.Second, func() {
			s.cutMachines(s.sampleMachines(0.4, hasTask), s.between(3*time.Second, 40*time.Second))
			s.loseInbound(s.sampleMachines(0.4, hasTask), s.between(3*time.Second, 40*time.Second))
			s.crash(s.w.currentLeader(), s.between(10*time.Millisecond, 3*time.Second))
			s.at(s.between(0, 8*time.Second), func() { s.cancelNow(2, 0) })
		})
	}, least: eventCounts{"machines with tasks cut off": 8, "machines with inbound loss": 8, "leaders crashed": 12, "cancellations confirmed": 12}},

	{name: "jobs bound to a zone lose machines", noise: true, script: func(s *script) {
		for i := range 30 {
			sp := pipeline.Spec{Tasks: 1 + i%4, Zone: s.w.zones[i%len(s.w.zones)]}
			switch i % 3 {
			case 1:
				sp.Shape = pipeline.Gang
			case 2:
				sp.Zone, sp.OneZone = "", true
			}
			s.add(s.between(0, 90*time.Second), sp, s.between(5*time.Second, 30*time.Second))
		}
		s.every(20*time.Second, 8*time.Second, func() {
			for _, m := range s.sampleMachines(0.3, hasTask) {
				s.count("machines with tasks lost")
				switch s.rng.IntN(3) {
				case 0:
					m.die()
				case 1:
					m.reboot()
				default:
					s.hangMachine(m, s.between(10*time.Second, 40*time.Second))
				}
			}
		})
		crashLeaderRepeatedly(s, 50*time.Second, 45*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"machines with tasks lost": 30, "leaders crashed": 6}},

	{name: "cancellation meets the end", script: func(s *script) {
		s.submitShort(60, 0, 130*time.Second)
		whenJobEnds(s, 0.9, func(j *userJob) { s.at(s.between(0, 300*time.Millisecond), j.cancel) })
		s.probeConsistency()
	}, least: eventCounts{"job ends met": 120, "consistency probes": 5000, "repeated submissions of finished jobs answered": 100}},

	{name: "questions and repeated submissions meet the end", script: func(s *script) {
		s.submitShort(60, 0, 130*time.Second)
		whenJobEnds(s, 1, func(j *userJob) {
			for range 40 {
				n := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
				s.at(s.between(0, 3*time.Second), func() { s.queryJob(n, j) })
				s.at(s.between(0, 3*time.Second), func() { s.resubmit(n, j) })
			}
		})
	}, least: eventCounts{"job ends met": 150, "consistency probes": 5000, "repeated submissions of finished jobs answered": 2000}},

	{name: "old reports, also of earlier sessions", noise: true, script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(30, 0, 120*time.Second)
		s.lateHeartbeats(0.6, s.w.options.Length, false)
		s.every(30*time.Second, 25*time.Second, func() {
			for _, m := range s.sampleMachines(0.3, hasTask) {
				if s.chance(0.5) {
					m.reboot()
				} else {
					s.hangMachine(m, s.w.options.Lease+s.between(time.Second, 5*time.Second))
				}
			}
		})
		s.every(35*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
		crashLeaderRepeatedly(s, 45*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"duplicate heartbeats": 200, "duplicate heartbeats of an earlier incarnation": 10, "leaders crashed": 6, "cancellations confirmed": 8}},

	{name: "mute machines", noise: true, script: func(s *script) {
		s.submitEndless(8, 0)
		s.submitShort(25, 0, 120*time.Second)
		s.every(25*time.Second, 30*time.Second, func() {
			s.loseOutbound(s.sampleMachines(0.5, hasTask), s.between(5*time.Second, 40*time.Second))
			s.at(s.between(0, 5*time.Second), func() { s.cancelNow(2, 0) })
			if s.chance(0.5) {
				s.at(s.between(0, 5*time.Second), func() { s.crash(s.w.currentLeader(), s.between(10*time.Millisecond, 3*time.Second)) })
			}
		})
	}, least: eventCounts{"machines with outbound loss": 10, "heartbeats of machines with outbound loss": 80, "commands to machines with outbound loss": 5, "cancellations confirmed": 12}},

	{name: "late transactions after newer ones", noise: true, script: func(s *script) {
		s.submitEndless(8, 0)
		s.submitShort(40, 0, 120*time.Second)
		s.probeConsistency()
		s.every(15*time.Second, 20*time.Second, func() { s.lateWrites(0.7, 15*time.Second, false) })
		s.every(20*time.Second, 10*time.Second, func() { s.cancelNow(1, 0) })
		crashLeaderRepeatedly(s, 50*time.Second, 35*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"late transactions carried out": 12, "late transactions refused": 60, "cancellations confirmed": 16, "leaders crashed": 8}},

	{name: "close looks, some cancel at once", noise: true, script: func(s *script) {
		s.submitShort(60, 0, 130*time.Second)
		s.probeConsistency()
		cancelShare(s, 0.3, 0)
		crashLeaderRepeatedly(s, 30*time.Second, 30*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"consistency probes": 6000, "repeated submissions answered": 300, "cancellations requested": 40, "cancellations confirmed": 40}},

	{name: "old reports reach all as a leader begins", noise: true, script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(30, 0, 120*time.Second)
		s.lateHeartbeats(0.3, s.w.options.Length, true)
		crashLeaderRepeatedly(s, 20*time.Second, 18*time.Second, 10*time.Millisecond, 3*time.Second)
		s.every(25*time.Second, 20*time.Second, func() { s.cancelNow(1, s.between(time.Second, 10*time.Second)) })
	}, least: eventCounts{"duplicate heartbeats": 500, "leaders crashed": 16, "cancellations confirmed": 12}},

	{name: "slow state service, refusals, users cancel and ask", noise: true, length: 220 * time.Second, script: func(s *script) {
		s.submitEndless(10, 0)
		s.submitEndless(6, 100*time.Second)
		s.submitShort(30, 0, 180*time.Second)
		s.probeConsistency()
		s.every(20*time.Second, 50*time.Second, func() {
			s.storeDelay = s.between(200*time.Millisecond, 2*time.Second)
			s.at(15*time.Second, func() { s.storeDelay = 0 })
		})
		s.every(22*time.Second, 12*time.Second, func() { s.cancelNow(1, 0) })
		s.at(s.between(60*time.Second, 80*time.Second), func() {
			s.onceLeader(func(n *node) {
				s.refuse(n, 30*time.Second)
				s.at(s.between(time.Second, 10*time.Second), func() { s.outage(s.w.options.CancelWithin + s.between(time.Second, 10*time.Second)) })
			})
		})
	}, least: eventCounts{"slow calls": 800, "nodes refused by the state service": 4, "refused commits": 2, "outages": 4, "cancellations confirmed": 16, "consistency probes": 3000}},

	{name: "reports held until a new leader has acted", noise: true, script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(30, 0, 120*time.Second)
		s.heldHeartbeats(0.1, s.w.options.Length)
		crashLeaderRepeatedly(s, 20*time.Second, 18*time.Second, 10*time.Millisecond, 3*time.Second)
		s.every(25*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
	}, least: eventCounts{"held heartbeats": 60, "leaders crashed": 16, "cancellations confirmed": 12}},

	{name: "four one-task jobs a second, a quarter cancelled", script: func(s *script) {
		for at := time.Duration(0); at < 120*time.Second; at += 250 * time.Millisecond {
			s.add(at, pipeline.Spec{Tasks: 1, CPUs: 1, MemGB: 1, Team: "green"}, s.between(time.Second, 4*time.Second))
		}
		cancelShare(s, 0.25, 3*time.Second)
		crashLeaderRepeatedly(s, 40*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"cancellations confirmed": 300, "leaders crashed": 8}},

	{name: "cancelled as the leader is refused, then out for all", length: 200 * time.Second, script: func(s *script) {
		s.submitEndless(14, 0)
		s.probeConsistency()
		s.every(s.between(30*time.Second, 40*time.Second), 80*time.Second, func() {
			s.onceLeader(func(old *node) {
				s.cancelNow(5, s.between(0, 10*time.Second))
				s.at(s.between(0, 200*time.Millisecond), func() { s.refuse(old, s.between(3*time.Second, 60*time.Second)) })
				s.at(time.Second, func() {
					s.outage(s.w.options.CancelWithin + s.between(2*time.Second, 12*time.Second))
					s.sendHeartbeatsTo(old, s.w.options.CancelWithin)
				})
			})
		})
	}, least: eventCounts{"cancellations requested": 25, "nodes refused by the state service": 6, "refused calls": 10, "outages": 6, "cancellations confirmed": 20}},

	{name: "odd requests", noise: true, script: func(s *script) {
		s.submitShort(40, 0, 130*time.Second)
		s.oddRequests(10*time.Second, time.Second)
		crashLeaderRepeatedly(s, 40*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"invalid submissions refused": 300, "repeated submissions answered": 300, "cancellations of completed jobs": 200}},

	{name: "nodes back in a split second amid elections", script: func(s *script) {
		s.submitEndless(6, 0)
		s.submitShort(25, 0, 120*time.Second)
		s.onLeader = append(s.onLeader, func(n *node) {
			if s.chance(0.6) {
				s.at(s.between(0, time.Second), func() { s.crash(n, s.between(10*time.Millisecond, 300*time.Millisecond)) })
			}
			o := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
			s.at(s.between(0, time.Second), func() { s.crash(o, s.between(10*time.Millisecond, 300*time.Millisecond)) })
		})
		crashLeaderRepeatedly(s, 20*time.Second, 20*time.Second, 10*time.Millisecond, 300*time.Millisecond)
		s.every(20*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
	}, least: eventCounts{"leaders elected": 40, "leaders crashed": 40, "cancellations confirmed": 10}},

	{name: "leaders change around an outage, nodes that promised end", noise: true, script: func(s *script) {
		s.submitEndless(8, 0)
		s.submitShort(25, 0, 120*time.Second)
		s.every(20*time.Second, 33*time.Second, func() {
			s.onceLeader(func(old *node) {
				// Refused alone, the old leader hasn't learnt that another leads when that one ends.
				s.refuse(old, s.between(20*time.Second, 30*time.Second))
				s.onceNextLeader(old, func(n *node) {
					s.cancelNow(1, 0)
					s.at(s.between(0, 3*time.Second), func() {
						s.crash(n, s.between(10*time.Millisecond, 500*time.Millisecond))
						s.at(s.between(0, 2*time.Second), func() { s.outage(s.between(2*time.Second, 12*time.Second)) })
					})
				})
			})
		})
		s.every(10*time.Second, 7*time.Second, func() { s.outage(s.between(time.Second, 6*time.Second)) })
		s.every(15*time.Second, 4*time.Second, func() { s.grantWhileServed = s.chance(0.6) })
		s.every(10*time.Second, time.Second, func() { // nodes that granted an extension end and are back at once
			for _, n := range s.w.nodes {
				if n.local().Before(n.candidacy.grantedUntil) && s.chance(0.1) {
					s.count("nodes that had granted an extension crashed")
					s.crash(n, s.between(10*time.Millisecond, 300*time.Millisecond))
				}
			}
		})
		s.at(s.w.options.Length-time.Second, func() {
			for range s.w.leaseExtensions {
				s.count("lease extensions")
			}
		})
	}, least: eventCounts{"lease extensions": 40, "nodes that had granted an extension crashed": 20, "nodes refused by the state service": 8, "leaders elected": 16, "leaders crashed": 8, "cancellations confirmed": 8}},

	{name: "cancellations cross writes of their jobs, late and slow", noise: true, script: func(s *script) {
		for range 30 {
			j := s.add(s.between(0, 100*time.Second), pipeline.Spec{Tasks: 8, CPUs: 1, MemGB: 1, Team: "green"}, 20*time.Second)
			for range j.spec.Tasks {
				j.runs = append(j.runs, s.between(2*time.Second, 40*time.Second))
			}
		}
		cancelShare(s, 0.8, 30*time.Second)
		s.probeConsistency()
		s.every(5*time.Second, 12*time.Second, func() {
			s.storeDelay = s.between(0, 700*time.Millisecond)
			s.lateWrites(0.5, 8*time.Second, s.chance(0.3))
		})
		s.every(5*time.Second, 250*time.Millisecond, func() {
			for _, j := range s.w.sortedJobs() {
				if j.cancelRequested && j.accepted && j.reportedPhase == pipeline.Active {
					s.count("queries while a cancellation is open")
					for _, n := range s.w.nodes {
						s.queryJob(n, j)
					}
				}
			}
		})
	}, least: eventCounts{"cancellations requested": 50, "cancellations confirmed": 30, "queries while a cancellation is open": 200, "slow calls": 1000, "late transactions carried out": 8, "answers of transactions lost": 15}},

	{name: "cancelled tasks on silent machines, the lease longer than cancel", length: 200 * time.Second, alter: func(o *Options) { o.Lease = 90 * time.Second }, script: func(s *script) {
		s.submitEndless(16, 0)
		s.submitEndless(8, 90*time.Second)
		s.every(35*time.Second, 50*time.Second, func() {
			silent, d := s.sampleMachines(0.6, hasTask), s.between(60*time.Second, 80*time.Second)
			s.cutMachines(silent, d)
			s.loseInbound(silent, d) // no command reaches them late either
			s.at(s.between(0, 5*time.Second), func() { s.cancelNow(4, 0) })
		})
	}, least: eventCounts{"machines with tasks cut off": 20, "machines with inbound loss": 20, "cancellations confirmed": 30}},
}
