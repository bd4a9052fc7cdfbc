package simulation

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// faultScenarios are the rows of TestFaultScenarios; docs/fault-scenarios.md has the argument for each.
var faultScenarios = []faultScenario{
	{name: "refused leader, next one confirms, out for all", length: 280 * time.Second, script: func(s *script) {
		s.long(12, 0)
		s.long(8, 130*time.Second)
		long := func(s *script) { s.outage(s.w.o.Cancel + s.between(2*time.Second, 12*time.Second)) }
		short := func(s *script) { s.outages(4, s.w.o.Lease*8/10, time.Second) }
		if s.w.o.Seed%2 == 0 {
			long, short = short, long
		}
		refusedThenOut(s, s.between(25*time.Second, 35*time.Second), long)
		refusedThenOut(s, s.between(155*time.Second, 175*time.Second), short)
	}, least: map[string]int{"outage after confirmation by the next leader": 6, "cancelled jobs with tasks as the outage began": 4, "confirmed": 20, "outages": 12, "workers aimed at the old leader": 1000}},

	{name: "refused leader, outages each way, users look", noise: true, length: 280 * time.Second, alter: func(o *Options) { o.Lease = 28 * time.Second }, script: func(s *script) {
		s.long(12, 0)
		s.short(30, 0, 200*time.Second)
		s.long(8, 130*time.Second)
		s.probeConsistency()
		refusedThenOut(s, s.between(25*time.Second, 35*time.Second), func(s *script) { s.outage(s.w.o.Cancel + s.between(2*time.Second, 12*time.Second)) })
		refusedThenOut(s, s.between(155*time.Second, 175*time.Second), func(s *script) { s.outages(4, s.w.o.Lease*8/10, time.Second) })
	}, least: map[string]int{"outage after confirmation by the next leader": 5, "confirmed": 20, "consistency probes": 1000}},

	{name: "hand over and back, all end, one returns", script: func(s *script) {
		s.long(6, 0)
		s.short(20, 0, 120*time.Second)
		s.every(15*time.Second, 14*time.Second, func() { s.handOver(s.between(10*time.Millisecond, time.Second)) })
		s.every(40*time.Second, 37*time.Second, func() {
			s.crashAll(3*time.Second, 20*time.Second)
			s.at(1001*time.Millisecond, func() { s.w.nodes[0].crash(s.between(10*time.Millisecond, time.Second)) })
		})
		s.every(20*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
	}, least: map[string]int{"leaders": 25, "handed over": 20, "all ended": 8, "confirmed": 12}},

	{name: "ten leaders in two minutes, also inside an outage", script: func(s *script) {
		s.long(6, 0)
		s.short(25, 0, 120*time.Second)
		changes(s, 10*time.Second, 9*time.Second, 10*time.Millisecond, 3*time.Second)
		s.at(s.between(50*time.Second, 70*time.Second), func() {
			s.outage(s.between(8*time.Second, 25*time.Second))
			s.crashAll(100*time.Millisecond, 2*time.Second)
		})
		s.every(20*time.Second, 25*time.Second, func() { s.cancelNow(2, 0) })
	}, least: map[string]int{"leaders": 40, "leaders ended": 40, "outages": 4, "confirmed": 10}},

	{name: "commands and answers held up, machines go on", noise: true, script: func(s *script) {
		s.long(6, 0)
		s.short(30, 0, 120*time.Second)
		s.answers, s.delayedCommands = 0.15, 0.5
		s.every(20*time.Second, 15*time.Second, func() { s.cancelNow(1, s.between(time.Second, 15*time.Second)) })
		changes(s, 45*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: map[string]int{"answers with commands held up": 20, "commands held up": 4, "busy machines hung": 20, "confirmed": 12}},

	{name: "leader alone with workers and users", noise: true, script: func(s *script) {
		s.long(10, 0)
		s.short(20, 0, 120*time.Second)
		s.probeConsistency()
		s.every(25*time.Second, 40*time.Second, func() {
			s.withLeader(func(old *node) {
				s.alone(old, s.between(15*time.Second, 35*time.Second))
				s.sendHeartbeatsTo(old, 10*time.Second)
				s.afterLeader(old, func(*node) {
					s.note("another leads")
					s.cancelNow(2, 0)
				})
			})
		})
	}, least: map[string]int{"nodes alone": 10, "another leads": 8, "confirmed": 12, "consistency probes": 1000}},

	{name: "team at its limit, leader changes, machines cut, cancellation", noise: true, script: func(s *script) {
		limitAll(s)
		for range 8 {
			s.add(s.between(0, 3*time.Second), pipeline.Spec{Team: "red", Tasks: 2}, endless)
		}
		s.short(25, 0, 120*time.Second)
		s.every(40*time.Second, 30*time.Second, func() {
			if s.full("red") {
				s.note("team full")
			}
			s.cutMachines(s.some(0.6, busy), s.between(5*time.Second, 30*time.Second))
			s.crash(s.ruling(), s.between(time.Second, 5*time.Second))
			s.at(s.between(0, 6*time.Second), func() { s.cancelNow(2, 0) })
		})
	}, least: map[string]int{"team full": 6, "busy machines cut": 5, "leaders ended": 8, "confirmed": 12}},

	{name: "cancellations while work changes hands", script: func(s *script) {
		s.long(14, 0)
		s.probeConsistency()
		s.every(25*time.Second, 20*time.Second, func() {
			if s.chance(0.5) {
				s.crash(s.ruling(), s.between(10*time.Millisecond, 3*time.Second))
			} else {
				s.handOver(s.between(10*time.Millisecond, 3*time.Second))
			}
			for range 3 {
				s.at(s.between(0, 4*time.Second), func() {
					if s.ruling() == nil {
						s.note("called off while nobody leads")
					}
					s.cancelNow(1, 0)
				})
			}
		})
	}, least: map[string]int{"called off while nobody leads": 10, "leaders ended": 16, "confirmed": 25}},

	{name: "only the answers of transactions lost", noise: true, script: func(s *script) {
		s.long(8, 0)
		s.short(40, 0, 120*time.Second)
		s.probeConsistency()
		s.every(15*time.Second, 20*time.Second, func() { s.lateWrites(0.4, 12*time.Second, true) })
		s.every(20*time.Second, 10*time.Second, func() { s.cancelNow(1, 0) })
		changes(s, 50*time.Second, 45*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: map[string]int{"answers of transactions lost": 60, "confirmed": 16, "consistency probes": 2000, "repeated submissions answered": 150}},

	{name: "all teams at their limits, cancellations on machines out of reach", noise: true, script: func(s *script) {
		limitAll(s)
		for _, team := range []string{"red", "blue", "green"} {
			for range 5 {
				s.add(s.between(0, 3*time.Second), pipeline.Spec{Team: team, Tasks: 2}, endless)
			}
		}
		s.short(30, 0, 120*time.Second)
		s.every(50*time.Second, 40*time.Second, func() {
			if s.full("red") && s.full("blue") && s.full("green") {
				s.note("all full")
			}
			s.cutMachines(s.some(0.4, busy), s.between(5*time.Second, 45*time.Second))
			s.cancelNow(4, s.between(5*time.Second, 30*time.Second))
			s.at(s.between(0, 3*time.Second), func() { s.crash(s.ruling(), s.between(10*time.Millisecond, 3*time.Second)) })
		})
	}, least: map[string]int{"all full": 2, "busy machines cut": 6, "busy machines hung": 6, "leaders ended": 6, "confirmed": 16}},

	{name: "quick machines, late writes, the leader ends", noise: true, script: func(s *script) {
		s.quick = true
		s.short(60, 0, 130*time.Second)
		s.every(5*time.Second, 20*time.Second, func() { s.lateWrites(0.4, 15*time.Second, s.chance(0.3)) })
		s.every(15*time.Second, 17*time.Second, func() {
			n := len(s.w.machines)
			s.add(0, pipeline.Spec{Tasks: 5, CPUs: 3, MemGB: 4, Team: "green"}, 8*time.Second)
			s.when(func() bool { return len(s.w.machines) > n }, func() {
				s.at(s.between(0, 4*time.Second), func() { s.crash(s.ruling(), s.between(10*time.Millisecond, 2*time.Second)) })
			})
		})
	}, least: map[string]int{"quick machines": 8, "late transactions carried out": 4, "leaders ended": 4}},

	{name: "more work than room over slow links", alter: func(o *Options) { o.Length = 200 * time.Second }, script: func(s *script) {
		s.link = 700 * time.Millisecond
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
		someCancel(s, 0.2, 40*time.Second)
		changes(s, 60*time.Second, 50*time.Second, 10*time.Millisecond, 3*time.Second)
		s.every(30*time.Second, 10*time.Second, func() {
			for _, j := range s.sortedJobs() {
				if j.accepted && j.told == pipeline.Active && j.began.IsZero() {
					s.note("jobs without room")
				}
			}
		})
	}, least: map[string]int{"jobs without room": 40, "leaders ended": 6, "confirmed": 10}},

	{name: "tasks end far apart across a change of leader", noise: true, script: func(s *script) {
		for i := range 30 {
			j := s.add(s.between(0, 90*time.Second), pipeline.Spec{Tasks: 2 + i%2, CPUs: 1, MemGB: 1}, 20*time.Second)
			j.runs = []time.Duration{s.between(time.Second, 4*time.Second), s.between(15*time.Second, 40*time.Second)}
		}
		s.onTaskDone = append(s.onTaskDone, func(t *task) {
			if left := t.job.spec.Tasks - len(t.job.done); left > 0 && s.tasksOf(t.job) > 0 && s.chance(0.3) {
				s.note("one task done, others run")
				s.at(s.between(0, 3*time.Second), func() { s.crash(s.ruling(), s.between(10*time.Millisecond, 3*time.Second)) })
			}
		})
		s.probeConsistency()
	}, least: map[string]int{"one task done, others run": 20, "leaders ended": 16}},

	{name: "zone cut off beyond the lease", noise: true, script: func(s *script) {
		s.long(10, 0)
		s.short(25, 0, 120*time.Second)
		s.every(30*time.Second, 60*time.Second, func() {
			s.withLeader(func(n *node) {
				if s.chance(0.6) {
					s.note("the leader's zone")
					s.cutZone(n.zone, s.w.o.Lease+s.between(2*time.Second, 15*time.Second))
				} else {
					s.cutZone(s.w.zones[s.rng.IntN(len(s.w.zones))], s.w.o.Lease+s.between(2*time.Second, 15*time.Second))
				}
				s.at(s.between(0, 10*time.Second), func() { s.cancelNow(3, 0) })
			})
		})
	}, least: map[string]int{"zones cut": 8, "the leader's zone": 2, "confirmed": 12}},

	{name: "all away beyond the lease", noise: true, script: func(s *script) {
		s.long(10, 0)
		s.short(25, 0, 120*time.Second)
		s.every(30*time.Second, 55*time.Second, func() {
			s.cancelNow(2, 0)
			s.at(s.between(0, time.Second), func() { s.crashAll(s.w.o.Lease, s.w.o.Lease+8*time.Second) })
		})
	}, least: map[string]int{"all ended": 8, "leaders": 12, "confirmed": 12}},

	{name: "leader ends, machines unreached or deaf to the next", noise: true, script: func(s *script) {
		s.long(10, 0)
		s.short(25, 0, 120*time.Second)
		s.every(30*time.Second, 35*time.Second, func() {
			s.cutMachines(s.some(0.4, busy), s.between(3*time.Second, 40*time.Second))
			s.loseInbound(s.some(0.4, busy), s.between(3*time.Second, 40*time.Second))
			s.crash(s.ruling(), s.between(10*time.Millisecond, 3*time.Second))
			s.at(s.between(0, 8*time.Second), func() { s.cancelNow(2, 0) })
		})
	}, least: map[string]int{"busy machines cut": 8, "machines with inbound loss": 8, "leaders ended": 12, "confirmed": 12}},

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
			for _, m := range s.some(0.3, busy) {
				s.note("busy machines lost")
				switch s.rng.IntN(3) {
				case 0:
					m.die()
				case 1:
					m.reboot()
				default:
					s.hang(m, s.between(10*time.Second, 40*time.Second))
				}
			}
		})
		changes(s, 50*time.Second, 45*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: map[string]int{"busy machines lost": 30, "leaders ended": 6}},

	{name: "cancellation meets the end", script: func(s *script) {
		s.short(60, 0, 130*time.Second)
		atEndOf(s, 0.9, func(j *userJob) { s.at(s.between(0, 300*time.Millisecond), j.cancel) })
		s.probeConsistency()
	}, least: map[string]int{"ends met": 120, "consistency probes": 5000, "repeated submissions of jobs over answered": 100}},

	{name: "questions and repeated submissions meet the end", script: func(s *script) {
		s.short(60, 0, 130*time.Second)
		atEndOf(s, 1, func(j *userJob) {
			for range 40 {
				n := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
				s.at(s.between(0, 3*time.Second), func() { s.ask(n, j) })
				s.at(s.between(0, 3*time.Second), func() { s.resubmit(n, j) })
			}
		})
	}, least: map[string]int{"ends met": 150, "consistency probes": 5000, "repeated submissions of jobs over answered": 2000}},

	{name: "old reports, also of earlier sessions", noise: true, script: func(s *script) {
		s.long(6, 0)
		s.short(30, 0, 120*time.Second)
		s.lateHeartbeats(0.6, s.w.o.Length, false)
		s.every(30*time.Second, 25*time.Second, func() {
			for _, m := range s.some(0.3, busy) {
				if s.chance(0.5) {
					m.reboot()
				} else {
					s.hang(m, s.w.o.Lease+s.between(time.Second, 5*time.Second))
				}
			}
		})
		s.every(35*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
		changes(s, 45*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: map[string]int{"copies": 200, "copies of an earlier session": 10, "leaders ended": 6, "confirmed": 8}},

	{name: "mute machines", noise: true, script: func(s *script) {
		s.long(8, 0)
		s.short(25, 0, 120*time.Second)
		s.every(25*time.Second, 30*time.Second, func() {
			s.loseOutbound(s.some(0.5, busy), s.between(5*time.Second, 40*time.Second))
			s.at(s.between(0, 5*time.Second), func() { s.cancelNow(2, 0) })
			if s.chance(0.5) {
				s.at(s.between(0, 5*time.Second), func() { s.crash(s.ruling(), s.between(10*time.Millisecond, 3*time.Second)) })
			}
		})
	}, least: map[string]int{"machines with outbound loss": 10, "reports of machines with outbound loss": 80, "commands to machines with outbound loss": 5, "confirmed": 12}},

	{name: "late transactions after newer ones", noise: true, script: func(s *script) {
		s.long(8, 0)
		s.short(40, 0, 120*time.Second)
		s.probeConsistency()
		s.every(15*time.Second, 20*time.Second, func() { s.lateWrites(0.7, 15*time.Second, false) })
		s.every(20*time.Second, 10*time.Second, func() { s.cancelNow(1, 0) })
		changes(s, 50*time.Second, 35*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: map[string]int{"late transactions carried out": 12, "late transactions refused": 60, "confirmed": 16, "leaders ended": 8}},

	{name: "close looks, some cancel at once", noise: true, script: func(s *script) {
		s.short(60, 0, 130*time.Second)
		s.probeConsistency()
		someCancel(s, 0.3, 0)
		changes(s, 30*time.Second, 30*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: map[string]int{"consistency probes": 6000, "repeated submissions answered": 300, "called off": 40, "confirmed": 40}},

	{name: "old reports reach all as a leader begins", noise: true, script: func(s *script) {
		s.long(6, 0)
		s.short(30, 0, 120*time.Second)
		s.lateHeartbeats(0.3, s.w.o.Length, true)
		changes(s, 20*time.Second, 18*time.Second, 10*time.Millisecond, 3*time.Second)
		s.every(25*time.Second, 20*time.Second, func() { s.cancelNow(1, s.between(time.Second, 10*time.Second)) })
	}, least: map[string]int{"copies": 500, "leaders ended": 16, "confirmed": 12}},

	{name: "slow state service, refusals, users cancel and ask", noise: true, length: 220 * time.Second, script: func(s *script) {
		s.long(10, 0)
		s.long(6, 100*time.Second)
		s.short(30, 0, 180*time.Second)
		s.probeConsistency()
		s.every(20*time.Second, 50*time.Second, func() {
			s.slow = s.between(200*time.Millisecond, 2*time.Second)
			s.at(15*time.Second, func() { s.slow = 0 })
		})
		s.every(22*time.Second, 12*time.Second, func() { s.cancelNow(1, 0) })
		s.at(s.between(60*time.Second, 80*time.Second), func() {
			s.withLeader(func(n *node) {
				s.refuse(n, 30*time.Second)
				s.at(s.between(time.Second, 10*time.Second), func() { s.outage(s.w.o.Cancel + s.between(time.Second, 10*time.Second)) })
			})
		})
	}, least: map[string]int{"slow calls": 800, "refused nodes": 4, "refused commits": 2, "outages": 4, "confirmed": 16, "consistency probes": 3000}},

	{name: "reports held until a new leader has acted", noise: true, script: func(s *script) {
		s.long(6, 0)
		s.short(30, 0, 120*time.Second)
		s.heldHeartbeats(0.1, s.w.o.Length)
		changes(s, 20*time.Second, 18*time.Second, 10*time.Millisecond, 3*time.Second)
		s.every(25*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
	}, least: map[string]int{"held reports": 60, "leaders ended": 16, "confirmed": 12}},

	{name: "four one-task jobs a second, a quarter cancelled", script: func(s *script) {
		for at := time.Duration(0); at < 120*time.Second; at += 250 * time.Millisecond {
			s.add(at, pipeline.Spec{Tasks: 1, CPUs: 1, MemGB: 1, Team: "green"}, s.between(time.Second, 4*time.Second))
		}
		someCancel(s, 0.25, 3*time.Second)
		changes(s, 40*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: map[string]int{"confirmed": 300, "leaders ended": 8}},

	{name: "cancelled as the leader is refused, then out for all", length: 200 * time.Second, script: func(s *script) {
		s.long(14, 0)
		s.probeConsistency()
		s.every(s.between(30*time.Second, 40*time.Second), 80*time.Second, func() {
			s.withLeader(func(old *node) {
				s.cancelNow(5, s.between(0, 10*time.Second))
				s.at(s.between(0, 200*time.Millisecond), func() { s.refuse(old, s.between(3*time.Second, 60*time.Second)) })
				s.at(time.Second, func() {
					s.outage(s.w.o.Cancel + s.between(2*time.Second, 12*time.Second))
					s.sendHeartbeatsTo(old, s.w.o.Cancel)
				})
			})
		})
	}, least: map[string]int{"called off": 25, "refused nodes": 6, "refused calls": 10, "outages": 6, "confirmed": 20}},

	{name: "odd requests", noise: true, script: func(s *script) {
		s.short(40, 0, 130*time.Second)
		s.oddRequests(10*time.Second, time.Second)
		changes(s, 40*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: map[string]int{"hopeless submissions refused": 300, "repeated submissions answered": 300, "cancellations of jobs done": 200}},

	{name: "nodes back in a split second amid elections", script: func(s *script) {
		s.long(6, 0)
		s.short(25, 0, 120*time.Second)
		s.onLeader = append(s.onLeader, func(n *node) {
			if s.chance(0.6) {
				s.at(s.between(0, time.Second), func() { s.crash(n, s.between(10*time.Millisecond, 300*time.Millisecond)) })
			}
			o := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
			s.at(s.between(0, time.Second), func() { s.crash(o, s.between(10*time.Millisecond, 300*time.Millisecond)) })
		})
		changes(s, 20*time.Second, 20*time.Second, 10*time.Millisecond, 300*time.Millisecond)
		s.every(20*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
	}, least: map[string]int{"leaders": 40, "leaders ended": 40, "confirmed": 10}},

	{name: "leaders change around an outage, nodes that promised end", noise: true, script: func(s *script) {
		s.long(8, 0)
		s.short(25, 0, 120*time.Second)
		s.every(20*time.Second, 33*time.Second, func() {
			s.withLeader(func(old *node) {
				// Refused alone, the old leader hasn't learnt that another leads when that one ends.
				s.refuse(old, s.between(20*time.Second, 30*time.Second))
				s.afterLeader(old, func(n *node) {
					s.cancelNow(1, 0)
					s.at(s.between(0, 3*time.Second), func() {
						s.crash(n, s.between(10*time.Millisecond, 500*time.Millisecond))
						s.at(s.between(0, 2*time.Second), func() { s.outage(s.between(2*time.Second, 12*time.Second)) })
					})
				})
			})
		})
		s.every(10*time.Second, 7*time.Second, func() { s.outage(s.between(time.Second, 6*time.Second)) })
		s.every(15*time.Second, 4*time.Second, func() { s.grantAnyway = s.chance(0.6) })
		s.every(10*time.Second, time.Second, func() { // nodes that granted an extension end and are back at once
			for _, n := range s.w.nodes {
				if n.local().Before(n.grantedUntil) && s.chance(0.1) {
					s.note("nodes that had granted an extension ended")
					s.crash(n, s.between(10*time.Millisecond, 300*time.Millisecond))
				}
			}
		})
		s.at(s.w.o.Length-time.Second, func() {
			for range s.w.leaseExtensions {
				s.note("lease extensions")
			}
		})
	}, least: map[string]int{"lease extensions": 40, "nodes that had granted an extension ended": 20, "refused nodes": 8, "leaders": 16, "leaders ended": 8, "confirmed": 8}},

	{name: "cancellations cross writes of their jobs, late and slow", noise: true, script: func(s *script) {
		for range 30 {
			j := s.add(s.between(0, 100*time.Second), pipeline.Spec{Tasks: 8, CPUs: 1, MemGB: 1, Team: "green"}, 20*time.Second)
			for range j.spec.Tasks {
				j.runs = append(j.runs, s.between(2*time.Second, 40*time.Second))
			}
		}
		someCancel(s, 0.8, 30*time.Second)
		s.probeConsistency()
		s.every(5*time.Second, 12*time.Second, func() {
			s.slow = s.between(0, 700*time.Millisecond)
			s.lateWrites(0.5, 8*time.Second, s.chance(0.3))
		})
		s.every(5*time.Second, 250*time.Millisecond, func() {
			for _, j := range s.sortedJobs() {
				if j.askedCancel && j.accepted && j.told == pipeline.Active {
					s.note("questions while a cancellation is open")
					for _, n := range s.w.nodes {
						s.ask(n, j)
					}
				}
			}
		})
	}, least: map[string]int{"called off": 50, "confirmed": 30, "questions while a cancellation is open": 200, "slow calls": 1000, "late transactions carried out": 8, "answers of transactions lost": 15}},

	{name: "cancelled tasks on silent machines, the lease longer than cancel", length: 200 * time.Second, alter: func(o *Options) { o.Lease = 90 * time.Second }, script: func(s *script) {
		s.long(16, 0)
		s.long(8, 90*time.Second)
		s.every(35*time.Second, 50*time.Second, func() {
			silent, d := s.some(0.6, busy), s.between(60*time.Second, 80*time.Second)
			s.cutMachines(silent, d)
			s.loseInbound(silent, d) // no command reaches them late either
			s.at(s.between(0, 5*time.Second), func() { s.cancelNow(4, 0) })
		})
	}, least: map[string]int{"busy machines cut": 20, "machines with inbound loss": 20, "confirmed": 30}},
}
