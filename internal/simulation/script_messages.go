package simulation

import (
	"net/http"
	"time"

	"gingertally/internal/core/fleet"
)

// messageFaults are the faults that a script injects into messages between workers and controllers.
type messageFaults struct {
	linkDelayMax         time.Duration // greatest additional delay of a message
	duplicateShare       float64       // share of heartbeats of which a duplicate arrives later
	forNextLeader        bool          // duplicates are kept until the next leader is elected
	keptForNextLeader    []func()      // deliver the duplicates that are kept
	heldShare            float64       // share of heartbeats held back until a new leader has acted
	heldUntilLeaderActed []func()      // deliver the heartbeats that are held back
	delayedAnswerShare   float64       // share of answers to heartbeats that are delayed
	delayedCommandShare  float64       // share of direct commands that are delayed
}

// linkDelay is the additional delay of one message between a worker and a controller.
func (s *script) linkDelay() time.Duration {
	if s == nil || s.linkDelayMax == 0 {
		return 0
	}
	return s.between(0, s.linkDelayMax)
}

// interceptHeartbeat is called for each heartbeat that a worker sends. It may have a duplicate of
// it delivered later. It returns true if it holds the heartbeat itself back until a new leader has
// acted; the caller then doesn't deliver it.
func (s *script) interceptHeartbeat(m *machine, h sentHeartbeat) bool {
	if s == nil || s.faultsOver() {
		return false
	}
	if s.duplicateShare > 0 && s.chance(s.duplicateShare) {
		s.duplicateHeartbeat(h.Heartbeat)
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

// duplicateHeartbeat has a duplicate of a heartbeat delivered later: to all controllers when the
// next leader is elected, or to a random one after two seconds to one and a half leases.
func (s *script) duplicateHeartbeat(h fleet.Heartbeat) {
	if s.forNextLeader {
		s.keptForNextLeader = append(s.keptForNextLeader, func() { s.deliverCopyToAll(h) })
		return
	}
	s.w.after(s.between(2*time.Second, 3*s.w.options.Lease/2), func() {
		s.deliverCopy(s.w.nodes[s.rng.IntN(len(s.w.nodes))], h)
	})
}

// deliverCopyToAll delivers a duplicate of a heartbeat to every controller.
func (s *script) deliverCopyToAll(h fleet.Heartbeat) {
	for _, n := range s.w.nodes {
		s.deliverCopy(n, h)
	}
}

// deliverCopy delivers a duplicate of a heartbeat to a controller, which relays it to the leader if
// it doesn't lead itself. The answer is dropped.
func (s *script) deliverCopy(n *node, h fleet.Heartbeat) {
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

// answerDelay is the additional delay of an answer to a heartbeat. If the answer carries commands,
// the machine hangs half of the time, for at least as long as the delay.
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

// commandDelay is the additional delay of direct commands to a machine.
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

// duplicateHeartbeats has duplicates of a share of the heartbeats that are sent within d arrive
// much later, or, with forNext, when the next leader is elected.
func (s *script) duplicateHeartbeats(share float64, d time.Duration, forNext bool) {
	s.duplicateShare, s.forNextLeader = share, forNext
	s.at(d, func() { s.duplicateShare = 0 })
}

// holdHeartbeats holds back a share of the heartbeats that are sent within d, until a new leader
// has acted.
func (s *script) holdHeartbeats(share float64, d time.Duration) {
	s.heldShare = share
	s.at(d, func() { s.heldShare = 0 })
}
