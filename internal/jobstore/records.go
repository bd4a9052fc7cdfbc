package jobstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
)

// State is what the store holds of a job. The zero State is that of an unknown job.
type State struct {
	Found   bool // the job was accepted
	Over    bool // the job has a final entry
	Phase   pipeline.Phase
	Done    int             // number of finished tasks, as far as Record or Final says (countRanges)
	Record  pipeline.Record // the job's record, unless Over
	Version uint64          // modification revision of Record's key
	Final   pipeline.Final  // the job's final entry, if Over
}

// Create stores a new job. The caller must have checked its dependencies (CheckDependencies). The
// error is ErrExists if the job was accepted before, and ErrTooLarge if its record exceeds the
// limit for a value.
func (j *Jobs) Create(ctx context.Context, spec pipeline.Spec, dependencies []string, now time.Time) error {
	record := pipeline.Record{Spec: spec, SubmittedMS: now.UnixMilli()}
	if record.Bytes() > j.limits.ValueBytes {
		return j.existsOrTooLarge(ctx, spec.Ref)
	}
	if err := j.putDependencies(ctx, &record, dependencies); err != nil {
		return err
	}
	key := JobPrefix + spec.Ref
	value, err := codec.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	_, err = j.store.Commit(ctx,
		[]statestore.Compare{{Key: key}, {Key: finalPrefix + spec.Ref}},
		[]statestore.Op{statestore.Put(key, value)})
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return ErrExists
	}
	if err == nil && spec.Shape != pipeline.Service {
		j.cache.noteValidDependency(spec.Ref) // the user's next job is likely to depend on it
	}
	return err
}

// existsOrTooLarge returns the error for a submission that is too large to be stored. This is
// ErrExists if the job was accepted before, when the limit for a value was higher, as for any
// repeated submission, and else ErrTooLarge.
func (j *Jobs) existsOrTooLarge(ctx context.Context, ref string) error {
	state, err := j.Load(ctx, ref)
	switch {
	case err != nil:
		return err
	case state.Found:
		return ErrExists
	}
	return ErrTooLarge
}

// Load reads a job. It reads the record first, and the final entry only if there is no record.
// Since the final entry replaces the record, a job that ends between the two reads is still found.
func (j *Jobs) Load(ctx context.Context, ref string) (State, error) {
	if final, ok := j.cache.final(ref); ok {
		return finalState(final), nil
	}
	item, found, err := j.store.Get(ctx, JobPrefix+ref)
	if err != nil {
		return State{}, err
	}
	if !found {
		return j.loadFinalEntry(ctx, ref)
	}
	state := State{Found: true, Version: item.ModRevision}
	if err := decodeValue(item, &state.Record); err != nil {
		return State{}, err
	}
	state.Phase = state.Record.Phase
	state.Done = countRanges(state.Record.Done)
	err = j.readDependencies(ctx, &state.Record)
	return state, err
}

// countRanges returns how many tasks are finished according to the done ranges of a record. These
// are pairs of lengths: of a run of tasks that aren't finished, and of the run of finished tasks
// that follows. A record covers only the first pipeline.ChunkTasks tasks of its job.
func countRanges(ranges []int) int {
	count := 0
	for i := 1; i < len(ranges); i += 2 {
		count += ranges[i]
	}
	return count
}

// LoadFinished is Load for a job that is most likely over: it reads the final entry first, and the
// record only if there is none.
func (j *Jobs) LoadFinished(ctx context.Context, ref string) (State, error) {
	if state, err := j.loadFinalEntry(ctx, ref); err != nil || state.Found {
		return state, err
	}
	return j.Load(ctx, ref)
}

// loadFinalEntry reads a job's final entry. Without one it returns the zero State.
func (j *Jobs) loadFinalEntry(ctx context.Context, ref string) (State, error) {
	item, found, err := j.store.Get(ctx, finalPrefix+ref)
	if err != nil || !found {
		return State{}, err
	}
	var final pipeline.Final
	if err := decodeValue(item, &final); err != nil {
		return State{}, err
	}
	j.cache.noteFinal(ref, final)
	return finalState(final), nil
}

// finalState returns the state of a job that is over.
func finalState(final pipeline.Final) State {
	state := State{Found: true, Over: true, Phase: final.Phase, Final: final}
	if final.Phase == pipeline.Done {
		state.Done = final.Tasks
	}
	return state
}

// ReadJob decodes a job's record, and reads the pages of its dependencies if it has any. If the
// job has changed since item was read, the pages may be deleted; the error is then a
// *MissingPagesError, and the caller has to load the job again.
func (j *Jobs) ReadJob(ctx context.Context, item statestore.KeyValue) (core.StoredJob, error) {
	job := core.StoredJob{Version: item.ModRevision}
	if err := decodeValue(item, &job.Record); err != nil {
		return job, err
	}
	err := j.readDependencies(ctx, &job.Record)
	return job, err
}
