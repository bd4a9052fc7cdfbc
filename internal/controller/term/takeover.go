package term

import (
	"context"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/wait"
)

// snapshotRetry is the pause after the records couldn't be read.
const snapshotRetry = 200 * time.Millisecond

// takeOver reads all records and builds the engine from them. It retries until that succeeds or ctx
// ends.
func (t *Term) takeOver(ctx context.Context) error {
	for {
		err := t.readRecords(ctx)
		if err == nil {
			return nil
		}
		t.log.Warn("could not read the stored records, retrying", "error", err)
		if !wait.Sleep(ctx, snapshotRetry) {
			return ctx.Err()
		}
	}
}

func (t *Term) readRecords(ctx context.Context) error {
	snapshot, revision, err := t.deps.Records.Snapshot(ctx)
	if err != nil {
		return err
	}
	if snapshot.Drains, err = t.readDrains(ctx); err != nil {
		return err
	}
	return t.buildEngine(snapshot, revision)
}

// readDrains reads the stored state of drains; it returns nothing if drains are off.
func (t *Term) readDrains(ctx context.Context) (drain.Stored, error) {
	if t.deps.Config.Drain == nil {
		return drain.Stored{}, nil
	}
	return t.deps.Records.Drains(ctx)
}

// buildEngine creates the engine from the stored records and, if there is one that can be trusted,
// from the copy of the previous leader's warm state. Revision is that of the records. The error
// says that they have to be read again.
func (t *Term) buildEngine(snapshot core.Snapshot, revision uint64) error {
	warm, err := t.deps.Replicator.ConfirmCopy(t.claimed, revision)
	if err != nil {
		return err
	}
	t.revision = revision
	t.log.Info("takeover", "jobs", len(snapshot.Jobs), "pages", len(snapshot.Pages))
	// All earlier leases ended before the claim, so before now
	// (docs/design.md, "Safety arguments" 1; TestOneLeader).
	now := time.Now()
	snapshot.Restored = t.claimed.Restored
	engine := core.New(now, t.deps.Config, t.claimed.Number, snapshot)
	if warm != nil {
		t.logRecords(engine.Step(now, *warm).Log)
	}
	if types := t.deps.MachineTypes.Types(); types != nil {
		engine.Step(now, core.CatalogUpdated{Types: types})
	}
	t.engine = engine
	return nil
}
