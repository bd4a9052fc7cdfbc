package term

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/cloud"
	"gingertally/internal/core"
	"gingertally/internal/wait"
)

const (
	// scaleOutTries is how many times a request for machines is sent, in all, while it gets no
	// definite answer.
	scaleOutTries = 4
	scaleOutRetry = time.Second
	// minListInterval is the minimum pause between two reads of the cloud's list of machines.
	minListInterval = 2 * time.Second
	// priceInterval is the minimum time between two reads of the current prices.
	priceInterval = 20 * time.Second
)

// scaleOut requests machines from the cloud and passes the outcome to the engine. If the requests
// get no definite answer, or the lease ends, the outcome is unknown.
func (t *Term) scaleOut(ctx context.Context, request core.ScaleOut) {
	answer := core.ScaleOutAnswered{Request: request, OutcomeUnknown: true}
	for try := 0; try < scaleOutTries && t.HoldsLease(); try++ {
		created, err := t.deps.Cloud.ScaleOut(ctx, request)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			answer.Machines, answer.NoCapacity, answer.OutcomeUnknown = created, err != nil, false
			break
		}
		t.log.Debug("scale-out failed", "request", request.Name, "error", err)
		if !wait.Sleep(ctx, scaleOutRetry) {
			break
		}
	}
	t.step(answer)
}

// scaleIn deletes machines in the cloud, unless the lease isn't valid any more, and passes the
// outcome to the engine.
func (t *Term) scaleIn(ctx context.Context, names []string) {
	deleted := false
	if t.HoldsLease() {
		err := t.deps.Cloud.ScaleIn(ctx, names)
		deleted = err == nil
		if !deleted {
			t.log.Debug("scale-in failed", "machines", names, "error", err)
		}
	}
	t.step(core.ScaleInAnswered{Machines: names, OK: deleted})
}

// listInstances regularly reads the cloud's list of machines and the current prices until ctx ends.
func (t *Term) listInstances(ctx context.Context) error {
	// The list lags behind by InstanceListLag: reading it more often shows little new, and uses up
	// requests that scale-out needs.
	every := max(minListInterval, t.deps.Config.InstanceListLag/2)
	var pricesRead time.Time
	for {
		if t.HoldsLease() {
			if time.Since(pricesRead) > priceInterval && t.readPrices(ctx) {
				pricesRead = time.Now()
			}
			t.readInstances(ctx)
		}
		if !wait.Sleep(ctx, every) {
			return ctx.Err()
		}
	}
}

// readPrices passes the machine types with their current prices to the engine, and stores them in
// the state service if it has none yet. It returns false if they can't be fetched from the cloud.
func (t *Term) readPrices(ctx context.Context) bool {
	if err := t.deps.MachineTypes.Fetch(ctx); err != nil {
		t.log.Debug("prices not read", "error", err)
		return false
	}
	t.step(core.CatalogUpdated{Types: t.deps.MachineTypes.Types()})
	t.deps.MachineTypes.StoreIfMissing(ctx, t.claimed)
	return true
}

// readInstances passes the cloud's list of machines to the engine.
func (t *Term) readInstances(ctx context.Context) {
	instances, err := t.deps.Cloud.ListInstances(ctx)
	if err != nil {
		t.log.Debug("instances not listed", "error", err)
		return
	}
	t.step(core.InstancesListed{Instances: instances})
}
