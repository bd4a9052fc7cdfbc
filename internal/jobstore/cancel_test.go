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

// unanswered is a store that carries out transactions and whose answers are lost.
type unanswered struct{ *memory }

func (u unanswered) Commit(
	ctx context.Context, conditions []statestore.Compare, changes []statestore.Op,
) (uint64, error) {
	if _, err := u.memory.Commit(ctx, conditions, changes); err != nil {
		return 0, err
	}
	return 0, statestore.ErrUnknownOutcome
}

// The leader's engine learns whether a failed cancellation may have been written, and over which
// version. Otherwise it could go on writing the record of a job that is cancelled, or take a job
// for cancelled that isn't.
func TestCancelUnknownOutcome(t *testing.T) {
	store, jobs, term := setup(t)
	before, _ := jobs.Load(t.Context(), "j-1")
	state, err := New(unanswered{store}, jobs.limits).Cancel(t.Context(), "j-1", time.Now(), UnderTerm(term))
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

// nobodyLeads is a guard that holds while there is no leader.
var nobodyLeads = statestore.Compare{Key: leadership.HolderKey}

// Between a cancellation and a result, the version of the job's record decides: a user who was
// told that a job is cancelled must never see it done. While another controller leads, only that
// one may cancel.
func TestCancelAgainstDone(t *testing.T) {
	store, jobs, term := setup(t)
	state, _ := jobs.Load(t.Context(), "j-1")
	if _, err := jobs.Cancel(t.Context(), "j-1", time.Now(), UnderTerm(term)); err != nil {
		t.Fatal(err)
	}
	final := core.PutFinal{Ref: "j-1", Version: state.Version, Final: pipeline.Final{Phase: pipeline.Done, Tasks: 2}}
	if _, err := jobs.Apply(t.Context(), term, []core.Write{final}); err == nil {
		t.Fatal("a result was written over a cancellation")
	}
	store.items[leadership.HolderKey] = statestore.KeyValue{ModRevision: 7}
	if _, err := jobs.Cancel(t.Context(), "j-1", time.Now(), nobodyLeads); err != nil {
		t.Fatalf("repeating a cancellation: %v", err)
	}
	if err := jobs.Create(t.Context(), pipeline.Spec{Ref: "j-2", Tasks: 1}, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.Cancel(t.Context(), "j-2", time.Now(), nobodyLeads); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("cancellation by a controller that doesn't lead: %v", err)
	}
	if _, err := jobs.Cancel(t.Context(), "j-3", time.Now(), UnderTerm(term)); !errors.Is(err, ErrUnknownJob) {
		t.Fatalf("cancellation of an unknown job: %v", err)
	}
}
