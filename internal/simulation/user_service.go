package simulation

import (
	"context"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
	"gingertally/internal/jobstore"
	"gingertally/internal/userapi"
)

// leaderView is the leader as a node's user service sees it.
type leaderView struct{ n *node }

// View is what this node, leading with a valid lease, knows of a job.
func (l leaderView) View(ref string) (v core.JobView, ok bool) {
	if !l.n.holdsLease() {
		return v, false
	}
	return l.n.engine.Lookup(ref)
}

// ViewFromLeader queries the other nodes that this one reaches.
func (l leaderView) ViewFromLeader(_ context.Context, ref string) (v core.JobView, ok bool) {
	for _, o := range l.n.w.nodes {
		if o != l.n && l.n.reaches(o) && o.holdsLease() {
			return o.engine.Lookup(ref)
		}
	}
	return v, false
}

// Cancel isn't called here: cancellations go through node.cancel.
func (leaderView) Cancel(context.Context, string) (pipeline.Phase, error) {
	return pipeline.Active, context.Canceled
}

// simulatedClock is a node's job store for its user service, which passes the time of the machine that the simulation
// runs on. It goes by the world's time instead.
type simulatedClock struct {
	*jobstore.Jobs
	n *node
}

// Create stores a submission as of the world's time.
func (c simulatedClock) Create(ctx context.Context, spec pipeline.Spec, dependencies []string, _ time.Time) error {
	return c.Jobs.Create(ctx, spec, dependencies, c.n.w.now)
}

// DependencyCancelled asks as of the node's own clock.
func (c simulatedClock) DependencyCancelled(ctx context.Context, st jobstore.State, _ time.Time) (bool, error) {
	return c.Jobs.DependencyCancelled(ctx, st, c.n.local())
}

// service is the node's real user service.
func (n *node) service() *userapi.Service {
	return &userapi.Service{
		Jobs: simulatedClock{n.jobs, n}, Leader: leaderView{n}, Teams: n.w.teams,
		Catalog: func() placement.Catalog { return n.w.catalog },
	}
}
