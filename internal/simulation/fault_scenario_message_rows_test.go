package simulation

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// messageScenarios are the fault scenarios in which requests, heartbeats and transactions are
// repeated, delayed, or cross each other.
var messageScenarios = []faultScenario{
	{name: "cancellation meets the end", script: func(s *script) {
		s.submitShort(60, 0, 130*time.Second)
		whenJobEnds(s, 0.9, func(j *userJob) { s.at(s.between(0, 300*time.Millisecond), j.cancel) })
		s.probeConsistency()
	}, least: eventCounts{
		"job ends met": 120, "consistency probes": 5000, "repeated submissions of finished jobs answered": 100,
	}},

	{
		name:        "queries and repeated submissions meet the end",
		digestLabel: "questions and repeated submissions meet the end",
		script: func(s *script) {
			s.submitShort(60, 0, 130*time.Second)
			whenJobEnds(s, 1, func(j *userJob) {
				for range 40 {
					n := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
					s.at(s.between(0, 3*time.Second), func() { s.queryJob(n, j) })
					s.at(s.between(0, 3*time.Second), func() { s.resubmit(n, j) })
				}
			})
		}, least: eventCounts{
			"job ends met": 150, "consistency probes": 5000, "repeated submissions of finished jobs answered": 2000,
		}},

	{
		name:         "old heartbeats, also of earlier incarnations",
		digestLabel:  "old reports, also of earlier sessions",
		randomFaults: true,
		script: func(s *script) {
			s.submitEndless(6, 0)
			s.submitShort(30, 0, 120*time.Second)
			s.duplicateHeartbeats(0.6, s.w.options.Length, false)
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
		}, least: eventCounts{
			"duplicate heartbeats": 200, "duplicate heartbeats of an earlier incarnation": 10, "leaders crashed": 6,
			"cancellations confirmed": 8,
		}},

	{
		name:         "machines with outbound loss",
		digestLabel:  "mute machines",
		randomFaults: true,
		script: func(s *script) {
			s.submitEndless(8, 0)
			s.submitShort(25, 0, 120*time.Second)
			s.every(25*time.Second, 30*time.Second, func() {
				s.loseOutbound(s.sampleMachines(0.5, hasTask), s.between(5*time.Second, 40*time.Second))
				s.at(s.between(0, 5*time.Second), func() { s.cancelNow(2, 0) })
				if s.chance(0.5) {
					s.at(s.between(0, 5*time.Second), func() { s.crashLeaderFor(10*time.Millisecond, 3*time.Second) })
				}
			})
		}, least: eventCounts{
			"machines with outbound loss": 10, "heartbeats of machines with outbound loss": 80,
			"commands to machines with outbound loss": 5, "cancellations confirmed": 12,
		}},

	{name: "late transactions after newer ones", randomFaults: true, script: func(s *script) {
		s.submitEndless(8, 0)
		s.submitShort(40, 0, 120*time.Second)
		s.probeConsistency()
		s.every(15*time.Second, 20*time.Second, func() { s.loseCommitAnswers(0.7, 15*time.Second, false) })
		s.every(20*time.Second, 10*time.Second, func() { s.cancelNow(1, 0) })
		crashLeaderRepeatedly(s, 50*time.Second, 35*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{
		"late transactions carried out": 12, "late transactions refused": 60, "cancellations confirmed": 16,
		"leaders crashed": 8,
	}},

	{
		name:         "frequent queries, some cancel at once",
		digestLabel:  "close looks, some cancel at once",
		randomFaults: true,
		script: func(s *script) {
			s.submitShort(60, 0, 130*time.Second)
			s.probeConsistency()
			cancelShare(s, 0.3, 0)
			crashLeaderRepeatedly(s, 30*time.Second, 30*time.Second, 10*time.Millisecond, 3*time.Second)
		}, least: eventCounts{
			"consistency probes": 6000, "repeated submissions answered": 300, "cancellations requested": 40,
			"cancellations confirmed": 40,
		}},

	{
		name:         "old heartbeats reach all as a leader is elected",
		digestLabel:  "old reports reach all as a leader begins",
		randomFaults: true,
		script: func(s *script) {
			s.submitEndless(6, 0)
			s.submitShort(30, 0, 120*time.Second)
			s.duplicateHeartbeats(0.3, s.w.options.Length, true)
			crashLeaderRepeatedly(s, 20*time.Second, 18*time.Second, 10*time.Millisecond, 3*time.Second)
			s.every(25*time.Second, 20*time.Second, func() { s.cancelNow(1, s.between(time.Second, 10*time.Second)) })
		}, least: eventCounts{"duplicate heartbeats": 500, "leaders crashed": 16, "cancellations confirmed": 12}},

	{
		name:         "slow state service, refusals, users cancel and query",
		digestLabel:  "slow state service, refusals, users cancel and ask",
		randomFaults: true,
		length:       220 * time.Second,
		script: func(s *script) {
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
					s.refuseNode(n, 30*time.Second)
					s.at(s.between(time.Second, 10*time.Second), func() {
						s.outage(s.w.options.CancelWithin + s.between(time.Second, 10*time.Second))
					})
				})
			})
		}, least: eventCounts{
			"slow calls": 800, "nodes refused by the state service": 4, "refused commits": 2, "outages": 4,
			"cancellations confirmed": 16, "consistency probes": 3000,
		}},

	{
		name:         "heartbeats held until a new leader has acted",
		digestLabel:  "reports held until a new leader has acted",
		randomFaults: true,
		script: func(s *script) {
			s.submitEndless(6, 0)
			s.submitShort(30, 0, 120*time.Second)
			s.holdHeartbeats(0.1, s.w.options.Length)
			crashLeaderRepeatedly(s, 20*time.Second, 18*time.Second, 10*time.Millisecond, 3*time.Second)
			s.every(25*time.Second, 20*time.Second, func() { s.cancelNow(1, 0) })
		}, least: eventCounts{"held heartbeats": 60, "leaders crashed": 16, "cancellations confirmed": 12}},

	{name: "four one-task jobs a second, a quarter cancelled", script: func(s *script) {
		for at := time.Duration(0); at < 120*time.Second; at += 250 * time.Millisecond {
			s.submitJob(at, pipeline.Spec{Tasks: 1, CPUs: 1, MemGB: 1, Team: "green"}, s.between(time.Second, 4*time.Second))
		}
		cancelShare(s, 0.25, 3*time.Second)
		crashLeaderRepeatedly(s, 40*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{"cancellations confirmed": 300, "leaders crashed": 8}},

	{name: "cancelled as the leader is refused, then out for all", length: 200 * time.Second,
		script: func(s *script) {
			s.submitEndless(14, 0)
			s.probeConsistency()
			s.every(s.between(30*time.Second, 40*time.Second), 80*time.Second, func() {
				s.onceLeader(func(old *node) {
					s.cancelNow(5, s.between(0, 10*time.Second))
					s.at(s.between(0, 200*time.Millisecond), func() { s.refuseNode(old, s.between(3*time.Second, 60*time.Second)) })
					s.at(time.Second, func() {
						s.outage(s.w.options.CancelWithin + s.between(2*time.Second, 12*time.Second))
						s.sendHeartbeatsTo(old, s.w.options.CancelWithin)
					})
				})
			})
		}, least: eventCounts{
			"cancellations requested": 25, "nodes refused by the state service": 6, "refused calls": 10,
			"outages": 6, "cancellations confirmed": 20,
		}},

	{name: "odd requests", randomFaults: true, script: func(s *script) {
		s.submitShort(40, 0, 130*time.Second)
		s.oddRequests(10*time.Second, time.Second)
		crashLeaderRepeatedly(s, 40*time.Second, 40*time.Second, 10*time.Millisecond, 3*time.Second)
	}, least: eventCounts{
		"invalid submissions refused": 300, "repeated submissions answered": 300,
		"cancellations of completed jobs": 200,
	}},

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

	{
		name:         "leaders change around an outage, nodes that granted extensions crash",
		digestLabel:  "leaders change around an outage, nodes that promised end",
		randomFaults: true,
		script: func(s *script) {
			s.submitEndless(8, 0)
			s.submitShort(25, 0, 120*time.Second)
			s.every(20*time.Second, 33*time.Second, func() {
				s.onceLeader(func(old *node) {
					// Refused by the state service, the old leader hasn't learnt of the new one when that crashes.
					s.refuseNode(old, s.between(20*time.Second, 30*time.Second))
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
			s.every(10*time.Second, time.Second, func() { // nodes that granted an extension crash and boot at once
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
		}, least: eventCounts{
			"lease extensions": 40, "nodes that had granted an extension crashed": 20,
			"nodes refused by the state service": 8, "leaders elected": 16, "leaders crashed": 8,
			"cancellations confirmed": 8,
		}},

	{name: "cancellations cross writes of their jobs, late and slow", randomFaults: true, script: func(s *script) {
		for range 30 {
			j := s.submitJob(s.between(0, 100*time.Second), pipeline.Spec{Tasks: 8, CPUs: 1, MemGB: 1, Team: "green"}, 20*time.Second)
			for range j.spec.Tasks {
				j.runs = append(j.runs, s.between(2*time.Second, 40*time.Second))
			}
		}
		cancelShare(s, 0.8, 30*time.Second)
		s.probeConsistency()
		s.every(5*time.Second, 12*time.Second, func() {
			s.storeDelay = s.between(0, 700*time.Millisecond)
			s.loseCommitAnswers(0.5, 8*time.Second, s.chance(0.3))
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
	}, least: eventCounts{
		"cancellations requested": 50, "cancellations confirmed": 30,
		"queries while a cancellation is open": 200, "slow calls": 1000, "late transactions carried out": 8,
		"answers of transactions lost": 15,
	}},

	{
		name:        "cancelled tasks on unresponsive machines, the lease longer than cancel",
		digestLabel: "cancelled tasks on silent machines, the lease longer than cancel",
		length:      200 * time.Second,
		alter:       func(o *Options) { o.Lease = 90 * time.Second },
		script: func(s *script) {
			s.submitEndless(16, 0)
			s.submitEndless(8, 90*time.Second)
			s.every(35*time.Second, 50*time.Second, func() {
				unresponsive, d := s.sampleMachines(0.6, hasTask), s.between(60*time.Second, 80*time.Second)
				s.cutMachines(unresponsive, d)
				s.loseInbound(unresponsive, d) // so that commands are lost instead of arriving late
				s.at(s.between(0, 5*time.Second), func() { s.cancelNow(4, 0) })
			})
		}, least: eventCounts{
			"machines with tasks cut off": 20, "machines with inbound loss": 20, "cancellations confirmed": 30,
		}},
}
