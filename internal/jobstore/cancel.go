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

// cancelTries bounds the races of one cancellation with the leader's writes.
const cancelTries = 4

// Cancel cancels a job unless it is done; it returns what then holds. Against
// the leader's writes the record's version decides. The guard makes sure that
// no leader goes on telling users an older state: it is the leader's own term,
// or that nobody leads (docs/design.md, "The bound of a cancellation";
// TestCancelWithoutAnswer).
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
			return state, err
		}
	}
	return State{}, fmt.Errorf("job %s: %w", ref, errRecordChanged)
}

// errRecordChanged says that the leader wrote the record meanwhile.
var errRecordChanged = errors.New("record keeps changing")

// commitCancelled writes the record of a cancelled job over the version that was read.
func (j *Jobs) commitCancelled(ctx context.Context, ref string, state State, guard statestore.Compare) (uint64, error) {
	key := JobPrefix + ref
	value, err := codec.Marshal(state.Record)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", key, err)
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

// cancelRecord turns a job's record into that of a cancelled one. What no longer
// matters is left out, the description too if the record was written when values
// could be larger.
func (j *Jobs) cancelRecord(record *pipeline.Record, now time.Time) {
	record.Phase, record.CancelledMS = pipeline.Cancelled, now.UnixMilli()
	record.Done, record.Restarts, record.Dependencies = nil, nil, nil
	if record.Bytes() > j.limits.ValueBytes {
		record.Spec.Class, record.Spec.Image, record.Spec.Zone, record.Spec.Types = "", "", "", nil
	}
}

// CancelEvent is what a leader's engine hears of the outcome of Cancel.
func CancelEvent(ref string, state State, err error) core.Event {
	switch {
	case err != nil:
		return core.CancelUndecided{Ref: ref, Unknown: errors.Is(err, statestore.ErrUnknownOutcome), Version: state.Version}
	case state.Over:
		return core.JobFinished{Ref: ref, Final: state.Final}
	}
	return core.JobStored{Job: core.StoredJob{Record: state.Record, Version: state.Version}}
}

// UnderTerm is the guard of a cancellation by the leader itself.
func UnderTerm(term leadership.Term) statestore.Compare {
	return statestore.Compare{Key: leadership.TermKey, ModRevision: term.Revision}
}
