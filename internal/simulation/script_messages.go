package simulation

import (
	"net/http"
	"time"

	"gingertally/internal/core/fleet"
)

// messageFaults are what a script does to messages between workers and controllers.
type messageFaults struct {
	linkDelayMax         time.Duration // messages take up to that much longer
	duplicateShare       float64       // share of heartbeats of which a copy arrives again
	forNextLeader        bool          // copies are kept for the next leader
	keptForNextLeader    []func()      // copies that wait for it
	heldShare            float64       // share of heartbeats held back until a new leader has acted
	heldUntilLeaderActed []func()      // those that wait for that
	delayedAnswerShare   float64       // share of responses to heartbeats that are delayed
	delayedCommandShare  float64       // share of direct commands that are delayed
}

// linkDelay is how much longer a message between worker and controller takes.
func (s *script) linkDelay() time.Duration {
	if s == nil || s.linkDelayMax == 0 {
		return 0
	}
	return s.between(0, s.linkDelayMax)
}

// interceptHeartbeat sees a heartbeat on its way. Copies of it may arrive again, and it may itself be held back until
// a new leader has acted; then it returns true.
func (s *script) interceptHeartbeat(m *machine, h sentHeartbeat) bool {
	if s == nil || s.faultsOver() {
		return false
	}
	if s.duplicateShare > 0 && s.chance(s.duplicateShare) {
		s.duplicate(h.Heartbeat)
	}
	if s.heldShare == 0 || !s.chance(s.heldShare) {
		return false
	}
	s.heldUntilLeaderActed = append(s.heldUntilLeaderActed, func() {
		if leader := s.newestLeader; leader != nil {
			s.count("held heartbeats")
			leader.run(leader.incarnation, func() { m.heartbeatArrived(leader, h) })
		}
	})
	return true
}

// duplicate has a copy of a heartbeat arrive again, at all controllers when the next leader begins or at one of them
// much later.
func (s *script) duplicate(h fleet.Heartbeat) {
	if s.forNextLeader {
		s.keptForNextLeader = append(s.keptForNextLeader, func() { s.copyToAll(h) })
		return
	}
	s.w.after(s.between(2*time.Second, 3*s.w.options.Lease/2), func() {
		s.copyTo(s.w.nodes[s.rng.IntN(len(s.w.nodes))], h)
	})
}

// copyToAll has a copy of a heartbeat reach every controller.
func (s *script) copyToAll(h fleet.Heartbeat) {
	for _, n := range s.w.nodes {
		s.copyTo(n, h)
	}
}

// copyTo has a copy of a heartbeat reach a controller. Nobody waits for its answer.
func (s *script) copyTo(n *node, h fleet.Heartbeat) {
	n.run(n.incarnation, func() {
		s.count("duplicate heartbeats")
		if m := s.w.machines[h.Machine]; m != nil && m.incarnation != h.Incarnation {
			s.count("duplicate heartbeats of an earlier incarnation")
		}
		answer := n.answerHeartbeat(h, false)
		if answer.redirects() && n.reaches(answer.leader) {
			answer = answer.leader.answerHeartbeat(h, true)
		}
		if answer.held() {
			answer.leader.completeHeldAnswer(h, func(heartbeatAnswer) {})
		}
	})
}

// answerDelay is how long an answer to a heartbeat is delayed. If the answer has commands, the machine often hangs
// meanwhile and then goes on.
func (s *script) answerDelay(m *machine, answer heartbeatAnswer) time.Duration {
	if s == nil || s.delayedAnswerShare == 0 || answer.status != http.StatusOK || !s.chance(s.delayedAnswerShare) {
		return 0
	}
	d := s.between(500*time.Millisecond, answerTimeout+time.Second)
	if len(answer.response.Commands) > 0 {
		s.count("answers with commands delayed")
		if s.chance(0.5) {
			s.hangMachine(m, d+s.between(0, s.w.options.Lease/2))
		}
	}
	return d
}

// commandDelay is how long direct commands are delayed.
func (s *script) commandDelay(m *machine) time.Duration {
	if s == nil {
		return 0
	}
	if m.outboundLost {
		s.count("commands to machines with outbound loss")
	}
	if s.delayedCommandShare == 0 || !s.chance(s.delayedCommandShare) {
		return 0
	}
	s.count("commands delayed")
	return s.between(time.Second, 20*time.Second)
}

// lateHeartbeats has copies of a share of the heartbeats arrive again, much later or just when a new leader begins.
func (s *script) lateHeartbeats(share float64, d time.Duration, forNext bool) {
	s.duplicateShare, s.forNextLeader = share, forNext
	s.at(d, func() { s.duplicateShare = 0 })
}

// heldHeartbeats holds a share of the heartbeats back until a new leader has acted.
func (s *script) heldHeartbeats(share float64, d time.Duration) {
	s.heldShare = share
	s.at(d, func() { s.heldShare = 0 })
}
