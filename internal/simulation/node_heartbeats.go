package simulation

import (
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
)

// answerHeartbeat serves a worker's heartbeat that has arrived; relayed ones come from
// another node. Status 0: the leader holds the answer, see collect.
func (n *node) answerHeartbeat(r fleet.Heartbeat, relayed bool) (status int, reply core.HeartbeatResponse, leader *node) {
	status, reply, leader = n.respondToHeartbeat(r, relayed)
	n.w.output.workerAnswer(n, r.Machine, status, reply, leader)
	return status, reply, leader
}

func (n *node) respondToHeartbeat(r fleet.Heartbeat, relayed bool) (status int, reply core.HeartbeatResponse, leader *node) {
	if n.holdsLease() {
		effects := n.step(core.HeartbeatReceived{Heartbeat: r})
		if effects.Response != nil && effects.Response.Held {
			return 0, reply, n
		}
		if effects.Response == nil || !effects.Response.OK || !n.holdsLease() {
			return 503, reply, nil
		}
		n.w.checker.observe(heartbeatAnswered{r.Machine, *effects.Response})
		return 200, *effects.Response, nil
	}
	if relayed || !n.health.Serves(n.local()) {
		return 503, reply, nil
	}
	for _, o := range n.w.nodes {
		if o != n && o.holdsLease() {
			return 421, reply, o
		}
	}
	return 503, reply, nil
}

// answerHeldHeartbeat completes an answer that was held; status 0: it is held once more.
func (n *node) answerHeldHeartbeat(r fleet.Heartbeat, engine *core.Engine) (int, core.HeartbeatResponse) {
	status, reply := n.completeResponse(r, engine)
	n.w.output.workerAnswer(n, r.Machine, status, reply, nil)
	return status, reply
}

func (n *node) completeResponse(r fleet.Heartbeat, engine *core.Engine) (int, core.HeartbeatResponse) {
	if !n.holdsLease() || n.engine != engine {
		return 503, core.HeartbeatResponse{}
	}
	effects := n.step(core.HeldResponseDue{Heartbeat: r})
	if effects.Response != nil && effects.Response.Held {
		return 0, core.HeartbeatResponse{}
	}
	if effects.Response == nil || !effects.Response.OK || !n.holdsLease() {
		return 503, core.HeartbeatResponse{}
	}
	n.w.checker.observe(heartbeatAnswered{r.Machine, *effects.Response})
	return 200, *effects.Response
}
