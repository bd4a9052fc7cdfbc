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

// leaderView gives a node's user service access to the leader.
type leaderView struct{ n *node }

// View returns what this node's engine knows about a job. It returns false if the node doesn't lead
// with a valid lease, or doesn't know the job.
func (l leaderView) View(ref string) (v core.JobView, ok bool) {
	if !l.n.holdsLease() {
		return v, false
	}
	return l.n.engine.Lookup(ref)
}

// ViewFromLeader returns what the leader's engine knows about a job if the leader is another node
// that this one reaches.
func (l leaderView) ViewFromLeader(_ context.Context, ref string) (v core.JobView, ok bool) {
	for _, o := range l.n.w.nodes {
		if o != l.n && l.n.reaches(o) && o.holdsLease() {
			return o.engine.Lookup(ref)
		}
	}
	return v, false
}

// Cancel isn't called in simulated worlds, where cancellations go through node.cancel.
func (leaderView) Cancel(context.Context, string) (pipeline.Phase, error) {
	return pipeline.Active, context.Canceled
}

// simulatedTimeJobs is a node's job store for its user service. The user service passes the real
// time, which simulatedTimeJobs replaces by simulated time.
type simulatedTimeJobs struct {
	*jobstore.Jobs
	n *node
}

// Create stores a submission with the world's time.
func (c simulatedTimeJobs) Create(ctx context.Context, spec pipeline.Spec, dependencies []string, _ time.Time) error {
	return c.Jobs.Create(ctx, spec, dependencies, c.n.w.now)
}

// DependencyCancelled calls Jobs.DependencyCancelled with the time of the node's clock.
func (c simulatedTimeJobs) DependencyCancelled(ctx context.Context, st jobstore.State, _ time.Time) (bool, error) {
	return c.Jobs.DependencyCancelled(ctx, st, c.n.local())
}

// service returns the real user service for the node.
func (n *node) service() *userapi.Service {
	return &userapi.Service{
		Jobs: simulatedTimeJobs{n.jobs, n}, Leader: leaderView{n}, Teams: n.w.teams,
		Catalog: func() placement.Catalog { return n.w.catalog },
	}
}
