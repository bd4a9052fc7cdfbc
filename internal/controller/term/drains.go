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

// Operators' drains: their plans are watched, the leader's changes of plans are written, and the metrics
// show how far they are.

const (
	// drainMetricsEvery is how often the metrics of drains are brought up to date.
	drainMetricsEvery = 5 * time.Second
	// drainPlanTimeout bounds the write of a plan's record.
	drainPlanTimeout = 3 * time.Second
)

// watchDrainPlans learns of new and changed plans.
func (t *Term) watchDrainPlans(ctx context.Context) error {
	if t.deps.Config.Drain == nil {
		return nil
	}
	return t.watch(ctx, watched{
		prefix:       jobstore.DrainPlanPrefix,
		changed:      t.drainPlanChanged,
		readAll:      t.readAllDrainPlans,
		readAllRetry: watchRetry,
	})
}

// readAllDrainPlans brings the engine all plans.
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

// drainPlanChanged brings the engine a changed plan.
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

// writeDrainPlan writes the leader's change of a plan. If that fails, the engine asks again;
// what others have changed comes with the watch.
func (t *Term) writeDrainPlan(ctx context.Context, write drain.PlanWrite) {
	ctx, cancel := context.WithTimeout(ctx, drainPlanTimeout)
	defer cancel()
	err := t.deps.Records.WriteDrainPlan(ctx, t.claimed, write)
	if err != nil {
		t.log.Debug("drain plan not written", "plan", write.Plan.ID, "error", err)
	}
	t.step(core.DrainPlanWritten{Write: write, OK: err == nil})
}

// showDrains keeps the metrics of drains up to date while the term lasts.
func (t *Term) showDrains(ctx context.Context) error {
	if t.deps.Config.Drain == nil {
		return nil
	}
	defer t.deps.Metrics.Drains.Reset()
	for wait.Sleep(ctx, drainMetricsEvery) {
		t.mu.Lock()
		status := t.engine.DrainStatus(time.Now())
		t.mu.Unlock()
		t.deps.Metrics.Drains.Show(status)
	}
	return ctx.Err()
}
