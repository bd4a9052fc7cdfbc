package jobstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
)

// listHashBytes is the number of bytes of a list's SHA-256 hash that are kept. They are part of the
// keys of its pages.
const listHashBytes = 8

// MissingPagesError reports that the store holds more or fewer pages of a job's dependencies than
// the job's record says: the record is out of date, or a submission of the job is under way.
type MissingPagesError struct {
	Ref          string
	Stored, Want int // numbers of pages: in the store, and according to the record
}

func (e *MissingPagesError) Error() string {
	return fmt.Sprintf("read dependencies of job %s: %d pages are stored, want %d", e.Ref, e.Stored, e.Want)
}

// putDependencies puts a job's dependencies into its record or, if that would make the record
// too large, stores them on separate pages and puts their number and the list's hash into the
// record. The pages are written before the record and have no effect without it. A repeated
// submission skips the pages that are stored already (docs/design.md, "Safety arguments" 16;
// TestLongListIsTakenWholeOrNotAtAll).
func (j *Jobs) putDependencies(ctx context.Context, record *pipeline.Record, dependencies []string) error {
	if len(dependencies) == 0 {
		return nil
	}
	if record.Bytes()+pipeline.DependencyBytes(dependencies) <= j.limits.ValueBytes {
		record.Dependencies = dependencies
		return nil
	}
	sum := sha256.Sum256([]byte(strings.Join(dependencies, " ")))
	record.DependencyListHash = hex.EncodeToString(sum[:listHashBytes])
	pages := splitPages(dependencies, j.limits.ValueBytes)
	record.DependencyPages = len(pages)
	stored, err := j.storedDependencyKeys(ctx, record)
	if err != nil {
		return err
	}
	for i, page := range pages {
		key := dependencyKey(record.Spec.Ref, record.DependencyListHash, i)
		if stored[key] {
			continue
		}
		if _, err := j.store.Commit(ctx, nil, []statestore.Op{statestore.Put(key, codec.MustMarshal(page))}); err != nil {
			return err
		}
	}
	return nil
}

// splitPages splits a list into pages that take valueBytes each at the most. A page holds at least
// one dependency, which always fits.
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

// storedDependencyKeys returns the set of keys of those pages of a record's list of dependencies
// that are stored.
func (j *Jobs) storedDependencyKeys(ctx context.Context, record *pipeline.Record) (map[string]bool, error) {
	items, _, err := j.store.List(ctx, dependencyPagesPrefix(record.Spec.Ref, record.DependencyListHash))
	if err != nil {
		return nil, err
	}
	stored := make(map[string]bool, len(items))
	for _, item := range items {
		stored[item.Key] = true
	}
	return stored, nil
}

// readDependencies completes the record of a job that waits for its dependencies: if these are on
// separate pages, it reads them into the record. The error is a *MissingPagesError if the number of
// pages isn't the one in the record.
func (j *Jobs) readDependencies(ctx context.Context, record *pipeline.Record) error {
	if !record.Held() || record.DependencyPages == 0 {
		return nil
	}
	prefix := dependencyPagesPrefix(record.Spec.Ref, record.DependencyListHash)
	items, _, err := j.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	if len(items) != record.DependencyPages {
		return &MissingPagesError{Ref: record.Spec.Ref, Stored: len(items), Want: record.DependencyPages}
	}
	record.Dependencies = nil
	for _, item := range items {
		var refs []string
		if err := decodeValue(item, &refs); err != nil {
			return err
		}
		record.Dependencies = append(record.Dependencies, refs...)
	}
	return nil
}
