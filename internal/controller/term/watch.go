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

// Pauses after failed reads.
const (
	recordRetry = 200 * time.Millisecond
	watchRetry  = 150 * time.Millisecond
)

// watchHandler says which keys a loop watches and how it handles their changes.
type watchHandler struct {
	prefix string
	// changed handles one changed key; an error ends the loop.
	changed func(ctx context.Context, event statestore.Event) error
	// readAll handles all keys, when the watch has fallen so far behind that the changes it lacks
	// are compacted. It returns the revision after which the watch continues.
	readAll func(ctx context.Context) (uint64, error)
	// readAllRetry is the pause after readAll failed.
	readAllRetry time.Duration
}

// watch passes the changes of the keys to their handler until ctx ends.
func (t *Term) watch(ctx context.Context, w watchHandler) error {
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

// watchJobs watches the records of jobs, for new and cancelled ones.
func (t *Term) watchJobs(ctx context.Context) error {
	return t.watch(ctx, watchHandler{
		prefix:       jobstore.JobPrefix,
		changed:      t.jobChanged,
		readAll:      t.readAllJobs,
		readAllRetry: snapshotRetry,
	})
}

// readAllJobs passes all jobs to the engine.
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

// jobChanged passes a changed job record to the engine. If the rest of the job can't be read, for
// example because the job has changed again, it passes what the store holds now. It retries until
// either succeeds, but skips a malformed record.
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
		t.log.Warn("could not read a job record, retrying", "key", event.Key, "error", err)
		if !wait.Sleep(ctx, recordRetry) {
			return ctx.Err()
		}
	}
}

// refreshJob reads a job and passes it to the engine. It returns false if the job can't be read or
// doesn't exist.
func (t *Term) refreshJob(ctx context.Context, ref string) bool {
	return t.loadJob(ctx, ref, t.deps.Records.Load)
}

// loadJob reads a job by load and passes it to the engine. It returns false if the job can't be read
// or doesn't exist.
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

// Lookups of dependencies: how many are made at a time, the pause between them, and the pause after
// one failed.
const (
	maxLookUps     = 3
	lookUpInterval = 200 * time.Millisecond
	lookUpRetry    = time.Second
)

// lookUpDependencies looks up jobs that other jobs depend on and that the engine doesn't know, since
// they were over before this term.
func (t *Term) lookUpDependencies(ctx context.Context) error {
	for interval := lookUpInterval; wait.Sleep(ctx, interval); {
		t.mu.Lock()
		refs := t.engine.DependenciesToLookUp(maxLookUps)
		t.mu.Unlock()
		interval = lookUpInterval
		for _, ref := range refs {
			if !t.loadJob(ctx, ref, t.deps.Records.LoadFinished) {
				t.step(core.DependencyLookupFailed{Ref: ref})
				interval = lookUpRetry
			}
		}
	}
	return ctx.Err()
}
