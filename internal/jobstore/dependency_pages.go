package jobstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"gingertally/internal/codec"
	"gingertally/internal/statestore"

	"gingertally/internal/core/pipeline"
)

// sumBytes is how much of the hash of a list of dependencies names its pages.
const sumBytes = 8

// putDependencies puts the jobs that a job waits for into its record, or, if they would
// make it too large, on pages of their own. Those are written before the record,
// which alone makes them count; a retry leaves those that are there (docs/design.md,
// "Safety arguments" 16; TestLongListIsTakenWholeOrNotAtAll).
func (j *Jobs) putDependencies(ctx context.Context, record *pipeline.Record, dependencies []string) error {
	if len(dependencies) == 0 {
		return nil
	}
	if record.Bytes()+pipeline.DependencyBytes(dependencies) <= j.limits.ValueBytes {
		record.Dependencies = dependencies
		return nil
	}
	sum := sha256.Sum256([]byte(strings.Join(dependencies, " ")))
	record.DependencyListSum = hex.EncodeToString(sum[:sumBytes])
	pages := splitPages(dependencies, j.limits.ValueBytes)
	record.DependencyPages = len(pages)
	stored, err := j.storedPages(ctx, record)
	if err != nil {
		return err
	}
	for i, page := range pages {
		key := dependencyKey(record.Spec.Ref, record.DependencyListSum, i)
		if stored[key] {
			continue
		}
		if _, err := j.store.Commit(ctx, nil, []statestore.Op{statestore.Put(key, codec.MustMarshal(page))}); err != nil {
			return err
		}
	}
	return nil
}

// splitPages splits a list into pages that fit a value each.
func splitPages(dependencies []string, valueBytes int) [][]string {
	var pages [][]string
	for rest := dependencies; len(rest) > 0; {
		n := 1
		for n < len(rest) && pipeline.DependencyBytes(rest[:n+1]) <= valueBytes {
			n++
		}
		pages, rest = append(pages, rest[:n]), rest[n:]
	}
	return pages
}

// storedPages are the keys of the pages of a record's list that the store has.
func (j *Jobs) storedPages(ctx context.Context, record *pipeline.Record) (map[string]bool, error) {
	items, _, err := j.store.List(ctx, dependencyPages(record.Spec.Ref, record.DependencyListSum))
	if err != nil {
		return nil, err
	}
	stored := map[string]bool{}
	for _, item := range items {
		stored[item.Key] = true
	}
	return stored, nil
}

// readDependencies completes a record of a job that waits for others by the pages of its
// list.
func (j *Jobs) readDependencies(ctx context.Context, record *pipeline.Record) error {
	if !record.Held() || record.DependencyPages == 0 {
		return nil
	}
	items, _, err := j.store.List(ctx, dependencyPages(record.Spec.Ref, record.DependencyListSum))
	if err != nil {
		return err
	}
	if len(items) != record.DependencyPages {
		return fmt.Errorf("job %s: %d pages of jobs to wait for, not %d", record.Spec.Ref, len(items), record.DependencyPages)
	}
	record.Dependencies = nil
	for _, item := range items {
		var refs []string
		if err := codec.Unmarshal(item.Value, &refs); err != nil {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
		record.Dependencies = append(record.Dependencies, refs...)
	}
	return nil
}
