package term

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
)

// step applies an event to the engine, and carries out the effects. If they end the term, it ends
// the term instead of carrying out the rest.
func (t *Term) step(event core.Event) core.Effects {
	t.mu.Lock()
	effects := t.engine.Step(time.Now(), event)
	writesPending := t.engine.WritesPending()
	t.mu.Unlock()
	if writesPending {
		t.wakeWriteLoop()
	}
	t.logRecords(effects.Log)
	switch {
	case effects.Deposed():
		t.stepDown(effects.HigherFencingToken)
	case effects.AttemptNumbersExhausted:
		t.lease.Resign(leadership.ResignAttemptNumbersExhausted)
	default:
		t.carryOut(effects)
	}
	return effects
}

// carryOut starts the work that the engine asks for, in the background.
func (t *Term) carryOut(effects core.Effects) {
	for _, commands := range effects.DirectCommands {
		t.sendDirectCommands(commands)
	}
	for _, plan := range effects.Drains {
		t.background.run(func(ctx context.Context) { t.writeDrainPlan(ctx, plan) })
	}
	for _, request := range effects.ScaleOut {
		t.background.run(func(ctx context.Context) { t.scaleOut(ctx, request) })
	}
	for _, names := range effects.ScaleIn {
		t.background.run(func(ctx context.Context) { t.scaleIn(ctx, names) })
	}
}

// logRecords logs the engine's log records.
func (t *Term) logRecords(records []core.LogRecord) {
	for _, r := range records {
		t.log.LogAttrs(context.Background(), r.Level, string(r.Event), r.Attrs...)
	}
}

// stepDown ends the term because a worker has seen a higher fencing token, or this term's token from
// another leader.
func (t *Term) stepDown(seen uint64) {
	t.log.Warn("worker has seen a fencing token of another leader", "fencing_token", seen)
	t.background.run(func(ctx context.Context) { t.writeRestoredKey(ctx, seen) })
	t.lease.End()
}

// restoredKeyTimeout bounds the write of leadership.RestoredKey.
const restoredKeyTimeout = 2 * time.Second

// writeRestoredKey writes the fencing token that a worker has seen to leadership.RestoredKey. The
// write succeeds only if this term is the newest that the state service knows: it was then restored
// from an older copy, which the next leader has to know. The write doesn't depend on the term's
// context, which ends at the same time.
func (t *Term) writeRestoredKey(ctx context.Context, seen uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), restoredKeyTimeout)
	defer cancel()
	err := t.deps.Records.Put(ctx, t.claimed, leadership.RestoredKey, leadership.RestoredValue(seen))
	switch {
	case err == nil:
		t.log.Error("state service was restored from an older copy and has lost terms", "fencing_token", seen)
	case !errors.Is(err, jobstore.ErrDeposed):
		t.log.Warn("could not record the restore of the state service", "error", err)
	}
}

// deleteRestoredKey deletes leadership.RestoredKey once the engine has settled what a restore of the
// state service lost.
func (t *Term) deleteRestoredKey(ctx context.Context) {
	if !t.claimed.Restored || t.restoredKeyDeleted {
		return
	}
	t.mu.Lock()
	settled := t.engine.RestoreSettled(time.Now())
	t.mu.Unlock()
	if !settled {
		return
	}
	if err := t.deps.Records.Delete(ctx, t.claimed, leadership.RestoredKey); err != nil {
		t.log.Debug("restored key not deleted", "error", err)
		return
	}
	t.restoredKeyDeleted = true
	t.log.Info("restore of the state service settled")
}

// Lookup returns what the engine knows of a job. It returns false if the state service has to be
// asked.
func (t *Term) Lookup(ref string) (core.JobView, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.Lookup(ref)
}

// Status returns the engine's status for operators.
func (t *Term) Status(now time.Time) core.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.Status(now)
}

// PreviewDrain returns what a drain plan would do.
func (t *Term) PreviewDrain(now time.Time, plan drain.Plan) *drain.Preview {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.PreviewDrain(now, plan)
}

// Load returns the cluster's capacity and backlog. CapacityKnown is false while the takeover isn't over
// and the capacity therefore isn't known.
func (t *Term) Load(now time.Time) (load admission.Load, capacityKnown bool) {
	t.mu.Lock()
	cluster := t.engine.Load(now)
	t.mu.Unlock()
	load.Backlog = cluster.Backlog
	load.Capacity = admission.Capacity{
		CPUs:  cluster.Capacity.CPUs,
		GPUs:  cluster.Capacity.GPUs,
		MemGB: cluster.Capacity.MemGB,
	}
	return load, cluster.Settled
}

// SetFairOrder switches the ordering of jobs by their teams' fair shares on or off.
func (t *Term) SetFairOrder(on bool, weights map[string]float64) {
	t.step(core.FairOrderChanged{On: on, Weights: weights})
}

// StoreValue writes a value that belongs to the leader, conditional on the term. If another
// controller has claimed a higher term, this one ends.
func (t *Term) StoreValue(ctx context.Context, key string, value []byte) error {
	err := t.deps.Records.Put(ctx, t.claimed, key, value)
	if errors.Is(err, jobstore.ErrDeposed) {
		t.lease.End()
	}
	return err
}
