package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
)

// maxSingleLookups is the number of dependencies up to which each is looked up with requests of
// its own. For more of them, listing all unfinished jobs takes fewer requests.
const maxSingleLookups = 6

// CheckDependencies checks that a submitted job may have the given dependencies: each must have
// been accepted, whatever became of it since, and must be neither a service nor the job itself.
// Otherwise the error is ErrBadDependency, or ErrExists if the job was accepted before, with the
// dependencies that it had then (docs/design.md, "Safety arguments" 16; TestCheckDependencies). A
// service that is over isn't rejected, since its final entry doesn't hold its shape.
func (j *Jobs) CheckDependencies(ctx context.Context, ref string, dependencies []string) error {
	err := j.checkAllAccepted(ctx, ref, dependencies)
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

// checkAllAccepted checks the dependencies of a job, and reads from the store those that aren't
// known to be valid from the cache. The error is ErrBadDependency if one isn't valid.
func (j *Jobs) checkAllAccepted(ctx context.Context, ref string, dependencies []string) error {
	unchecked := make([]string, 0, len(dependencies))
	for _, dependency := range dependencies {
		if dependency == ref || !pipeline.ValidRef(dependency) {
			return ErrBadDependency
		}
		if !j.cache.isValidDependency(dependency) {
			unchecked = append(unchecked, dependency)
		}
	}
	if len(unchecked) > maxSingleLookups {
		return j.checkByList(ctx, unchecked)
	}
	group, ctx := errgroup.WithContext(ctx) // concurrently, since some responses are slow
	for _, dependency := range unchecked {
		group.Go(func() error { return j.checkByLoad(ctx, dependency) })
	}
	return group.Wait()
}

// checkByLoad checks a single dependency by reading it from the store.
func (j *Jobs) checkByLoad(ctx context.Context, ref string) error {
	state, err := j.Load(ctx, ref)
	switch {
	case err != nil:
		return err
	case !state.Found || state.Record.Spec.Shape == pipeline.Service:
		return ErrBadDependency
	}
	j.cache.noteValidDependency(ref)
	return nil
}

// checkByList checks many dependencies: it lists all unfinished jobs, and looks up the final
// entries of the dependencies that aren't among them.
func (j *Jobs) checkByList(ctx context.Context, refs []string) error {
	items, _, err := j.store.List(ctx, JobPrefix)
	if err != nil {
		return err
	}
	unfinished := make(map[string]statestore.KeyValue, len(items))
	for _, item := range items {
		unfinished[strings.TrimPrefix(item.Key, JobPrefix)] = item
	}
	var notListed []string
	for _, ref := range refs {
		item, listed := unfinished[ref]
		if !listed {
			notListed = append(notListed, ref)
			continue
		}
		var record pipeline.Record
		if err := decodeValue(item, &record); err != nil {
			return err
		}
		if record.Spec.Shape == pipeline.Service {
			return ErrBadDependency
		}
		j.cache.noteValidDependency(ref)
	}
	return j.checkFinalEntries(ctx, notListed)
}

// conditionsPerOp is the ratio of the state service's limits of a transaction: it may have this
// many conditions for each change that is allowed (Limits.TxnOps).
const conditionsPerOp = 4

// checkFinalEntries checks that each of the given jobs has a final entry. One transaction looks
// up many of them: it changes nothing, and its conditions are that the entries don't exist. The
// entries that exist are those whose conditions fail. If one is missing, the error is
// ErrBadDependency.
func (j *Jobs) checkFinalEntries(ctx context.Context, refs []string) error {
	maxConditions := conditionsPerOp * j.limits.TxnOps
	for len(refs) > 0 {
		asked := refs[:min(maxConditions, len(refs))]
		refs = refs[len(asked):]
		conditions := make([]statestore.Compare, len(asked))
		for i, ref := range asked {
			conditions[i].Key = finalPrefix + ref
		}
		_, err := j.store.Commit(ctx, conditions, nil)
		var present *statestore.ConflictError
		if err != nil && !errors.As(err, &present) {
			return fmt.Errorf("look up %d final entries: %w", len(asked), err)
		}
		if present == nil || len(present.Keys) < len(asked) {
			return ErrBadDependency
		}
		for _, ref := range asked {
			j.cache.noteValidDependency(ref)
		}
	}
	return nil
}
