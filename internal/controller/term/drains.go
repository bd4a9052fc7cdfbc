package term

import (
	"context"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
	"gingertally/internal/wait"
)

// This file handles operators' drains: it watches their plans, writes the leader's changes of
// plans, and updates the metrics of their progress.

const (
	// drainMetricsInterval is how often the metrics of drains are updated.
	drainMetricsInterval = 5 * time.Second
	// drainPlanTimeout bounds the write of a plan's record.
	drainPlanTimeout = 3 * time.Second
)

// watchDrainPlans watches drain plans, for new and changed ones.
func (t *Term) watchDrainPlans(ctx context.Context) error {
	if t.deps.Config.Drain == nil {
		return nil
	}
	return t.watch(ctx, watchHandler{
		prefix:       jobstore.DrainPlanPrefix,
		changed:      t.drainPlanChanged,
		readAll:      t.readAllDrainPlans,
		readAllRetry: watchRetry,
	})
}

// readAllDrainPlans passes all drain plans to the engine.
func (t *Term) readAllDrainPlans(ctx context.Context) (uint64, error) {
	plans, revision, err := t.deps.Records.DrainPlans(ctx)
	if err != nil {
		return 0, err
	}
	for _, plan := range plans {
		t.step(core.DrainPlanStored{Stored: plan})
	}
	return revision, nil
}

// drainPlanChanged passes a changed drain plan to the engine.
func (t *Term) drainPlanChanged(_ context.Context, event statestore.Event) error {
	if event.Delete {
		return nil
	}
	plan, err := jobstore.DecodeDrainPlan(event.KeyValue)
	if err != nil {
		t.log.Error("drain plan unreadable", "key", event.Key, "error", err)
		return nil
	}
	t.step(core.DrainPlanStored{Stored: plan})
	return nil
}

// writeDrainPlan writes the leader's change of a drain plan and passes the outcome to the engine,
// which asks again if the write failed. Changes that others made arrive through the watch.
func (t *Term) writeDrainPlan(ctx context.Context, write drain.PlanWrite) {
	ctx, cancel := context.WithTimeout(ctx, drainPlanTimeout)
	defer cancel()
	err := t.deps.Records.WriteDrainPlan(ctx, t.claimed, write)
	if err != nil {
		t.log.Debug("drain plan not written", "plan", write.Plan.ID, "error", err)
	}
	t.step(core.DrainPlanWritten{Write: write, OK: err == nil})
}

// updateDrainMetrics keeps the metrics of drains up to date while the term lasts, and removes them
// at its end.
func (t *Term) updateDrainMetrics(ctx context.Context) error {
	if t.deps.Config.Drain == nil {
		return nil
	}
	defer t.deps.Metrics.Drains.Reset()
	for wait.Sleep(ctx, drainMetricsInterval) {
		t.mu.Lock()
		status := t.engine.DrainStatus(time.Now())
		t.mu.Unlock()
		t.deps.Metrics.Drains.Update(status)
	}
	return ctx.Err()
}
