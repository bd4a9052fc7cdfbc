package term

import (
	"context"
	"errors"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
	"gingertally/internal/wait"
)

// Pauses after a failed write. The pause is longer in an outage of the state service, during which
// the leader goes on working.
const (
	writeRetry       = 100 * time.Millisecond
	writeRetryOutage = 300 * time.Millisecond
)

// wakeWriteLoop makes the write loop check at once whether there is something to write.
func (t *Term) wakeWriteLoop() {
	select {
	case t.wakeWriter <- struct{}{}:
	default:
	}
}

// writeLoop writes the engine's pending writes, one transaction at a time.
func (t *Term) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wakeWriter:
		case <-time.After(tickInterval):
		}
		if !t.HoldsLease() {
			continue
		}
		if err := t.writeAll(ctx); err != nil {
			return err
		}
	}
}

// writeAll writes until nothing is left or a write fails. It returns an error only if the term is
// over.
func (t *Term) writeAll(ctx context.Context) error {
	for {
		more, err := t.writeBatch(ctx)
		if errors.Is(err, jobstore.ErrDeposed) {
			t.lease.End()
			return err
		}
		if err != nil {
			t.log.Debug("batch not written", "error", err)
			retry := writeRetry
			if errors.Is(err, statestore.ErrUnavailable) {
				retry = writeRetryOutage
			}
			if !wait.Sleep(ctx, retry) {
				return ctx.Err()
			}
		}
		if !more {
			return nil
		}
	}
}

// writeBatch writes one batch and reports the outcome to the engine. More says whether there may be
// more to write now. A write that the state service rejects for good isn't an error.
func (t *Term) writeBatch(ctx context.Context) (more bool, err error) {
	batch := t.nextBatch()
	if len(batch) == 0 {
		return false, nil
	}
	applied, err := t.deps.Records.Apply(ctx, t.claimed, batch)
	sent := applied.Sent
	if unsent := batch[len(sent):]; len(unsent) > 0 {
		t.step(core.WritesFinished{Batch: unsent})
	}
	if err == nil {
		t.step(core.WritesFinished{Batch: sent, OK: true, Revision: applied.Revision})
		return true, nil
	}
	if errors.Is(err, statestore.ErrRejected) {
		t.step(core.WriteRejected{Write: sent[0]})
		return true, nil
	}
	var versions map[string]uint64
	if !errors.Is(err, statestore.ErrUnavailable) { // if unavailable, nothing has changed and nothing can be read
		versions = t.reread(ctx, sent)
	}
	t.step(core.WritesFinished{Batch: sent, CurrentVersions: versions})
	return false, err
}

// nextBatch takes the next writes from the engine, which from then on treats them as in flight.
func (t *Term) nextBatch() []core.Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	batch := t.engine.Batch(now, t.deps.MaxBatch)
	if len(batch) > 0 {
		t.engine.Step(now, core.WritesStarted{Batch: batch})
	}
	return batch
}

// reread reads what the store holds after a write failed or its outcome is unknown. It returns the
// versions of pages by name, and passes jobs' records to the engine itself.
func (t *Term) reread(ctx context.Context, batch []core.Write) map[string]uint64 {
	versions := map[string]uint64{}
	for _, write := range batch {
		if ref := write.JobRef(); ref != "" {
			t.refreshJob(ctx, ref)
			continue
		}
		if version, err := t.deps.Records.PageVersion(ctx, write); err == nil {
			versions[write.Target()] = version
		}
	}
	return versions
}
