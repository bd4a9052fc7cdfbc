package jobstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// If the store rejects a batch, the first write is sent alone, so that a write that is always
// rejected doesn't block the others. Otherwise one value that is too large would keep the leader from
// writing anything.
func TestRefusedWriteIsSentAlone(t *testing.T) {
	store, jobs, term := setup(t)
	rejecting := &rejectingStore{store}
	batch := []core.Write{core.PutImagePage{Name: "bad"}, core.PutImagePage{Name: "good"}}
	applied, err := New(rejecting, jobs.limits).Apply(t.Context(), term, batch)
	if !errors.Is(err, statestore.ErrRejected) || len(applied.Sent) != 1 || applied.Sent[0].Target() != "bad" {
		t.Fatalf("sent %v, %v", applied.Sent, err)
	}
	if applied, err = New(rejecting, jobs.limits).Apply(t.Context(), term, batch[1:]); err != nil || len(applied.Sent) != 1 {
		t.Fatalf("sent %v, %v", applied.Sent, err)
	}
}

// rejectingStore is a store that rejects all transactions that change the key i/bad.
type rejectingStore struct{ *memoryStore }

func (r *rejectingStore) Commit(
	ctx context.Context, conditions []statestore.Compare, changes []statestore.Op,
) (uint64, error) {
	for _, change := range changes {
		if change.Key == "i/bad" {
			return 0, statestore.ErrRejected
		}
	}
	return r.memoryStore.Commit(ctx, conditions, changes)
}

// No write of a leader succeeds after its term is over, however late it arrives. Otherwise it would
// overwrite what the successor has written.
func TestDeposedLeaderCannotWrite(t *testing.T) {
	store, jobs, term := setup(t)
	state, _ := jobs.Load(t.Context(), "j-1")
	putTerm(t, store, 2)
	before := maps.Clone(store.items)
	write := core.PutJob{Ref: "j-1", Version: state.Version, Record: state.Record}
	if _, err := jobs.Apply(t.Context(), term, []core.Write{write}); !errors.Is(err, ErrDeposed) {
		t.Fatalf("write under an old term: %v", err)
	}
	if _, err := jobs.Cancel(t.Context(), "j-1", time.Now(), UnderTerm(term)); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("cancellation under an old term: %v", err)
	}
	if err := jobs.Put(t.Context(), term, leadership.RestoredKey, []byte{1}); !errors.Is(err, ErrDeposed) {
		t.Fatalf("put under an old term: %v", err)
	}
	if err := jobs.Delete(t.Context(), term, JobPrefix+"j-1"); !errors.Is(err, ErrDeposed) {
		t.Fatalf("delete under an old term: %v", err)
	}
	if !reflect.DeepEqual(store.items, before) {
		t.Fatalf("the store has changed: %v", store.items)
	}
}

// Apply sends only as many writes as fit one transaction, and returns those that it sent. If it
// returned all, the rest would count as written and be lost.
func TestApplyInParts(t *testing.T) {
	_, jobs, term := setup(t)
	var writes []core.Write
	for i := range 30 {
		spec := pipeline.Spec{Class: strings.Repeat("x", 3000), Tasks: 1}
		writes = append(writes, core.PutJob{Ref: fmt.Sprintf("j-%d", 100+i), Record: pipeline.Record{Spec: spec}})
	}
	applied, err := jobs.Apply(t.Context(), term, writes)
	if err != nil || len(applied.Sent) == 0 || len(applied.Sent) == len(writes) {
		t.Fatalf("sent %d of %d writes, error %v, want some but not all", len(applied.Sent), len(writes), err)
	}
}
