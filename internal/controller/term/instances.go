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
	// scaleOutTries is how often a request for machines is repeated when there is no answer.
	scaleOutTries = 4
	scaleOutRetry = time.Second
	// listAtMostEvery is the least time between two reads of the cloud's list.
	listAtMostEvery = 2 * time.Second
	// pricesEvery is how often the present prices are read.
	pricesEvery = 20 * time.Second
)

// scaleOut asks the cloud for machines, and brings the engine the answer.
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

// scaleIn has the cloud delete machines, and brings the engine the outcome.
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

// listInstances reads the cloud's list and the present prices, until ctx ends.
func (t *Term) listInstances(ctx context.Context) error {
	// More often than the list's lag says little new, and takes requests from scale-out.
	every := max(listAtMostEvery, t.deps.Config.InstanceListLag/2)
	var pricesRead time.Time
	for {
		if t.HoldsLease() {
			if time.Since(pricesRead) > pricesEvery && t.readPrices(ctx) {
				pricesRead = time.Now()
			}
			t.readInstances(ctx)
		}
		if !wait.Sleep(ctx, every) {
			return ctx.Err()
		}
	}
}

// readPrices brings the engine the machine types with present prices; false if they
// can't be had.
func (t *Term) readPrices(ctx context.Context) bool {
	if err := t.deps.MachineTypes.Fetch(ctx); err != nil {
		t.log.Debug("prices not read", "error", err)
		return false
	}
	t.step(core.CatalogUpdated{Types: t.deps.MachineTypes.Types()})
	t.deps.MachineTypes.Share(ctx, t.claimed)
	return true
}

// readInstances brings the engine the cloud's list of machines.
func (t *Term) readInstances(ctx context.Context) {
	instances, err := t.deps.Cloud.ListInstances(ctx)
	if err != nil {
		t.log.Debug("instances not listed", "error", err)
		return
	}
	t.step(core.InstancesListed{Instances: instances})
}
