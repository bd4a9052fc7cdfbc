package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
)

// singleLookups is how many jobs are looked up one by one; beyond that, all unfinished
// jobs are read at once.
const singleLookups = 6

// CheckDependencies makes sure that a job may wait for some others: each was accepted,
// whatever became of it, and is no service. ErrExists says that the job itself is
// known already, and so accepted with the list that it had then (docs/design.md, "Safety
// arguments" 16; TestCheckDependencies).
func (j *Jobs) CheckDependencies(ctx context.Context, ref string, dependencies []string) error {
	err := j.checkDependencies(ctx, ref, dependencies)
	if !errors.Is(err, ErrBadDependency) {
		return err
	}
	state, loadErr := j.Load(ctx, ref)
	switch {
	case loadErr != nil:
		return loadErr
	case state.Found:
		return ErrExists
	}
	return err
}

func (j *Jobs) checkDependencies(ctx context.Context, ref string, dependencies []string) error {
	unchecked := make([]string, 0, len(dependencies))
	for _, dependency := range dependencies {
		if dependency == ref || !pipeline.ValidRef(dependency) {
			return ErrBadDependency
		}
		if !j.cache.isAccepted(dependency) {
			unchecked = append(unchecked, dependency)
		}
	}
	if len(unchecked) > singleLookups {
		return j.checkMany(ctx, unchecked)
	}
	group, ctx := errgroup.WithContext(ctx) // side by side: some answers take long
	for _, dependency := range unchecked {
		group.Go(func() error { return j.checkOne(ctx, dependency) })
	}
	return group.Wait()
}

func (j *Jobs) checkOne(ctx context.Context, ref string) error {
	state, err := j.Load(ctx, ref)
	switch {
	case err != nil:
		return err
	case !state.Found || state.Record.Spec.Shape == pipeline.Service:
		return ErrBadDependency
	}
	j.cache.noteAccepted(ref)
	return nil
}

// checkMany looks at all unfinished jobs first, and then for the final entries of the
// others.
func (j *Jobs) checkMany(ctx context.Context, refs []string) error {
	items, _, err := j.store.List(ctx, JobPrefix)
	if err != nil {
		return err
	}
	unfinished := make(map[string]statestore.KeyValue, len(items))
	for _, item := range items {
		unfinished[strings.TrimPrefix(item.Key, JobPrefix)] = item
	}
	var rest []string
	for _, ref := range refs {
		item, ok := unfinished[ref]
		if !ok {
			rest = append(rest, ref)
			continue
		}
		var record pipeline.Record
		if err := codec.Unmarshal(item.Value, &record); err != nil {
			return fmt.Errorf("job %s: %w", ref, err)
		}
		if record.Spec.Shape == pipeline.Service {
			return ErrBadDependency
		}
		j.cache.noteAccepted(ref)
	}
	return j.checkFinished(ctx, rest)
}

// conditionsPerOp is how many conditions a transaction may have for each change that it
// may have (PROTOCOL).
const conditionsPerOp = 4

// checkFinished makes sure that all jobs have final entries: it makes their absence the
// condition of an empty transaction, and counts the conditions that fail.
func (j *Jobs) checkFinished(ctx context.Context, refs []string) error {
	for most := conditionsPerOp * j.limits.TxnOps; len(refs) > 0; {
		asked := refs[:min(most, len(refs))]
		refs = refs[len(asked):]
		conditions := make([]statestore.Compare, len(asked))
		for i, ref := range asked {
			conditions[i].Key = finalPrefix + ref
		}
		_, err := j.store.Commit(ctx, conditions, nil)
		var present *statestore.ConflictError
		if err != nil && !errors.As(err, &present) {
			return err
		}
		if present == nil || len(present.Keys) < len(asked) {
			return ErrBadDependency
		}
		for _, ref := range asked {
			j.cache.noteAccepted(ref)
		}
	}
	return nil
}
