package jobstore

import (
	"context"
	"errors"
	"testing"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// unansweredStore is a store that carries out transactions, but whose responses are lost.
type unansweredStore struct{ *memoryStore }

func (u unansweredStore) Commit(
	ctx context.Context, conditions []statestore.Compare, changes []statestore.Op,
) (uint64, error) {
	if _, err := u.memoryStore.Commit(ctx, conditions, changes); err != nil {
		return 0, err
	}
	return 0, statestore.ErrUnknownOutcome
}

// If a cancellation fails, the leader's engine learns whether it may have been written, and which
// version of the record it would have replaced. Otherwise the engine could keep writing the record
// of a cancelled job, or treat a job as cancelled that isn't.
func TestCancelUnknownOutcome(t *testing.T) {
	store, jobs, term := setup(t)
	before, _ := jobs.Load(t.Context(), "j-1")
	state, err := New(unansweredStore{store}, jobs.limits).Cancel(t.Context(), "j-1", time.Now(), UnderTerm(term))
	want := core.CancelUndecided{Ref: "j-1", Unknown: true, Version: before.Version}
	if got := CancelEvent("j-1", state, err); !errors.Is(err, statestore.ErrUnknownOutcome) || got != want {
		t.Fatalf("%+v, %v", got, err)
	}
	if now, _ := jobs.Load(t.Context(), "j-1"); now.Phase != pipeline.Cancelled {
		t.Fatalf("%+v", now)
	}
	if got := CancelEvent("j-1", state, ErrNotLeader); got != (core.CancelUndecided{Ref: "j-1", Version: before.Version}) {
		t.Fatalf("%+v", got)
	}
}

// nobodyLeads is a guard that holds while there is no leader: HolderKey doesn't exist.
var nobodyLeads = statestore.Compare{Key: leadership.HolderKey}

// If a job is cancelled and finishes at the same time, only the first write succeeds, since both are
// conditional on the version of the job's record. A user who was told that a job is cancelled must
// never see it done. While another controller leads, only that one may cancel.
func TestCancelAgainstDone(t *testing.T) {
	store, jobs, term := setup(t)
	state, _ := jobs.Load(t.Context(), "j-1")
	if _, err := jobs.Cancel(t.Context(), "j-1", time.Now(), UnderTerm(term)); err != nil {
		t.Fatal(err)
	}
	final := core.PutFinal{Ref: "j-1", Version: state.Version, Final: pipeline.Final{Phase: pipeline.Done, Tasks: 2}}
	if _, err := jobs.Apply(t.Context(), term, []core.Write{final}); err == nil {
		t.Fatal("the final entry of a finished job replaced a cancellation")
	}
	store.items[leadership.HolderKey] = statestore.KeyValue{ModRevision: 7}
	if _, err := jobs.Cancel(t.Context(), "j-1", time.Now(), nobodyLeads); err != nil {
		t.Fatalf("repeated cancellation: %v", err)
	}
	if err := jobs.Create(t.Context(), pipeline.Spec{Ref: "j-2", Tasks: 1}, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.Cancel(t.Context(), "j-2", time.Now(), nobodyLeads); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("cancellation while another controller leads: %v", err)
	}
	if _, err := jobs.Cancel(t.Context(), "j-3", time.Now(), UnderTerm(term)); !errors.Is(err, ErrUnknownJob) {
		t.Fatalf("cancellation of an unknown job: %v", err)
	}
}
