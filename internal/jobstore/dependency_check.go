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

// maxSingleLookups is up to how many dependencies are looked up one by one. For more of them
// it takes fewer requests to list all unfinished jobs.
const maxSingleLookups = 6

// CheckDependencies makes sure that a job may depend on others: each was accepted, whatever
// became of it since, and isn't a service. Else the error is ErrBadDependency, or ErrExists if
// the job itself was accepted before, with the dependencies that it had then (docs/design.md,
// "Safety arguments" 16; TestCheckDependencies).
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

// checkAllAccepted checks the dependencies of a job, and reads those that aren't cached.
func (j *Jobs) checkAllAccepted(ctx context.Context, ref string, dependencies []string) error {
	unchecked := make([]string, 0, len(dependencies))
	for _, dependency := range dependencies {
		if dependency == ref || !pipeline.ValidRef(dependency) {
			return ErrBadDependency
		}
		if !j.cache.isAccepted(dependency) {
			unchecked = append(unchecked, dependency)
		}
	}
	if len(unchecked) > maxSingleLookups {
		return j.checkByList(ctx, unchecked)
	}
	group, ctx := errgroup.WithContext(ctx) // concurrently, since some answers take long
	for _, dependency := range unchecked {
		group.Go(func() error { return j.checkByLoad(ctx, dependency) })
	}
	return group.Wait()
}

// checkByLoad checks one dependency by reading it.
func (j *Jobs) checkByLoad(ctx context.Context, ref string) error {
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

// checkByList checks many dependencies: it lists all unfinished jobs, and looks for the final
// entries of those that aren't among them.
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
		j.cache.noteAccepted(ref)
	}
	return j.checkFinalEntries(ctx, notListed)
}

// conditionsPerOp is how many conditions a transaction may have for each change that it may
// have, by the protocol.
const conditionsPerOp = 4

// checkFinalEntries makes sure that all of some jobs have final entries. One transaction asks
// about many of them: it changes nothing, and its conditions are that the entries don't exist,
// so that the conditions which fail name those that do.
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
			j.cache.noteAccepted(ref)
		}
	}
	return nil
}
