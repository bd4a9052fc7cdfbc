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

// maxCancelAttempts is the number of attempts of a cancellation that conflicts with the leader's
// writes of the job's record.
const maxCancelAttempts = 4

// errRecordChanged reports that the record was changed between being read and being written.
var errRecordChanged = errors.New("record keeps changing")

// Cancel cancels a job and returns its state. A job that is over or cancelled already is left as
// it is; for an unknown one the error is ErrUnknownJob. The write is conditional on the record's
// version: if the leader writes the same record at the same time, only one of the two succeeds.
//
// The guard is a further condition of the write. It ensures that no leader keeps answering users
// with the state from before: the guard holds only during the caller's own term (UnderTerm), or only
// while nobody leads (docs/design.md, "The bound of a cancellation"; TestCancelWithoutAnswer). If
// it fails, the error wraps ErrNotLeader. On statestore.ErrUnknownOutcome, the returned state holds
// the version of the record that the cancellation may have replaced.
func (j *Jobs) Cancel(ctx context.Context, ref string, now time.Time, guard statestore.Compare) (State, error) {
	for range maxCancelAttempts {
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

// commitCancelled writes the record of a cancelled job if the record still has the version that
// was read, and returns the new version. The error is ErrNotLeader if the guard failed,
// errRecordChanged if the version is another, and wraps statestore.ErrUnknownOutcome unless it is
// certain that nothing was written.
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

// cancelRecord turns a job's record into that of a cancelled job, and removes what isn't needed
// any more. If the record was written when the limit of a value was higher, it may now be too
// large; it then also loses its class, image, zone and machine types, without which it fits.
func (j *Jobs) cancelRecord(record *pipeline.Record, now time.Time) {
	record.Phase, record.CancelledMS = pipeline.Cancelled, now.UnixMilli()
	record.Done, record.Restarts, record.Dependencies = nil, nil, nil
	if record.Bytes() > j.limits.ValueBytes {
		record.Spec.Class, record.Spec.Image, record.Spec.Zone, record.Spec.Types = "", "", "", nil
	}
}

// CancelEvent returns the event that tells a leader's engine the outcome of Cancel.
func CancelEvent(ref string, state State, err error) core.Event {
	switch {
	case err != nil:
		return core.CancelUndecided{Ref: ref, Unknown: errors.Is(err, statestore.ErrUnknownOutcome), Version: state.Version}
	case state.Over:
		return core.JobFinished{Ref: ref, Final: state.Final}
	}
	return core.JobStored{Job: core.StoredJob{Record: state.Record, Version: state.Version}}
}

// UnderTerm returns the condition that a leader's term isn't over. It fails once a newer term has
// begun.
func UnderTerm(term leadership.Term) statestore.Compare {
	return statestore.Compare{Key: leadership.TermKey, ModRevision: term.Revision}
}
