package simulation

import (
	"context"

	"gingertally/internal/core"
)

// answerQuery is a node's answer to a query about a job: what it knows itself, or what another node knows. ok is false
// if it can't tell.
func (n *node) answerQuery(ref string) (v core.JobView, known, ok bool) {
	v, known, ok = n.queryAnyNode(ref)
	n.w.output.jobView(n, ref, v, known, ok)
	return v, known, ok
}

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

// queryLocally is what a node knows of a job by itself: from its engine if it leads, and else from the state service.
// ok is false if it can't tell.
func (n *node) queryLocally(ref string) (v core.JobView, known, ok bool) {
	if n.down {
		return v, false, false
	}
	if n.engine != nil {
		if v, known := n.engine.Lookup(ref); known && n.holdsLease() {
			return v, true, true
		}
	}
	if n.cutOff() {
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
