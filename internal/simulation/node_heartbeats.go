package simulation

import (
	"net/http"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
)

// heartbeatAnswer is a controller's answer to a heartbeat.
type heartbeatAnswer struct {
	status   int // HTTP status, or statusHeld
	response core.HeartbeatResponse
	leader   *node // the node that holds the answer, or to which the worker is redirected
}

// statusHeld marks an answer that the leader holds back until it has decided what the worker has to
// do.
const statusHeld = 0

var answerUnavailable = heartbeatAnswer{status: http.StatusServiceUnavailable}

// held reports whether the leader holds the answer back.
func (a *heartbeatAnswer) held() bool { return a.status == statusHeld }

// redirects reports whether the answer names another node as the leader.
func (a *heartbeatAnswer) redirects() bool { return a.status == http.StatusMisdirectedRequest }

// answerHeartbeat answers a worker's heartbeat; relayed says that another node has passed it on.
func (n *node) answerHeartbeat(h fleet.Heartbeat, relayed bool) heartbeatAnswer {
	answer := n.decideAnswer(h, relayed)
	n.w.output.workerAnswer(n, h.Machine, answer)
	return answer
}

// decideAnswer has the leader's engine answer a heartbeat. A node that doesn't lead redirects the
// worker to the leader, or is unavailable if it knows no leader, can't serve, or got the heartbeat
// relayed.
func (n *node) decideAnswer(h fleet.Heartbeat, relayed bool) heartbeatAnswer {
	if n.holdsLease() {
		return n.answerAsLeader(h.Machine, core.HeartbeatReceived{Heartbeat: h})
	}
	if former := n.reachedFormerTerm(); former != nil {
		return former.answer(n, h)
	}
	if relayed || !n.health.CanServe(n.local()) {
		return answerUnavailable
	}
	for _, o := range n.w.nodes {
		if o != n && o.holdsLease() {
			return heartbeatAnswer{status: http.StatusMisdirectedRequest, leader: o}
		}
	}
	return answerUnavailable
}

// answerAsLeader passes a machine's event to the engine and returns its answer. The node is
// unavailable if the engine accepts nothing, or if the node no longer holds the lease afterwards.
func (n *node) answerAsLeader(machine string, event core.Event) heartbeatAnswer {
	response := n.step(event).Response
	switch {
	case response != nil && response.Hold:
		return heartbeatAnswer{status: statusHeld, leader: n}
	case response == nil || !response.OK || !n.holdsLease():
		return answerUnavailable
	}
	n.w.checker.observe(answeredInTerm{n.term.Number})
	n.w.checker.observe(heartbeatAnswered{machine, *response})
	return heartbeatAnswer{status: http.StatusOK, response: *response}
}

// completeHeldAnswer completes a held answer after a random delay, and again after another one for
// as long as the engine keeps holding it, and then sends it.
func (n *node) completeHeldAnswer(h fleet.Heartbeat, send func(heartbeatAnswer)) {
	engine, incarnation := n.engine, n.incarnation
	var tryAgain func()
	tryAgain = func() {
		n.w.after(n.w.between(50*time.Millisecond, 500*time.Millisecond), func() {
			n.run(incarnation, func() {
				answer := n.answerHeldHeartbeat(h, engine)
				if answer.held() {
					tryAgain()
					return
				}
				send(answer)
			})
		})
	}
	tryAgain()
}

// answerHeldHeartbeat completes the answer to a heartbeat that an engine has held. The engine may
// hold it once more. If that engine no longer leads, the node is unavailable.
func (n *node) answerHeldHeartbeat(h fleet.Heartbeat, engine *core.Engine) heartbeatAnswer {
	answer := answerUnavailable
	if n.holdsLease() && n.engine == engine {
		answer = n.answerAsLeader(h.Machine, core.HeldResponseDue{Heartbeat: h})
	}
	n.w.output.workerAnswer(n, h.Machine, answer)
	return answer
}
