package term

import (
	"context"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/wait"
)

const (
	// tickEvery is how often time passes for the engine.
	tickEvery = 100 * time.Millisecond
	// warmChangesAtOnce is how many changes of the warm state are taken from the engine at a time,
	// so that it isn't held up for long.
	warmChangesAtOnce = 1000
)

// MissedHeartbeats is after how many heartbeat intervals without any worker's heartbeat a leader
// resigns, though machines should send some.
const MissedHeartbeats = 3

// tickLoop has the engine decide, or resigns if no worker reaches this controller.
func (t *Term) tickLoop(ctx context.Context) error {
	unreachedAfter := MissedHeartbeats * t.deps.Config.HeartbeatInterval
	for wait.Sleep(ctx, tickEvery) {
		if !t.HoldsLease() {
			continue
		}
		if t.expectsHeartbeats() && t.sinceContact() > unreachedAfter {
			t.deps.Lease.Resign(leadership.ResignNoHeartbeats)
			continue
		}
		t.decide()
		t.Replicate()
		t.clearRestore(ctx)
	}
	return ctx.Err()
}

// expectsHeartbeats tells whether any machine is believed to send heartbeats.
func (t *Term) expectsHeartbeats() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.HasLiveMachines()
}

// decide has the engine run a round of decisions, within its budget of time.
func (t *Term) decide() {
	began := time.Now()
	end := began.Add(t.deps.RoundBudget)
	defer func() { t.deps.Metrics.ObserveRound(time.Since(began)) }()
	t.step(core.Tick{Spent: func() bool { return time.Now().After(end) }})
}

// Replicate streams what has changed of the engine's warm state to the standbys.
func (t *Term) Replicate() {
	if !t.deps.Replicator.Enabled() {
		return
	}
	t.mu.Lock()
	records := t.engine.WarmChanges(time.Now(), warmChangesAtOnce)
	t.mu.Unlock()
	if len(records) > 0 {
		t.deps.Replicator.Publish(t.claimed.Number, records)
	}
}
