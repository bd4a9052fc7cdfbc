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

// A write that the store rejects doesn't hold up the writes in the same batch: it is sent alone.
// Otherwise one value that is too large would keep the leader from writing anything.
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

// rejectingStore rejects all transactions that put one certain key.
type rejectingStore struct{ *memory }

func (r *rejectingStore) Commit(
	ctx context.Context, conditions []statestore.Compare, changes []statestore.Op,
) (uint64, error) {
	for _, change := range changes {
		if change.Key == "i/bad" {
			return 0, statestore.ErrRejected
		}
	}
	return r.memory.Commit(ctx, conditions, changes)
}

// Nothing that a deposed leader writes is carried out, however late it arrives: it would undo
// what its successor has written.
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

// Apply covers as many writes as one transaction takes, and returns which: the rest would be
// lost if it were taken for written.
func TestApplyInParts(t *testing.T) {
	_, jobs, term := setup(t)
	var writes []core.Write
	for i := range 30 {
		spec := pipeline.Spec{Class: strings.Repeat("x", 3000), Tasks: 1}
		writes = append(writes, core.PutJob{Ref: fmt.Sprintf("j-%d", 100+i), Record: pipeline.Record{Spec: spec}})
	}
	applied, err := jobs.Apply(t.Context(), term, writes)
	if err != nil || len(applied.Sent) == 0 || len(applied.Sent) == len(writes) {
		t.Fatalf("%d of %d, %v", len(applied.Sent), len(writes), err)
	}
}
