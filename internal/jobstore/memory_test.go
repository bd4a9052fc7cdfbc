package jobstore

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// memory is a store that keeps its items in memory.
type memory struct {
	items map[string]statestore.KeyValue
	rev   uint64
}

func (m *memory) Get(_ context.Context, key string) (statestore.KeyValue, bool, error) {
	it, ok := m.items[key]
	return it, ok, nil
}

func (m *memory) List(_ context.Context, prefix string) (out []statestore.KeyValue, rev uint64, err error) {
	for k, it := range m.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b statestore.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out, m.rev, nil
}

func (m *memory) Commit(_ context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	var failed []string
	for _, c := range conds {
		if m.items[c.Key].ModRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 0, &statestore.ConflictError{Keys: failed}
	}
	m.rev++
	for _, c := range changes {
		if c.Delete {
			delete(m.items, c.Key)
		} else {
			m.items[c.Key] = statestore.KeyValue{Key: c.Key, Value: c.Value, ModRevision: m.rev}
		}
	}
	return m.rev, nil
}

// putTerm stores the number of a leader's term, by which that term begins and all earlier ones are over.
func putTerm(t *testing.T, store *memory, number int) (revision uint64) {
	t.Helper()
	op := statestore.Put(leadership.TermKey, codec.MustMarshal(number))
	revision, err := store.Commit(t.Context(), nil, []statestore.Op{op})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// setup returns a store with a leader's term and one job, j-1, that has two tasks.
func setup(t *testing.T) (*memory, *Jobs, leadership.Term) {
	t.Helper()
	store := &memory{items: map[string]statestore.KeyValue{}}
	revision := putTerm(t, store, 1)
	jobs := New(store, Limits{ValueBytes: 4000, TxnOps: 8})
	if err := jobs.Create(t.Context(), pipeline.Spec{Ref: "j-1", Tasks: 2, Types: []string{}}, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	return store, jobs, leadership.Term{Number: 1, Revision: revision}
}
