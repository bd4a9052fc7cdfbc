package simulation

import (
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
)

// report serves a worker's report that has arrived; relayed ones come from
// another node. Status 0: the leader holds the answer, see collect.
func (n *node) report(r fleet.Report, relayed bool) (status int, reply core.Reply, leader *node) {
	status, reply, leader = n.answerReport(r, relayed)
	n.w.output.workerAnswer(n, r.Machine, status, reply, leader)
	return status, reply, leader
}

func (n *node) answerReport(r fleet.Report, relayed bool) (status int, reply core.Reply, leader *node) {
	if n.holdsLease() {
		eff := n.step(core.ReportIn{Report: r})
		if eff.Reply != nil && eff.Reply.Hold {
			return 0, reply, n
		}
		if eff.Reply == nil || !eff.Reply.OK || !n.holdsLease() {
			return 503, reply, nil
		}
		n.w.drainAnswered(r.Machine, *eff.Reply)
		return 200, *eff.Reply, nil
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

// collect completes an answer that was held; status 0: it is held once more.
func (n *node) collect(r fleet.Report, eng *core.Engine) (int, core.Reply) {
	status, reply := n.completeAnswer(r, eng)
	n.w.output.workerAnswer(n, r.Machine, status, reply, nil)
	return status, reply
}

func (n *node) completeAnswer(r fleet.Report, eng *core.Engine) (int, core.Reply) {
	if !n.holdsLease() || n.eng != eng {
		return 503, core.Reply{}
	}
	eff := n.step(core.Collect{Report: r})
	if eff.Reply != nil && eff.Reply.Hold {
		return 0, core.Reply{}
	}
	if eff.Reply == nil || !eff.Reply.OK || !n.holdsLease() {
		return 503, core.Reply{}
	}
	n.w.drainAnswered(r.Machine, *eff.Reply)
	return 200, *eff.Reply
}
