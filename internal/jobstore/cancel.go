package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// cancelTries is how often one cancellation is tried while the leader keeps writing the job's
// record.
const cancelTries = 4

// errRecordChanged says that the leader wrote the record after it was read.
var errRecordChanged = errors.New("record keeps changing")

// Cancel cancels a job unless it is over, and returns the state that holds then. The record's
// version decides between a cancellation and the leader's writes of the same record.
//
// The guard is a condition by which no leader goes on answering users with an older state: it
// holds while the caller's own term lasts (UnderTerm), or while nobody leads (docs/design.md,
// "The bound of a cancellation"; TestCancelWithoutAnswer). If it fails, the error is
// ErrNotLeader. On statestore.ErrUnknownOutcome the returned state has the version over which
// the cancellation may have been written.
func (j *Jobs) Cancel(ctx context.Context, ref string, now time.Time, guard statestore.Compare) (State, error) {
	for range cancelTries {
		state, err := j.Load(ctx, ref)
		switch {
		case err != nil:
			return state, err
		case !state.Found:
			return state, ErrUnknownJob
		case state.Phase != pipeline.Active:
			return state, nil
		}
		state.Phase = pipeline.Cancelled
		j.cancelRecord(&state.Record, now)
		revision, err := j.commitCancelled(ctx, ref, state, guard)
		if err == nil {
			state.Version = revision
			return state, nil
		}
		if !errors.Is(err, errRecordChanged) {
			return state, fmt.Errorf("cancel job %s: %w", ref, err)
		}
	}
	return State{}, fmt.Errorf("cancel job %s: %w", ref, errRecordChanged)
}

// commitCancelled writes the record of a cancelled job over the version that was read, and
// returns the new version.
func (j *Jobs) commitCancelled(ctx context.Context, ref string, state State, guard statestore.Compare) (uint64, error) {
	key := JobPrefix + ref
	value, err := codec.Marshal(state.Record)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", key, err)
	}
	revision, err := j.store.Commit(ctx, []statestore.Compare{guard, {Key: key, ModRevision: state.Version}},
		[]statestore.Op{statestore.Put(key, value)})
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		return revision, nil
	case errors.As(err, &conflict) && slices.Contains(conflict.Keys, guard.Key):
		return 0, ErrNotLeader
	case errors.As(err, &conflict):
		return 0, errRecordChanged
	case statestore.NotExecuted(err), errors.Is(err, statestore.ErrUnknownOutcome):
		return 0, err
	}
	return 0, fmt.Errorf("%w: %w", statestore.ErrUnknownOutcome, err)
}

// cancelRecord turns a job's record into that of a cancelled job and removes what no longer
// matters. A record from when values could be larger also loses its description, without
// which it fits.
func (j *Jobs) cancelRecord(record *pipeline.Record, now time.Time) {
	record.Phase, record.CancelledMS = pipeline.Cancelled, now.UnixMilli()
	record.Done, record.Restarts, record.Dependencies = nil, nil, nil
	if record.Bytes() > j.limits.ValueBytes {
		record.Spec.Class, record.Spec.Image, record.Spec.Zone, record.Spec.Types = "", "", "", nil
	}
}

// CancelEvent returns the event by which a leader's engine learns the outcome of Cancel.
func CancelEvent(ref string, state State, err error) core.Event {
	switch {
	case err != nil:
		return core.CancelUndecided{Ref: ref, Unknown: errors.Is(err, statestore.ErrUnknownOutcome), Version: state.Version}
	case state.Over:
		return core.JobFinished{Ref: ref, Final: state.Final}
	}
	return core.JobStored{Job: core.StoredJob{Record: state.Record, Version: state.Version}}
}

// UnderTerm returns the condition that a leader's term isn't over.
func UnderTerm(term leadership.Term) statestore.Compare {
	return statestore.Compare{Key: leadership.TermKey, ModRevision: term.Revision}
}
