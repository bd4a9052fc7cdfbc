package simulation

import (
	"context"

	"gingertally/internal/core"
)

// answerQuery answers a user's query about a job with what the node itself knows or, if that is
// nothing, what another node knows. It returns false for ok if the node can't tell.
func (n *node) answerQuery(ref string) (v core.JobView, known, ok bool) {
	v, known, ok = n.queryAnyNode(ref)
	n.w.output.jobView(n, ref, v, known, ok)
	return v, known, ok
}

// queryAnyNode is answerQuery without adding the answer to the output digest.
func (n *node) queryAnyNode(ref string) (v core.JobView, known, ok bool) {
	if n.down || n.paused() || !n.w.network.reachable("", n.zone) {
		return v, false, false
	}
	if v, known, ok = n.queryLocally(ref); ok {
		return v, known, ok
	}
	for _, o := range n.w.nodes {
		if o != n && n.reaches(o) {
			if v, known, ok = o.queryLocally(ref); ok {
				return v, known, ok
			}
		}
	}
	return v, false, false
}

// queryLocally returns what a node knows about a job without asking others: from its engine if it
// leads and knows the job, otherwise from the state service. It returns false for ok if the node
// can't tell.
func (n *node) queryLocally(ref string) (v core.JobView, known, ok bool) {
	if n.down {
		return v, false, false
	}
	if n.engine != nil {
		if v, known := n.engine.Lookup(ref); known && n.holdsLease() {
			n.w.checker.observe(answeredInTerm{n.term.Number})
			return v, true, true
		}
	}
	if former := n.reachedFormerTerm(); former != nil {
		if v, known := former.lookUp(n, ref); known {
			return v, true, true
		}
	}
	if n.cutOffFromStore() {
		return v, false, false
	}
	st, err := n.jobs.Load(context.Background(), ref)
	if err != nil {
		return v, false, false
	}
	if cancelled, err := n.jobs.DependencyCancelled(context.Background(), st, n.local()); err != nil || cancelled {
		return v, false, false
	}
	return core.JobView{Phase: st.Phase, Done: st.Done}, st.Found, true
}
