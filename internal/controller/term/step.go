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

// step moves the engine on by an event and has its effects carried out.
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
		t.deposed(effects.HigherFencingToken)
	case effects.AttemptNumbersExhausted:
		t.deps.Lease.Resign(leadership.ResignAttemptNumbersExhausted)
	default:
		t.carryOut(effects)
	}
	return effects
}

// carryOut has what the engine asks for done in the background.
func (t *Term) carryOut(effects core.Effects) {
	for _, commands := range effects.Direct {
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

// logRecords logs what the engine has to tell the operators.
func (t *Term) logRecords(records []core.LogRecord) {
	for _, r := range records {
		t.log.LogAttrs(context.Background(), r.Level, string(r.Event), r.Attrs...)
	}
}

// deposed ends the term: a worker has seen a higher fencing token, or this one from another leader.
func (t *Term) deposed(seen uint64) {
	t.log.Warn("higher fencing token seen", "fencing_token", seen)
	t.background.run(func(ctx context.Context) { t.noteRestore(ctx, seen) })
	t.deps.Lease.EndTerm()
}

// noteRestoreTimeout bounds the write of noteRestore.
const noteRestoreTimeout = 2 * time.Second

// noteRestore notes in the state service, if this term is the newest that it knows, that a
// worker has seen a higher one, or this one from another leader: then it was restored from an
// older copy, and the next leader has to know. The term's context has ended by then.
func (t *Term) noteRestore(ctx context.Context, seen uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), noteRestoreTimeout)
	defer cancel()
	err := t.deps.Records.Put(ctx, t.claimed, leadership.RestoredKey, leadership.RestoredValue(seen))
	switch {
	case err == nil:
		t.log.Error("state service has forgotten terms: restored from an older copy", "fencing_token", seen)
	case !errors.Is(err, jobstore.ErrDeposed):
		t.log.Warn("restore of the state service not noted", "error", err)
	}
}

// clearRestore removes the note that the state service was restored, once what it had
// forgotten is settled.
func (t *Term) clearRestore(ctx context.Context) {
	if !t.claimed.Restored || t.restoreCleared {
		return
	}
	t.mu.Lock()
	settled := t.engine.RestoreSettled(time.Now())
	t.mu.Unlock()
	if !settled {
		return
	}
	if err := t.deps.Records.Delete(ctx, t.claimed, leadership.RestoredKey); err != nil {
		t.log.Debug("note of the restore not removed", "error", err)
		return
	}
	t.restoreCleared = true
	t.log.Info("restore of the state service settled")
}

// Lookup is what the engine knows of a job.
func (t *Term) Lookup(ref string) (core.JobView, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.Lookup(ref)
}

// Status is what operators are shown.
func (t *Term) Status(now time.Time) core.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.Status(now)
}

// PreviewDrain tells what a drain plan would do.
func (t *Term) PreviewDrain(now time.Time, plan drain.Plan) *drain.Preview {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.PreviewDrain(now, plan)
}

// Load is what the engine tells of capacity and backlog; settled is false while a new leader
// doesn't know enough.
func (t *Term) Load(now time.Time) (load admission.Load, settled bool) {
	t.mu.Lock()
	cluster := t.engine.Load(now)
	t.mu.Unlock()
	load.Backlog = cluster.Backlog
	load.Rates = admission.Rates{
		CPUs:  cluster.Capacity.CPUs,
		GPUs:  cluster.Capacity.GPUs,
		MemGB: cluster.Capacity.MemGB,
	}
	return load, cluster.Settled
}

// SetFairOrder has jobs ordered by their teams' fair shares, or not.
func (t *Term) SetFairOrder(on bool, weights map[string]float64) {
	t.step(core.FairOrderChanged{On: on, Weights: weights})
}

// StoreValue writes a value of the leader's own under the term. If another controller has claimed a higher
// one, this term ends.
func (t *Term) StoreValue(ctx context.Context, key string, value []byte) error {
	err := t.deps.Records.Put(ctx, t.claimed, key, value)
	if errors.Is(err, jobstore.ErrDeposed) {
		t.deps.Lease.EndTerm()
	}
	return err
}
