package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
	"gingertally/internal/wire"
)

// cancelTries bounds the races of one cancellation with the leader's writes.
const cancelTries = 4

// Cancel cancels a job unless it is done; it returns what then holds. Against
// the leader's writes the record's version decides. The guard makes sure that
// no leader goes on telling users an older state: it is the leader's own term,
// or that nobody leads (docs/design.md, "The bound of a cancellation";
// TestCancelWithoutAnswer).
func (j *Jobs) Cancel(ctx context.Context, ref string, now time.Time, guard wire.Condition) (State, error) {
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
func (j *Jobs) commitCancelled(ctx context.Context, ref string, state State, guard wire.Condition) (uint64, error) {
	key := JobPrefix + ref
	value, err := wire.Marshal(state.Record)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", key, err)
	}
	revision, err := j.store.Commit(ctx, []wire.Condition{guard, {Path: key, Stamp: state.Version}},
		[]wire.Change{{Put: key, V: value}})
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, statestore.ErrUnavailable), errors.Is(err, statestore.ErrRefused):
		return 0, err
	case !errors.As(err, &conflict):
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	case slices.Contains(conflict.Failed, guard.Path):
		return 0, ErrNotLeader
	}
	return 0, errRecordChanged
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
		return core.CancelUndecided{Ref: ref, Unknown: errors.Is(err, ErrUnknownOutcome), Version: state.Version}
	case state.Over:
		return core.JobFinished{Ref: ref, Final: state.Final}
	}
	return core.JobStored{Job: core.StoredJob{Record: state.Record, Version: state.Version}}
}

// UnderTerm is the guard of a cancellation by the leader itself.
func UnderTerm(term leadership.Term) wire.Condition {
	return wire.Condition{Path: leadership.TermKey, Stamp: term.Revision}
}
