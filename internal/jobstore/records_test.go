package jobstore

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
)

// A job whose record was written when values could be larger can still be cancelled, and a
// repeated submission of it is still answered as known: a lower limit of the store must not make
// accepted jobs unreachable.
func TestLargeRecordsFromBefore(t *testing.T) {
	store := &memory{items: map[string]statestore.KeyValue{}}
	spec := pipeline.Spec{
		Ref: "j-1", Class: strings.Repeat("c", 200), Team: "t", Image: strings.Repeat("i", 200), Tasks: 2000,
	}
	for i := range 20 {
		spec.Types = append(spec.Types, fmt.Sprintf("a-type-with-a-long-name-%d", i))
	}
	if err := New(store, Limits{ValueBytes: 4000, TxnOps: 8}).Create(t.Context(), spec, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	low := New(store, Limits{ValueBytes: 1000, TxnOps: 2})
	if err := low.Create(t.Context(), spec, nil, time.Now()); !errors.Is(err, ErrExists) {
		t.Fatalf("submitted again: %v", err)
	}
	spec.Ref = "j-2"
	if err := low.Create(t.Context(), spec, nil, time.Now()); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("submitted now: %v", err)
	}
	if _, err := low.Cancel(t.Context(), "j-1", time.Now(), nobodyLeads); err != nil {
		t.Fatal(err)
	}
	if size, err := codec.JSONSize(store.items["j/j-1"].Value); err != nil || size > 1000 {
		t.Fatalf("the cancelled record takes %d bytes, %v", size, err)
	}
}

// A reference belongs to the first job that was accepted under it, also once that is over. A
// repeated submission that replaced the job would run it twice.
func TestCreateOnce(t *testing.T) {
	_, jobs, term := setup(t)
	if err := jobs.Create(t.Context(), pipeline.Spec{Ref: "j-1", Tasks: 9}, nil, time.Now()); !errors.Is(err, ErrExists) {
		t.Fatalf("second creation: %v", err)
	}
	state, err := jobs.Load(t.Context(), "j-1")
	if err != nil || !state.Found || state.Record.Spec.Tasks != 2 {
		t.Fatalf("%+v, %v", state, err)
	}
	if state.Record.Spec.Types == nil {
		t.Fatal("a list of no types has become any type")
	}
	final := core.PutFinal{Ref: "j-1", Version: state.Version, Final: pipeline.Final{Phase: pipeline.Done, Tasks: 2}}
	if _, err := jobs.Apply(t.Context(), term, []core.Write{final}); err != nil {
		t.Fatal(err)
	}
	if err := jobs.Create(t.Context(), pipeline.Spec{Ref: "j-1", Tasks: 2}, nil, time.Now()); !errors.Is(err, ErrExists) {
		t.Fatalf("creation of a job that is over: %v", err)
	}
	if state, err := jobs.Load(t.Context(), "j-1"); err != nil || !state.Over || state.Phase != pipeline.Done || state.Done != 2 {
		t.Fatalf("%+v, %v", state, err)
	}
}
