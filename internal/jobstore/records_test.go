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

// A job whose record was written when the limit for a value was higher can still be cancelled, and
// a repeated submission of it is still recognized. Lowering the limit must not make accepted jobs
// unreachable.
func TestLargeRecordsFromBefore(t *testing.T) {
	store := &memoryStore{items: map[string]statestore.KeyValue{}}
	spec := pipeline.Spec{
		Ref: "j-1", Class: strings.Repeat("c", 200), Team: "t", Image: strings.Repeat("i", 200), Tasks: 2000,
	}
	for i := range 20 {
		spec.Types = append(spec.Types, fmt.Sprintf("a-type-with-a-long-name-%d", i))
	}
	if err := New(store, Limits{ValueBytes: 4000, TxnOps: 8}).Create(t.Context(), spec, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	lowLimit := New(store, Limits{ValueBytes: 1000, TxnOps: 2})
	if err := lowLimit.Create(t.Context(), spec, nil, time.Now()); !errors.Is(err, ErrExists) {
		t.Fatalf("repeated submission under the lower limit: %v", err)
	}
	spec.Ref = "j-2"
	if err := lowLimit.Create(t.Context(), spec, nil, time.Now()); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("new submission under the lower limit: %v", err)
	}
	if _, err := lowLimit.Cancel(t.Context(), "j-1", time.Now(), nobodyLeads); err != nil {
		t.Fatal(err)
	}
	if size, err := codec.JSONSize(store.items["j/j-1"].Value); err != nil || size > 1000 {
		t.Fatalf("the cancelled record takes %d bytes, %v", size, err)
	}
}

// A reference belongs to the first job that was accepted with it, even once that job is over. If a
// repeated submission replaced the job, it would run twice.
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
		t.Fatal("an empty list of machine types was read as nil, which allows any type")
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
