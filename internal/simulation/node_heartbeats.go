package simulation

import (
	"net/http"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
)

// heartbeatAnswer is a controller's answer to a heartbeat.
type heartbeatAnswer struct {
	status   int // of HTTP, or statusHeld
	response core.HeartbeatResponse
	leader   *node // that holds the answer, or that the worker is redirected to
}

// statusHeld stands for an answer that the leader holds until it has decided what the worker is to do.
const statusHeld = 0

var answerUnavailable = heartbeatAnswer{status: http.StatusServiceUnavailable}

// held tells whether the leader holds the answer.
func (a *heartbeatAnswer) held() bool { return a.status == statusHeld }

// redirects tells whether the answer names another node as the leader.
func (a *heartbeatAnswer) redirects() bool { return a.status == http.StatusMisdirectedRequest }

// answerHeartbeat answers a worker's heartbeat that has arrived; relayed ones come from another node.
func (n *node) answerHeartbeat(h fleet.Heartbeat, relayed bool) heartbeatAnswer {
	answer := n.decideAnswer(h, relayed)
	n.w.output.workerAnswer(n, h.Machine, answer)
	return answer
}

func (n *node) decideAnswer(h fleet.Heartbeat, relayed bool) heartbeatAnswer {
	if n.holdsLease() {
		return n.answerAsLeader(h.Machine, core.HeartbeatReceived{Heartbeat: h})
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

// answerAsLeader is the answer that a leader's engine gives to an event of a machine, if the node still leads then.
func (n *node) answerAsLeader(machine string, event core.Event) heartbeatAnswer {
	response := n.step(event).Response
	switch {
	case response != nil && response.Hold:
		return heartbeatAnswer{status: statusHeld, leader: n}
	case response == nil || !response.OK || !n.holdsLease():
		return answerUnavailable
	}
	n.w.checker.observe(heartbeatAnswered{machine, *response})
	return heartbeatAnswer{status: http.StatusOK, response: *response}
}

// completeHeldAnswer completes an answer that is held a moment later, or when the leader says so.
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

// answerHeldHeartbeat answers a heartbeat whose answer an engine held. It may hold it once more.
func (n *node) answerHeldHeartbeat(h fleet.Heartbeat, engine *core.Engine) heartbeatAnswer {
	answer := answerUnavailable
	if n.holdsLease() && n.engine == engine {
		answer = n.answerAsLeader(h.Machine, core.HeldResponseDue{Heartbeat: h})
	}
	n.w.output.workerAnswer(n, h.Machine, answer)
	return answer
}
