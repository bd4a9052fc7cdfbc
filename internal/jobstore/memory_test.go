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

// memoryStore is a store that keeps its items in memory.
type memoryStore struct {
	items map[string]statestore.KeyValue
	rev   uint64
}

func (m *memoryStore) Get(_ context.Context, key string) (statestore.KeyValue, bool, error) {
	it, ok := m.items[key]
	return it, ok, nil
}

func (m *memoryStore) List(_ context.Context, prefix string) (out []statestore.KeyValue, rev uint64, err error) {
	for k, it := range m.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b statestore.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out, m.rev, nil
}

func (m *memoryStore) Commit(_ context.Context, conditions []statestore.Compare, changes []statestore.Op) (uint64, error) {
	var failed []string
	for _, c := range conditions {
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

// putTerm stores the number of a leader's term, which begins that term and ends all earlier ones.
func putTerm(t *testing.T, store *memoryStore, number int) (revision uint64) {
	t.Helper()
	op := statestore.Put(leadership.TermKey, codec.MustMarshal(number))
	revision, err := store.Commit(t.Context(), nil, []statestore.Op{op})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// setup returns a store in which a leader's term has begun and which holds one job, j-1, with two
// tasks.
func setup(t *testing.T) (*memoryStore, *Jobs, leadership.Term) {
	t.Helper()
	store := &memoryStore{items: map[string]statestore.KeyValue{}}
	revision := putTerm(t, store, 1)
	jobs := New(store, Limits{ValueBytes: 4000, TxnOps: 8})
	if err := jobs.Create(t.Context(), pipeline.Spec{Ref: "j-1", Tasks: 2, Types: []string{}}, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	return store, jobs, leadership.Term{Number: 1, Revision: revision}
}
