package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
)

// cancelledFinal returns the write by which the final entry of a cancelled job replaces its record.
func cancelledFinal(ref string, version uint64) core.Write {
	return core.PutFinal{Ref: ref, Version: version, Final: pipeline.Final{Phase: pipeline.Cancelled}}
}

// A job may depend on jobs that were accepted, whatever became of them, and on nothing else. A job
// that was accepted is reported as existing even if its dependencies aren't valid: otherwise a
// repeated submission could be rejected.
func TestCheckDependencies(t *testing.T) {
	store, jobs, term := setup(t)
	for ref, shape := range map[string]pipeline.Shape{"j-2": pipeline.Array, "j-3": pipeline.Service} {
		if err := jobs.Create(t.Context(), pipeline.Spec{Ref: ref, Tasks: 1, Shape: shape}, nil, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	state, err := jobs.Load(t.Context(), "j-2")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.Apply(t.Context(), term, []core.Write{cancelledFinal("j-2", state.Version)}); err != nil {
		t.Fatal(err)
	}
	many := []string{"j-1", "j-2", "j-1", "j-1", "j-1", "j-1", "j-1", "j-1", "j-2"}
	for _, c := range []struct {
		name         string
		ref          string
		dependencies []string
		want         error
	}{
		{"none", "j-5", nil, nil},
		{"an active job and one that is over", "j-5", []string{"j-1", "j-2"}, nil},
		{"an unknown job", "j-5", []string{"j-1", "j-4"}, ErrBadDependency},
		{"a service", "j-5", []string{"j-3"}, ErrBadDependency},
		{"the job itself", "j-5", []string{"j-5"}, ErrBadDependency},
		{"an invalid reference", "j-5", []string{"nonsense"}, ErrBadDependency},
		{"an unknown job, for an existing active job", "j-1", []string{"j-4"}, ErrExists},
		{"the job itself, for an existing job that is over", "j-2", []string{"j-2"}, ErrExists},
		{"many", "j-5", many, nil},
		{"many, one unknown", "j-5", append(many[:9:9], "j-4"), ErrBadDependency},
		{"many, one a service", "j-5", append(many[:9:9], "j-3"), ErrBadDependency},
	} {
		uncached := New(store, Limits{ValueBytes: 4000, TxnOps: 2})
		err := uncached.CheckDependencies(t.Context(), c.ref, c.dependencies)
		if !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: %s depending on %v: %v, want %v", c.name, c.ref, c.dependencies, err, c.want)
		}
	}
}

// A job with a cancelled job among its direct or indirect dependencies isn't reported as waiting,
// even before the leader has cancelled it. Once, the state service failed for longer than cancel_s
// right after a user was told of a cancellation. When it was available again, controllers reported
// the jobs that depended on the cancelled one as queued.
func TestDependencyCancelled(t *testing.T) {
	store, jobs, term := setup(t)
	for i, dependencies := range [][]string{{"j-1"}, {"j-2"}, {"j-2", "j-3"}} {
		spec := pipeline.Spec{Ref: fmt.Sprintf("j-%d", i+2), Tasks: 1}
		if err := jobs.Create(t.Context(), spec, dependencies, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Unix(1000, 0)
	asked := New(store, Limits{ValueBytes: 4000, TxnOps: 8, NotCancelledFor: 10 * time.Second})
	cancelled := func(ref string) bool {
		t.Helper()
		state, err := asked.Load(t.Context(), ref)
		if err != nil || !state.Found {
			t.Fatalf("%s: %+v, %v", ref, state, err)
		}
		dependencyCancelled, err := asked.DependencyCancelled(t.Context(), state, now)
		if err != nil {
			t.Fatal(err)
		}
		return dependencyCancelled
	}
	if cancelled("j-1") || cancelled("j-2") || cancelled("j-4") {
		t.Error("a dependency counts as cancelled, but no job is")
	}
	state, err := jobs.Cancel(t.Context(), "j-1", time.Now(), nobodyLeads)
	if err != nil {
		t.Fatal(err)
	}
	checkCancelled := func() {
		t.Helper()
		if cancelled("j-1") || !cancelled("j-2") || !cancelled("j-3") || !cancelled("j-4") {
			t.Error("DependencyCancelled is wrong for a job after j-1 was cancelled")
		}
	}
	if cancelled("j-4") {
		t.Error("dependencies were read again within NotCancelledFor")
	}
	now = now.Add(10 * time.Second)
	checkCancelled()
	now = now.Add(time.Minute)
	if _, err := jobs.Apply(t.Context(), term, []core.Write{cancelledFinal("j-1", state.Version)}); err != nil {
		t.Fatal(err)
	}
	checkCancelled()
}

// failingStore is a store that becomes unavailable after some transactions.
type failingStore struct {
	*memoryStore
	left int // number of transactions that are still carried out
}

func (f *failingStore) Commit(
	ctx context.Context, conditions []statestore.Compare, changes []statestore.Op,
) (uint64, error) {
	if f.left--; f.left < 0 {
		return 0, statestore.ErrUnavailable
	}
	return f.memoryStore.Commit(ctx, conditions, changes)
}

// A job counts as accepted only once all pages of its dependencies are stored, each within the limit
// for a value, and a repeated submission continues where the previous one failed. Otherwise a job
// could start before jobs that it depends on, or a job with a long list could never be submitted
// while the store fails intermittently.
func TestLongListIsTakenWholeOrNotAtAll(t *testing.T) {
	store := &memoryStore{items: map[string]statestore.KeyValue{}}
	limits := Limits{ValueBytes: 1000, TxnOps: 2}
	var refs []string
	for i := range 4000 {
		refs = append(refs, fmt.Sprintf("j-%06d", i))
	}
	tries := 0
	for err := error(statestore.ErrUnavailable); err != nil; tries++ {
		if state, err := New(store, limits).Load(t.Context(), "j-9"); err != nil || state.Found {
			t.Fatalf("found before it was accepted: %+v, %v", state, err)
		}
		err = New(&failingStore{store, 7}, limits).Create(t.Context(), pipeline.Spec{Ref: "j-9", Tasks: 1}, refs, time.Now())
		if err != nil && !errors.Is(err, statestore.ErrUnavailable) || tries > 10 {
			t.Fatalf("attempt %d: %v", tries, err)
		}
	}
	if tries < 2 {
		t.Fatal("the list was stored in a single attempt, so that nothing was tested")
	}
	for key, item := range store.items {
		if size, err := codec.JSONSize(item.Value); err != nil || size > 1024 {
			t.Errorf("%s takes %d bytes, %v", key, size, err)
		}
	}
	snapshot, _, err := New(store, limits).Snapshot(t.Context())
	if err != nil || len(snapshot.Jobs) != 1 || !slices.Equal(snapshot.Jobs[0].Record.Dependencies, refs) {
		t.Fatalf("read back %d jobs, %v", len(snapshot.Jobs), err)
	}
}

// A watch may deliver the record of a job that is over by now, whose pages of dependencies are
// deleted. ReadJob reports this with an error of its own, upon which the job can be loaded instead. A
// leader that kept retrying the record itself would never get to any later change.
func TestLateRecordOfAJobThatIsOver(t *testing.T) {
	store, jobs, term := setup(t)
	lowLimit := New(store, Limits{ValueBytes: 700, TxnOps: 3})
	refs := make([]string, 100)
	for i := range refs {
		refs[i] = fmt.Sprintf("j-%06d", i)
	}
	if err := lowLimit.Create(t.Context(), pipeline.Spec{Ref: "j-9", Tasks: 1}, refs, time.Now()); err != nil {
		t.Fatal(err)
	}
	late := store.items["j/j-9"]
	job, err := jobs.ReadJob(t.Context(), late)
	if err != nil || len(job.Record.Dependencies) != 100 {
		t.Fatalf("%+v, %v", job, err)
	}
	writes := []core.Write{cancelledFinal("j-9", late.ModRevision)}
	for i := range job.Record.DependencyPages {
		writes = append(writes, core.DeleteDependencyPage{Ref: "j-9", ListHash: job.Record.DependencyListHash, Page: i})
	}
	if applied, err := jobs.Apply(t.Context(), term, writes); err != nil || len(applied.Sent) != len(writes) {
		t.Fatal(err)
	}
	_, err = jobs.ReadJob(t.Context(), late)
	var missing *MissingPagesError
	if !errors.As(err, &missing) || errors.Is(err, codec.ErrMalformed) {
		t.Fatalf("reading the late record: %v", err)
	}
	if missing.Ref != "j-9" || missing.Stored != 0 || missing.Want != job.Record.DependencyPages {
		t.Errorf("%+v", missing)
	}
	if state, err := jobs.Load(t.Context(), "j-9"); err != nil || !state.Over {
		t.Fatalf("%+v, %v", state, err)
	}
}
