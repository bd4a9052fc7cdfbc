package term

import (
	"context"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/wait"
)

const (
	// tickInterval is the pause between two ticks of the engine, and the longest between two checks
	// for pending writes.
	tickInterval = 100 * time.Millisecond
	// maxWarmChanges limits the changes of the warm state that are taken from the engine at a time,
	// so that its lock isn't held for long.
	maxWarmChanges = 1000
)

// MissedHeartbeats is the number of heartbeat intervals after which a leader that has received no
// heartbeat from any worker resigns, if any machine is believed to be up.
const MissedHeartbeats = 3

// tickLoop regularly ticks the engine and streams its changes to the standbys while the lease is
// held. It resigns if no worker reaches this controller.
func (t *Term) tickLoop(ctx context.Context) error {
	unreachedAfter := MissedHeartbeats * t.deps.Config.HeartbeatInterval
	for wait.Sleep(ctx, tickInterval) {
		if !t.HoldsLease() {
			continue
		}
		if t.expectsHeartbeats() && t.sinceContact() > unreachedAfter {
			t.lease.Resign(leadership.ResignNoHeartbeats)
			continue
		}
		t.decide()
		t.Replicate()
		t.deleteRestoredKey(ctx)
	}
	return ctx.Err()
}

// expectsHeartbeats reports whether any machine is believed to be up, and so should send heartbeats.
func (t *Term) expectsHeartbeats() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.HasLiveMachines()
}

// decide ticks the engine, which runs its round of decisions within the time limit.
func (t *Term) decide() {
	began := time.Now()
	end := began.Add(t.deps.RoundTime)
	defer func() { t.deps.Metrics.ObserveRound(time.Since(began)) }()
	t.step(core.Tick{BudgetSpent: func() bool { return time.Now().After(end) }})
}

// Replicate streams changes of the engine's warm state to the standbys, at most maxWarmChanges of
// them.
func (t *Term) Replicate() {
	if !t.deps.Replicator.Enabled() {
		return
	}
	t.mu.Lock()
	records := t.engine.WarmChanges(time.Now(), maxWarmChanges)
	t.mu.Unlock()
	if len(records) > 0 {
		t.deps.Replicator.Publish(t.claimed.Number, records)
	}
}
