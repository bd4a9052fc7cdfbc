package term

import (
	"context"
	"errors"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
	"gingertally/internal/wait"
)

// Pauses after reads that failed.
const (
	recordRetry = 200 * time.Millisecond
	watchRetry  = 150 * time.Millisecond
)

// watched is what a loop does with the keys that it watches.
type watched struct {
	prefix string
	// changed takes in what has changed; an error ends the loop.
	changed func(ctx context.Context, event statestore.Event) error
	// readAll takes all keys in, for a watch that fell too far behind, and returns the revision
	// to watch on from.
	readAll func(ctx context.Context) (uint64, error)
	// readAllRetry is the pause after keys that couldn't be read.
	readAllRetry time.Duration
}

// watch follows the changes of keys until ctx ends.
func (t *Term) watch(ctx context.Context, w watched) error {
	revision := t.revision
	for ctx.Err() == nil {
		response, err := t.deps.Store.Watch(ctx, w.prefix, revision)
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			if newer, err := w.readAll(ctx); err == nil {
				revision = newer
			} else {
				wait.Sleep(ctx, w.readAllRetry)
			}
		case err != nil:
			wait.Sleep(ctx, watchRetry)
		default:
			for _, event := range response.Events {
				if err := w.changed(ctx, event); err != nil {
					return err
				}
			}
			revision = max(revision, response.Revision)
		}
	}
	return ctx.Err()
}

// watchJobs learns of new and cancelled jobs.
func (t *Term) watchJobs(ctx context.Context) error {
	return t.watch(ctx, watched{
		prefix:       jobstore.JobPrefix,
		changed:      t.jobChanged,
		readAll:      t.readAllJobs,
		readAllRetry: snapshotRetry,
	})
}

// readAllJobs brings the engine all jobs.
func (t *Term) readAllJobs(ctx context.Context) (uint64, error) {
	snapshot, revision, err := t.deps.Records.Snapshot(ctx)
	if err != nil {
		return 0, err
	}
	for _, job := range snapshot.Jobs {
		t.step(core.JobStored{Job: job})
	}
	return revision, nil
}

// jobChanged brings the engine a job's record, or, where that can't be completed any
// more since the job has moved on, what the store now holds.
func (t *Term) jobChanged(ctx context.Context, event statestore.Event) error {
	if event.Delete {
		return nil
	}
	for {
		job, err := t.deps.Records.ReadJob(ctx, event.KeyValue)
		switch {
		case err == nil:
			t.step(core.JobStored{Job: job})
			return nil
		case errors.Is(err, codec.ErrMalformed):
			t.log.Error("job record unreadable", "key", event.Key, "error", err)
			return nil
		case t.refreshJob(ctx, strings.TrimPrefix(event.Key, jobstore.JobPrefix)):
			return nil
		}
		t.log.Warn("job record not read", "key", event.Key, "error", err)
		if !wait.Sleep(ctx, recordRetry) {
			return ctx.Err()
		}
	}
}

// refreshJob brings the engine what the store holds of a job, if that can be had.
func (t *Term) refreshJob(ctx context.Context, ref string) bool {
	return t.loadJob(ctx, ref, t.deps.Records.Load)
}

// loadJob loads a job and brings the engine what was found; false if nothing was.
func (t *Term) loadJob(
	ctx context.Context, ref string, load func(context.Context, string) (jobstore.State, error),
) bool {
	state, err := load(ctx, ref)
	if err != nil || !state.Found {
		return false
	}
	if state.Over {
		t.step(core.JobFinished{Ref: ref, Final: state.Final})
		return true
	}
	t.step(core.JobStored{Job: core.StoredJob{Record: state.Record, Version: state.Version}})
	return true
}

// How dependencies are looked up: how many at a time, how often, and how
// long after a time at which some couldn't be had.
const (
	maxLookUps  = 3
	lookUpEvery = 200 * time.Millisecond
	lookUpRetry = time.Second
)

// lookUpDependencies finds out what became of jobs that others depend on and that were over
// before this term.
func (t *Term) lookUpDependencies(ctx context.Context) error {
	for interval := lookUpEvery; wait.Sleep(ctx, interval); {
		t.mu.Lock()
		refs := t.engine.DependenciesToLookUp(maxLookUps)
		t.mu.Unlock()
		interval = lookUpEvery
		for _, ref := range refs {
			if !t.loadJob(ctx, ref, t.deps.Records.LoadFinished) {
				t.step(core.DependencyLookupFailed{Ref: ref})
				interval = lookUpRetry
			}
		}
	}
	return ctx.Err()
}
