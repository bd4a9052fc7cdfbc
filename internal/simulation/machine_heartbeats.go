package simulation

import (
	"net/http"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
)

// Timing of a worker's heartbeats.
const (
	answerTimeout          = 4 * time.Second        // how long a worker waits for an answer
	minIntervalAfterChange = 500 * time.Millisecond // between the last heartbeat and one because tasks have changed
	minHeartbeatInterval   = 400 * time.Millisecond // between any two heartbeats
)

// sentHeartbeat is a heartbeat with what the worker needs to handle its answer.
type sentHeartbeat struct {
	fleet.Heartbeat
	process int       // machine.workerProcess when it was sent
	sentAt  time.Time // by its machine's clock
}

// heartbeatLoop sends heartbeats at the heartbeat interval, plus or minus a quarter.
func (m *machine) heartbeatLoop() {
	every := m.w.options.HeartbeatInterval
	m.later(m.w.between(every*3/4, every*5/4), func() {
		m.sendHeartbeat()
		m.heartbeatLoop()
	})
}

// heartbeatSoon sends a heartbeat ahead of the interval, but not before minIntervalAfterChange has
// passed since the last one.
func (m *machine) heartbeatSoon() {
	m.later(max(0, minIntervalAfterChange-m.w.now.Sub(m.lastHeartbeat)), m.sendHeartbeat)
}

// newHeartbeat returns the next heartbeat, with the status of all tasks.
func (m *machine) newHeartbeat() fleet.Heartbeat {
	m.sequence++
	h := fleet.Heartbeat{
		Machine: m.name, Addr: m.name, Type: m.typ, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, InterruptionIn: -1,
	}
	if !m.interruptionAt.IsZero() {
		h.InterruptionIn = max(0, m.interruptionAt.Sub(m.w.now))
	}
	for _, t := range m.sortedTasks() {
		h.Tasks = append(h.Tasks, fleet.TaskStatus{
			Ref: t.job.spec.Ref, Task: t.index, Attempt: t.attempt,
			State: t.state, Cause: t.cause, Checkpointed: t.checkpointed,
		})
	}
	return h
}

// sendHeartbeat sends a heartbeat, unless one awaits its answer or was just sent. Without an answer
// within answerTimeout the worker tries the next node.
func (m *machine) sendHeartbeat() {
	if m.outstanding != 0 || m.w.now.Sub(m.lastHeartbeat) < minHeartbeatInterval {
		return
	}
	m.lastHeartbeat = m.w.now
	h := sentHeartbeat{m.newHeartbeat(), m.workerProcess, m.local()}
	m.outstanding = h.Sequence
	m.deliver(m.w.nodes[m.target], h)
	m.later(answerTimeout, func() {
		if m.outstanding == h.Sequence {
			m.tryNextNode()
		}
	})
}

// tryNextNode has the worker send its heartbeats to the next node.
func (m *machine) tryNextNode() {
	m.outstanding = 0
	m.target = (m.target + 1) % len(m.w.nodes)
	m.later(time.Second, m.sendHeartbeat)
}

// blocked reports whether no message passes between the machine and a node.
func (m *machine) blocked(n *node) bool {
	return n.down || n.links.workersUnreachable || m.partitionedFrom[n] || !m.w.network.reachable(m.zone, n.zone)
}

// deliver sends a heartbeat to a node. It may be lost, delayed or duplicated.
func (m *machine) deliver(n *node, h sentHeartbeat) {
	w := m.w
	w.digest.add(w, "heartbeat", m.name, h.Heartbeat)
	delay := w.between(time.Millisecond, 20*time.Millisecond) + w.script.linkDelay()
	if m.outboundLost {
		w.script.count("heartbeats of machines with outbound loss")
		return
	}
	if w.script.interceptHeartbeat(m, h) {
		return
	}
	if m.blocked(n) {
		if n.down || w.chance(0.5) {
			return
		}
		delay = w.between(time.Second, 25*time.Second) // delayed until the partition ends
	} else if w.unreliable() && w.chance(0.01) {
		delay = w.between(0, 12*time.Second)
	}
	if w.unreliable() && w.chance(0.05) {
		w.sendDuplicate(h.Heartbeat)
	}
	w.after(delay, func() {
		n.run(n.incarnation, func() { m.heartbeatArrived(n, h) })
	})
}

// heartbeatArrived has a node answer a heartbeat. A node that redirects to the leader sometimes
// relays it instead.
func (m *machine) heartbeatArrived(n *node, h sentHeartbeat) {
	answer := n.answerHeartbeat(h.Heartbeat, false)
	if answer.redirects() && n.reaches(answer.leader) && m.w.chance(0.2) {
		answer = answer.leader.answerHeartbeat(h.Heartbeat, true)
	}
	if answer.held() {
		answer.leader.tick()
		answer.leader.completeHeldAnswer(h.Heartbeat, func(a heartbeatAnswer) { m.sendAnswer(n, h, a) })
		return
	}
	m.sendAnswer(n, h, answer)
}

// sendAnswer sends a node's answer back to the worker. It may be lost or late.
func (m *machine) sendAnswer(n *node, h sentHeartbeat, answer heartbeatAnswer) {
	w := m.w
	if m.inboundLost || m.blocked(n) || (w.unreliable() && w.chance(0.01)) {
		return
	}
	delay := w.between(time.Millisecond, 30*time.Millisecond)
	if w.correlated != nil {
		delay += w.correlated.pauseBeforeAnswer() // between the leader's check of its lease and the answer
	}
	delay += w.script.linkDelay()
	delay += w.script.answerDelay(m, answer)
	delay += n.busyFor()
	m.later(delay, func() {
		if m.workerProcess == h.process {
			m.handleAnswer(h, answer)
		}
	})
}

// sendDuplicate delivers a copy of a heartbeat to a random node, up to three leases later. Its
// answer is dropped.
func (w *World) sendDuplicate(h fleet.Heartbeat) {
	w.after(w.between(time.Second, 3*w.options.Lease), func() {
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		n.run(n.incarnation, func() {
			answer := n.answerHeartbeat(h, false)
			if answer.redirects() && !answer.leader.paused() {
				answer = answer.leader.answerHeartbeat(h, true)
			}
			if answer.held() {
				answer.leader.completeHeldAnswer(h, func(heartbeatAnswer) {})
			}
		})
	})
}

// handleAnswer has the worker handle an answer: it carries out the commands, switches to the named
// leader, or tries the next node. It drops an answer that it no longer waits for, or that comes
// from an earlier leader.
func (m *machine) handleAnswer(h sentHeartbeat, answer heartbeatAnswer) {
	if m.outstanding != h.Sequence || h.Incarnation != m.incarnation {
		return
	}
	m.outstanding = 0
	m.w.digest.add(m.w, "answer", m.name, answer.response)
	switch answer.status {
	case http.StatusOK:
		if answer.response.FencingToken < m.fencingToken {
			return
		}
		newLeader := answer.response.FencingToken > m.fencingToken
		m.fencingToken = answer.response.FencingToken
		m.lastAnsweredAt = h.sentAt
		if m.execute(answer.response.Commands) || newLeader {
			m.heartbeatSoon()
		}
	case http.StatusMisdirectedRequest:
		if i := slices.Index(m.w.nodes, answer.leader); i >= 0 {
			m.target = i
		}
		m.later(m.w.between(0, 500*time.Millisecond), m.sendHeartbeat)
	default:
		m.tryNextNode()
	}
}
