package simulation

import (
	"testing"
	"time"
)

// pauseLeader pauses the leader for longer than its lease, while its clocks run on, and counts that
// as an event of the given name.
func (s *script) pauseLeader(what string) {
	n := s.w.currentLeader()
	if n == nil {
		return
	}
	s.count(what)
	n.pausedUntil = s.w.now.Add(s.w.options.LeaseTTL + s.between(time.Second, 15*time.Second))
}

// submitLoad submits endless and short jobs, so that work arrives and runs throughout a scenario.
func (s *script) submitLoad() {
	s.submitEndless(6, 0)
	s.submitShort(30, 0, 120*time.Second)
}

// currentStandby returns a running follower that has a copy of the leader's warm state, or nil if
// there is none.
func (s *script) currentStandby() *node {
	for _, n := range s.w.nodes {
		if n.engine == nil && !n.down && n.standby != nil && n.standby.Position().Term != 0 {
			return n
		}
	}
	return nil
}

// standbyScenarios are scenarios of difficult takeovers with the warm standby on.
var standbyScenarios = []faultScenario{
	{name: "leader pauses at any moment and wakes after the takeover", script: func(s *script) {
		s.submitLoad()
		s.every(15*time.Second, 22*time.Second, func() { s.pauseLeader("leaders paused") })
	}, least: eventCounts{"leaders paused": 16, "warm takeovers": 14, "machines expected": 40}},

	{name: "leader pauses between a write and its answer", script: func(s *script) {
		s.submitLoad()
		s.every(15*time.Second, 22*time.Second, func() {
			leaderWrites := func() bool { n := s.w.currentLeader(); return n != nil && n.writing }
			s.when(leaderWrites, func() { s.pauseLeader("leaders paused while writing") })
		})
	}, least: eventCounts{"leaders paused while writing": 16, "warm takeovers": 14}},

	{name: "leader pauses while its lease is extended by its peers", script: func(s *script) {
		s.submitLoad()
		s.every(15*time.Second, 30*time.Second, func() {
			s.outage(s.between(6*time.Second, 14*time.Second))
			s.at(s.between(2*time.Second, 5*time.Second), func() { s.pauseLeader("leaders paused while extending") })
		})
	}, least: eventCounts{"leaders paused while extending": 8, "leaders elected": 10}},

	{name: "leader is cut off between its answer and the worker", randomFaults: true, script: func(s *script) {
		s.submitLoad()
		s.delayedAnswerShare = 0.15
		s.every(15*time.Second, 20*time.Second, func() { s.pauseLeader("leaders paused") })
	}, least: eventCounts{"leaders paused": 12, "answers with commands delayed": 8}},

	{name: "all standbys lag as the leader ends", script: func(s *script) {
		s.submitLoad()
		s.every(15*time.Second, 25*time.Second, func() {
			s.w.standbys.laggingUntil = s.w.now.Add(15 * time.Second)
			s.at(s.between(8*time.Second, 14*time.Second), func() { s.crashLeaderFor(time.Second, 5*time.Second) })
		})
	}, least: eventCounts{
		"leaders crashed": 14, "leaders elected": 18, "attempts unstored": 1, "machines differing": 10,
	}},

	{name: "leader and a current standby end together", script: func(s *script) {
		s.submitLoad()
		s.every(15*time.Second, 20*time.Second, func() {
			leader, standby := s.w.currentLeader(), s.currentStandby()
			if leader == nil || standby == nil {
				return
			}
			s.count("leader and standby crashed together")
			s.crash(leader, s.between(10*time.Millisecond, 6*time.Second))
			s.crash(standby, s.between(10*time.Millisecond, 6*time.Second))
		})
	}, least: eventCounts{"leader and standby crashed together": 16, "leaders elected": 20}},

	{name: "old leader is back within a fraction of a second", script: func(s *script) {
		s.submitLoad()
		s.every(12*time.Second, 11*time.Second, func() { s.crashLeaderFor(10*time.Millisecond, 300*time.Millisecond) })
	}, least: eventCounts{"leaders crashed": 35, "warm takeovers": 25}},

	{name: "takeover during an outage of the state service", script: func(s *script) {
		s.submitLoad()
		s.every(15*time.Second, 35*time.Second, func() {
			s.outage(s.between(8*time.Second, 16*time.Second))
			s.at(s.between(0, 3*time.Second), func() { s.crashLeaderFor(time.Second, 10*time.Second) })
		})
	}, least: eventCounts{"leaders crashed": 8, "outages": 10, "leaders elected": 12}},

	{name: "takeover during a takeover", script: func(s *script) {
		s.submitLoad()
		s.every(12*time.Second, 20*time.Second, func() {
			old := s.w.currentLeader()
			s.crash(old, s.between(time.Second, 4*time.Second))
			s.onceNextLeader(old, func(next *node) {
				s.count("new leaders crashed at once")
				s.crash(next, s.between(time.Second, 4*time.Second))
			})
		})
	}, least: eventCounts{"new leaders crashed at once": 18, "leaders elected": 40}},

	{name: "stream lossy, doubled, late and cut within snapshots", randomFaults: true, script: func(s *script) {
		s.submitLoad()
		network := s.w.standbys
		network.lostShare, network.duplicateShare, network.extraDelay = 0.2, 0.3, 3*time.Second
		s.every(12*time.Second, 13*time.Second, func() { s.crashLeaderFor(time.Second, 4*time.Second) })
	}, least: eventCounts{"frames gap": 100, "frames ignored": 500, "leaders crashed": 25}},

	{name: "leader cut from the standbys but not from workers", script: func(s *script) {
		s.submitLoad()
		s.every(15*time.Second, 30*time.Second, func() {
			s.onceLeader(func(n *node) {
				s.count("leaders cut off from standbys")
				n.links.peersUnreachable = true
				s.at(s.between(3*time.Second, 20*time.Second), func() {
					n.links.peersUnreachable = false
					s.crash(n, s.between(time.Second, 5*time.Second))
				})
			})
		})
	}, least: eventCounts{"leaders cut off from standbys": 12, "leaders crashed": 10}},

	{name: "clocks at their drift bound", alter: func(o *Options) { o.Nodes = 5 }, script: func(s *script) {
		for i, n := range s.w.nodes {
			n.clockRate = 1 - maxDrift
			if i%2 == 0 {
				n.clockRate = 1 + maxDrift
			}
		}
		s.submitLoad()
		s.every(12*time.Second, 15*time.Second, func() { s.pauseLeader("leaders paused") })
		s.every(20*time.Second, 15*time.Second, func() { s.crashLeaderFor(10*time.Millisecond, 3*time.Second) })
	}, least: eventCounts{"leaders paused": 20, "leaders elected": 40}},

	{name: "rolling upgrade from the version in production",
		alter: func(o *Options) { o.RollingUpgrade, o.Pipelines = true, 4 },
		script: func(s *script) {
			s.submitLoad()
			s.every(12*time.Second, 16*time.Second, func() { s.crashLeaderFor(time.Second, 4*time.Second) })
		}, least: eventCounts{"leaders crashed": 20, "warm takeovers": 4}},

	{name: "planned hand-over", script: func(s *script) {
		s.submitLoad()
		s.every(12*time.Second, 13*time.Second, func() { s.shutDownLeader(s.between(time.Second, 4*time.Second)) })
	}, least: eventCounts{"leaders shut down": 28, "successors named": 25, "warm takeovers": 25}},
}

// TestStandbyScenarios plays the standby scenarios.
func TestStandbyScenarios(t *testing.T) {
	for i := range standbyScenarios {
		scenario := standbyScenarios[i]
		alter := scenario.alter
		scenario.alter = func(o *Options) {
			o.Standby = true
			if alter != nil {
				alter(o)
			}
		}
		t.Run(scenario.name, func(t *testing.T) { scenario.playAll(t, 5000+uint64(i)*100) })
	}
}
