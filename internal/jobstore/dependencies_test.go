package jobstore

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
)

// A job may wait for jobs that were accepted, whatever became of them, and for
// nothing else; a job that is known was accepted with the list it had then.
func TestCheckDependencies(t *testing.T) {
	m, j, term := setup(t)
	for ref, shape := range map[string]pipeline.Shape{"j-2": pipeline.Array, "j-3": pipeline.Service} {
		if err := j.Create(ctx, pipeline.Spec{Ref: ref, Tasks: 1, Shape: shape}, nil, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	st, err := j.Load(ctx, "j-2")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := j.Apply(ctx, term, []core.Write{core.PutFinal{Ref: "j-2", Version: st.Version, Final: pipeline.Final{Phase: pipeline.Cancelled}}}); err != nil {
		t.Fatal(err)
	}
	many := []string{"j-1", "j-2", "j-1", "j-1", "j-1", "j-1", "j-1", "j-1", "j-2"}
	for _, c := range []struct {
		ref    string
		awaits []string
		want   error
	}{
		{"j-5", nil, nil},
		{"j-5", []string{"j-1", "j-2"}, nil},
		{"j-5", []string{"j-1", "j-4"}, ErrBadDependency},
		{"j-5", []string{"j-3"}, ErrBadDependency},
		{"j-5", []string{"j-5"}, ErrBadDependency},
		{"j-5", []string{"nonsense"}, ErrBadDependency},
		{"j-1", []string{"j-4"}, ErrExists},
		{"j-2", []string{"j-2"}, ErrExists},
		{"j-5", many, nil},
		{"j-5", append(many[:9:9], "j-4"), ErrBadDependency},
		{"j-5", append(many[:9:9], "j-3"), ErrBadDependency},
	} {
		fresh := New(m, Limits{ValueBytes: 4000, TxnOps: 2}) // knows nothing yet
		if err := fresh.CheckDependencies(ctx, c.ref, c.awaits); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s after %v: %v, want %v", c.ref, c.awaits, err, c.want)
		}
	}
}

// A job whose line begins with a cancelled one isn't said to wait, though nobody has
// cancelled it yet. The state service once failed for longer than cancel_s right after
// a user was told of a cancellation; when it was back, nodes told those after it that
// they were queued.
func TestDependencyCancelled(t *testing.T) {
	m, j, term := setup(t)
	for i, awaits := range [][]string{{"j-1"}, {"j-2"}, {"j-2", "j-3"}} {
		if err := j.Create(ctx, pipeline.Spec{Ref: fmt.Sprintf("j-%d", i+2), Tasks: 1}, awaits, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Unix(1000, 0)
	asked := New(m, Limits{ValueBytes: 4000, TxnOps: 8, NotCancelledFor: 10 * time.Second})
	cancelled := func(ref string) bool {
		t.Helper()
		st, err := asked.Load(ctx, ref)
		if err != nil || !st.Found {
			t.Fatalf("%s: %+v, %v", ref, st, err)
		}
		is, err := asked.DependencyCancelled(ctx, st, now)
		if err != nil {
			t.Fatal(err)
		}
		return is
	}
	if cancelled("j-1") || cancelled("j-2") || cancelled("j-4") {
		t.Error("to be cancelled with nothing cancelled")
	}
	st, err := j.Cancel(ctx, "j-1", time.Now(), nobodyLeads)
	if err != nil {
		t.Fatal(err)
	}
	check := func() {
		t.Helper()
		if cancelled("j-1") || !cancelled("j-2") || !cancelled("j-3") || !cancelled("j-4") {
			t.Error("said to wait behind a cancelled job")
		}
	}
	if cancelled("j-4") {
		t.Error("looked up again within the time for which it counts")
	}
	now = now.Add(10 * time.Second)
	check()
	now = now.Add(time.Minute)
	if _, _, err := j.Apply(ctx, term, []core.Write{core.PutFinal{Ref: "j-1", Version: st.Version, Final: pipeline.Final{Phase: pipeline.Cancelled}}}); err != nil {
		t.Fatal(err)
	}
	check()
}

// failing lets some writes through and fails the rest.
type failing struct {
	*memory
	left int
}

func (f *failing) Commit(c context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	if f.left--; f.left < 0 {
		return 0, statestore.ErrUnavailable
	}
	return f.memory.Commit(c, conds, changes)
}

// A list of any length is taken whole or not at all: a job counts as accepted only
// once all its pages are stored, each within the limit, and a retry goes on where
// the last try stopped.
func TestLongListIsTakenWholeOrNotAtAll(t *testing.T) {
	m := &memory{items: map[string]statestore.KeyValue{}}
	limits := Limits{ValueBytes: 1000, TxnOps: 2}
	var refs []string
	for i := range 4000 {
		refs = append(refs, fmt.Sprintf("j-%06d", i))
	}
	tries := 0
	for err := error(statestore.ErrUnavailable); err != nil; tries++ {
		if st, err := New(m, limits).Load(ctx, "j-9"); err != nil || st.Found {
			t.Fatalf("half accepted: %+v, %v", st, err)
		}
		err = New(&failing{m, 7}, limits).Create(ctx, pipeline.Spec{Ref: "j-9", Tasks: 1}, refs, time.Now())
		if err != nil && !errors.Is(err, statestore.ErrUnavailable) || tries > 10 {
			t.Fatalf("try %d: %v", tries, err)
		}
	}
	if tries < 2 {
		t.Fatal("the list fits one try: nothing was tested")
	}
	for k, it := range m.items {
		if n, err := codec.JSONSize(it.Value); err != nil || n > 1024 {
			t.Errorf("%s takes %d bytes, %v", k, n, err)
		}
	}
	snap, _, err := New(m, limits).Snapshot(ctx)
	if err != nil || len(snap.Jobs) != 1 || !slices.Equal(snap.Jobs[0].Record.Dependencies, refs) {
		t.Fatalf("read back %d jobs, %v", len(snap.Jobs), err)
	}
}

// A record that a watch brings late can't be completed once its job is over and the
// pages of its list are dropped: what the store now holds says so. Reading the record
// again and again once would have kept a leader from all later news.
func TestLateRecordOfAJobThatIsOver(t *testing.T) {
	m, j, term := setup(t)
	low := New(m, Limits{ValueBytes: 700, TxnOps: 3})
	refs := make([]string, 100)
	for i := range refs {
		refs[i] = fmt.Sprintf("j-%06d", i)
	}
	if err := low.Create(ctx, pipeline.Spec{Ref: "j-9", Tasks: 1}, refs, time.Now()); err != nil {
		t.Fatal(err)
	}
	late := m.items["j/j-9"]
	s, err := j.ReadJob(ctx, late)
	if err != nil || len(s.Record.Dependencies) != 100 {
		t.Fatalf("%+v, %v", s, err)
	}
	writes := []core.Write{core.PutFinal{Ref: "j-9", Version: late.ModRevision, Final: pipeline.Final{Phase: pipeline.Cancelled}}}
	for i := range s.Record.DependencyPages {
		writes = append(writes, core.DeleteDependencyPage{Ref: "j-9", ListSum: s.Record.DependencyListSum, Page: i})
	}
	if sent, _, err := j.Apply(ctx, term, writes); err != nil || len(sent) != len(writes) {
		t.Fatal(err)
	}
	if _, err := j.ReadJob(ctx, late); err == nil || errors.Is(err, codec.ErrMalformed) {
		t.Fatalf("the late record is complete: %v", err)
	}
	if st, err := j.Load(ctx, "j-9"); err != nil || !st.Over {
		t.Fatalf("%+v, %v", st, err)
	}
}

// A job whose record was written when values could be larger can still be
// cancelled, and is still known when it is submitted again.
func TestLargeRecordsFromBefore(t *testing.T) {
	m := &memory{items: map[string]statestore.KeyValue{}}
	spec := pipeline.Spec{Ref: "j-1", Class: strings.Repeat("c", 200), Team: "t", Image: strings.Repeat("i", 200), Tasks: 2000}
	for i := range 20 {
		spec.Types = append(spec.Types, fmt.Sprintf("a-type-with-a-long-name-%d", i))
	}
	if err := New(m, Limits{ValueBytes: 4000, TxnOps: 8}).Create(ctx, spec, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	low := New(m, Limits{ValueBytes: 1000, TxnOps: 2})
	if err := low.Create(ctx, spec, nil, time.Now()); !errors.Is(err, ErrExists) {
		t.Fatalf("submitted again: %v", err)
	}
	spec.Ref = "j-2"
	if err := low.Create(ctx, spec, nil, time.Now()); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("submitted now: %v", err)
	}
	if _, err := low.Cancel(ctx, "j-1", time.Now(), nobodyLeads); err != nil {
		t.Fatal(err)
	}
	if n, err := codec.JSONSize(m.items["j/j-1"].Value); err != nil || n > 1000 {
		t.Fatalf("the cancelled record takes %d bytes, %v", n, err)
	}
}

// One write that the store refuses doesn't stop those that go with it.
func TestRefusedWriteIsSentAlone(t *testing.T) {
	m, j, term := setup(t)
	r := &refusing{m}
	batch := []core.Write{core.PutImagePage{Name: "bad"}, core.PutImagePage{Name: "good"}}
	sent, _, err := New(r, j.limits).Apply(ctx, term, batch)
	if !errors.Is(err, statestore.ErrRejected) || len(sent) != 1 || sent[0].Target() != "bad" {
		t.Fatalf("sent %v, %v", sent, err)
	}
	if sent, _, err = New(r, j.limits).Apply(ctx, term, batch[1:]); err != nil || len(sent) != 1 {
		t.Fatalf("sent %v, %v", sent, err)
	}
}

type refusing struct{ *memory }

func (r *refusing) Commit(c context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	for _, ch := range changes {
		if ch.Key == "i/bad" {
			return 0, statestore.ErrRejected
		}
	}
	return r.memory.Commit(c, conds, changes)
}

// Records as the version in production wrote them (production.go.txt says how they
// were made) are read as they were meant, and what is written for jobs that wait
// for nothing is what that version writes, to the byte.
func TestRecordsOfTheVersionInProduction(t *testing.T) {
	m := &memory{items: map[string]statestore.KeyValue{}}
	for _, line := range productionLines(t) {
		key, v, _ := strings.Cut(line, " ")
		b, err := hex.DecodeString(v)
		if err != nil {
			t.Fatal(err)
		}
		m.items[key] = statestore.KeyValue{Key: key, Value: b, ModRevision: 7}
	}
	j := New(m, Limits{ValueBytes: 4000, TxnOps: 8})
	snap, _, err := j.Snapshot(ctx)
	if err != nil || len(snap.Jobs) != 2 || len(snap.Pages) != 2 || len(snap.Images) != 1 {
		t.Fatalf("%+v, %v", snap, err)
	}
	for _, s := range snap.Jobs {
		if s.Record.Held() {
			t.Errorf("%s waits", s.Record.Spec.Ref)
		}
		job, err := pipeline.NewJob(s.Record, s.Version, s.Chunks)
		if err != nil {
			t.Fatal(err)
		}
		if back := codec.MustMarshal(job.Record(4000)); !slices.Equal(back, m.items["j/"+job.Ref].Value) {
			t.Errorf("%s is written back as %x", job.Ref, back)
		}
	}
	for ref, want := range map[string]pipeline.Phase{"j-000003": pipeline.Done, "j-000004": pipeline.Cancelled} {
		st, err := j.Load(ctx, ref)
		if err != nil || !st.Over || st.Phase != want {
			t.Errorf("%s: %+v, %v", ref, st, err)
		}
		if back := codec.MustMarshal(st.Final); !slices.Equal(back, m.items["f/"+ref].Value) {
			t.Errorf("%s is written as %x", ref, back)
		}
	}
}

func productionLines(t *testing.T) []string {
	t.Helper()
	b, err := os.ReadFile("testdata/production.txt")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(b)), "\n")
}
