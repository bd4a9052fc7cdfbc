// Package jobstore lays the jobs' and machines' records out in the state
// service, and keeps the rules of who may change them: a job is created once,
// cancelled by compare-and-set, and otherwise written by the leader alone,
// under the condition of its term.
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

// Errors of the job store.
var (
	ErrExists        = errors.New("job exists")
	ErrUnknownJob    = errors.New("unknown job")
	ErrDeposed       = errors.New("the term is over")
	ErrNotLeader     = errors.New("another node leads")
	ErrBadDependency = errors.New("a job to wait for is unknown, a service or the job itself")
	ErrTooLarge      = errors.New("too large to be stored")
)

// Limits are what the state service takes.
type Limits struct {
	ValueBytes int
	TxnOps     int
	// NotCancelledFor is how long it counts that a job was seen not to be cancelled.
	NotCancelledFor time.Duration
}

// Store is what the job store needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (statestore.KeyValue, bool, error)
	List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error)
	Commit(ctx context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error)
}

// Jobs is the job store.
type Jobs struct {
	store  Store
	limits Limits
	cache  *cache
}

// New makes a job store.
func New(store Store, limits Limits) *Jobs {
	return &Jobs{store: store, limits: limits, cache: newCache()}
}

// State is what the store holds of a job.
type State struct {
	Found   bool
	Over    bool // the final entry was found
	Phase   pipeline.Phase
	Done    int
	Record  pipeline.Record // if not over
	Version uint64
	Final   pipeline.Final // if over
}

// Create writes a new job that waits for others, which CheckDependencies has found.
// ErrExists says that the job is known already.
func (j *Jobs) Create(ctx context.Context, spec pipeline.Spec, dependencies []string, now time.Time) error {
	record := pipeline.Record{Spec: spec, SubmittedMS: now.UnixMilli()}
	if record.Bytes() > j.limits.ValueBytes {
		return j.refuseTooLarge(ctx, spec.Ref)
	}
	if err := j.putDependencies(ctx, &record, dependencies); err != nil {
		return err
	}
	value, err := codec.Marshal(record)
	if err != nil {
		return fmt.Errorf("job %s: %w", spec.Ref, err)
	}
	_, err = j.store.Commit(ctx,
		[]statestore.Compare{{Key: JobPrefix + spec.Ref}, {Key: finalPrefix + spec.Ref}},
		[]statestore.Op{statestore.Put(JobPrefix+spec.Ref, value)})
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return ErrExists
	}
	if err == nil && spec.Shape != pipeline.Service {
		j.cache.noteAccepted(spec.Ref) // its user may name it next
	}
	return err
}

// refuseTooLarge is the answer for a job that is too large, unless it was accepted
// when values could be larger.
func (j *Jobs) refuseTooLarge(ctx context.Context, ref string) error {
	state, err := j.Load(ctx, ref)
	switch {
	case err != nil:
		return err
	case state.Found:
		return ErrExists
	}
	return ErrTooLarge
}

// Load reads a job. The record is read before the final entry that takes its
// place, so a job is never missed between the two.
func (j *Jobs) Load(ctx context.Context, ref string) (State, error) {
	if final, ok := j.cache.final(ref); ok {
		return finalState(final), nil
	}
	item, found, err := j.store.Get(ctx, JobPrefix+ref)
	if err != nil {
		return State{}, err
	}
	if !found {
		return j.loadFinal(ctx, ref)
	}
	state := State{Found: true, Version: item.ModRevision}
	if err := codec.Unmarshal(item.Value, &state.Record); err != nil {
		return State{}, fmt.Errorf("job %s: %w", ref, err)
	}
	state.Phase = state.Record.Phase
	for i := 1; i < len(state.Record.Done); i += 2 { // pairs of a gap and a run
		state.Done += state.Record.Done[i]
	}
	err = j.readDependencies(ctx, &state.Record)
	return state, err
}

// LoadFinished reads a job that most likely is over.
func (j *Jobs) LoadFinished(ctx context.Context, ref string) (State, error) {
	if state, err := j.loadFinal(ctx, ref); err != nil || state.Found {
		return state, err
	}
	return j.Load(ctx, ref)
}

// loadFinal reads a job's final entry; State.Found is false if there is none.
func (j *Jobs) loadFinal(ctx context.Context, ref string) (State, error) {
	item, found, err := j.store.Get(ctx, finalPrefix+ref)
	if err != nil || !found {
		return State{}, err
	}
	var final pipeline.Final
	if err := codec.Unmarshal(item.Value, &final); err != nil {
		return State{}, fmt.Errorf("job %s: %w", ref, err)
	}
	j.cache.noteFinal(ref, final)
	return finalState(final), nil
}

func finalState(final pipeline.Final) State {
	state := State{Found: true, Over: true, Phase: final.Phase, Final: final}
	if final.Phase == pipeline.Done {
		state.Done = final.Tasks
	}
	return state
}

// ReadJob turns a job's item into what the core takes.
func (j *Jobs) ReadJob(ctx context.Context, item statestore.KeyValue) (core.StoredJob, error) {
	job := core.StoredJob{Version: item.ModRevision}
	if err := codec.Unmarshal(item.Value, &job.Record); err != nil {
		return job, fmt.Errorf("%s: %w", item.Key, err)
	}
	err := j.readDependencies(ctx, &job.Record)
	return job, err
}
