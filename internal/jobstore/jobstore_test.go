package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// memory is a state service in memory.
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

var ctx = context.Background()

func setup(t *testing.T) (*memory, *Jobs, leadership.Term) {
	t.Helper()
	m := &memory{items: map[string]statestore.KeyValue{}}
	rev, err := m.Commit(ctx, nil, []statestore.Op{statestore.Put(leadership.TermKey, codec.MustMarshal(1))})
	if err != nil {
		t.Fatal(err)
	}
	j := New(m, Limits{ValueBytes: 4000, TxnOps: 8})
	if err := j.Create(ctx, pipeline.Spec{Ref: "j-1", Tasks: 2, Types: []string{}}, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	return m, j, leadership.Term{Number: 1, Revision: rev}
}

func TestCreateOnce(t *testing.T) {
	_, j, term := setup(t)
	if err := j.Create(ctx, pipeline.Spec{Ref: "j-1", Tasks: 9}, nil, time.Now()); !errors.Is(err, ErrExists) {
		t.Fatalf("second creation: %v", err)
	}
	st, err := j.Load(ctx, "j-1")
	if err != nil || !st.Found || st.Record.Spec.Tasks != 2 {
		t.Fatalf("%+v, %v", st, err)
	}
	if st.Record.Spec.Types == nil {
		t.Fatal("a list of no types has become any type")
	}
	final := core.PutFinal{Ref: "j-1", Version: st.Version, Final: pipeline.Final{Phase: pipeline.Done, Tasks: 2}}
	if _, _, err := j.Apply(ctx, term, []core.Write{final}); err != nil {
		t.Fatal(err)
	}
	if err := j.Create(ctx, pipeline.Spec{Ref: "j-1", Tasks: 2}, nil, time.Now()); !errors.Is(err, ErrExists) {
		t.Fatalf("creation of a job that is over: %v", err)
	}
	if st, err := j.Load(ctx, "j-1"); err != nil || !st.Over || st.Phase != pipeline.Done || st.Done != 2 {
		t.Fatalf("%+v, %v", st, err)
	}
}

// A deposed leader's write fails, however late it arrives.
func TestDeposedLeaderCannotWrite(t *testing.T) {
	m, j, term := setup(t)
	st, _ := j.Load(ctx, "j-1")
	if _, err := m.Commit(ctx, nil, []statestore.Op{statestore.Put(leadership.TermKey, codec.MustMarshal(2))}); err != nil {
		t.Fatal(err)
	}
	w := core.PutJob{Ref: "j-1", Version: st.Version, Record: st.Record}
	if _, _, err := j.Apply(ctx, term, []core.Write{w}); !errors.Is(err, ErrDeposed) {
		t.Fatalf("error %v", err)
	}
	if _, err := j.Cancel(ctx, "j-1", time.Now(), UnderTerm(term)); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("cancellation under an old term: %v", err)
	}
}

// unanswered is a state service that carries transactions out, and whose answers are lost.
type unanswered struct{ *memory }

func (u unanswered) Commit(ctx context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	if _, err := u.memory.Commit(ctx, conds, changes); err != nil {
		return 0, err
	}
	return 0, statestore.ErrUnknownOutcome
}

// Of a cancellation without an answer the leader hears that its outcome is unknown, and against
// which version; of one that was refused, that it wasn't carried out.
func TestCancelUnknownOutcome(t *testing.T) {
	m, j, term := setup(t)
	before, _ := j.Load(ctx, "j-1")
	st, err := New(unanswered{m}, j.limits).Cancel(ctx, "j-1", time.Now(), UnderTerm(term))
	want := core.CancelUndecided{Ref: "j-1", Unknown: true, Version: before.Version}
	if got := CancelEvent("j-1", st, err); !errors.Is(err, statestore.ErrUnknownOutcome) || got != want {
		t.Fatalf("%+v, %v", got, err)
	}
	if now, _ := j.Load(ctx, "j-1"); now.Phase != pipeline.Cancelled {
		t.Fatalf("%+v", now)
	}
	if got := CancelEvent("j-1", st, ErrNotLeader); got != (core.CancelUndecided{Ref: "j-1", Version: before.Version}) {
		t.Fatalf("%+v", got)
	}
}

// nobodyLeads is a guard that holds while the place is free.
var nobodyLeads = statestore.Compare{Key: leadership.HolderKey}

// Between a cancellation and a result, the version of the one record decides.
func TestCancelAgainstDone(t *testing.T) {
	m, j, term := setup(t)
	st, _ := j.Load(ctx, "j-1")
	if _, err := j.Cancel(ctx, "j-1", time.Now(), UnderTerm(term)); err != nil {
		t.Fatal(err)
	}
	final := core.PutFinal{Ref: "j-1", Version: st.Version, Final: pipeline.Final{Phase: pipeline.Done, Tasks: 2}}
	if _, _, err := j.Apply(ctx, term, []core.Write{final}); err == nil {
		t.Fatal("a result was written over a cancellation")
	}
	m.items[leadership.HolderKey] = statestore.KeyValue{ModRevision: 7}
	if _, err := j.Cancel(ctx, "j-1", time.Now(), nobodyLeads); err != nil {
		t.Fatalf("repeating a cancellation: %v", err)
	}
	if err := j.Create(ctx, pipeline.Spec{Ref: "j-2", Tasks: 1}, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	if _, err := j.Cancel(ctx, "j-2", time.Now(), nobodyLeads); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("cancellation past the leader: %v", err)
	}
	if _, err := j.Cancel(ctx, "j-3", time.Now(), UnderTerm(term)); !errors.Is(err, ErrUnknownJob) {
		t.Fatalf("cancellation of an unknown job: %v", err)
	}
}

// Apply covers as many writes as one transaction takes, and says which.
func TestApplyInParts(t *testing.T) {
	_, j, term := setup(t)
	var writes []core.Write
	for i := range 30 {
		writes = append(writes, core.PutJob{Ref: fmt.Sprintf("j-%d", 100+i), Record: pipeline.Record{Spec: pipeline.Spec{Class: strings.Repeat("x", 3000), Tasks: 1}}})
	}
	sent, _, err := j.Apply(ctx, term, writes)
	if err != nil || len(sent) == 0 || len(sent) == len(writes) {
		t.Fatalf("%d of %d, %v", len(sent), len(writes), err)
	}
}

// What an earlier version left of a machine, one record each, is read as a page
// of the start log and dropped under its own key: a new leader that overlooked it
// would start tasks that are still there.
func TestOldMachineRecords(t *testing.T) {
	m, j, term := setup(t)
	old := map[string]any{"ty": "g8", "zo": "a", "so": true, "ad": "x:1", "e": []any{[]any{"j-1", 3, 77}}}
	rev, err := m.Commit(ctx, nil, []statestore.Op{statestore.Put("m/m-000231", codec.MustMarshal(old))})
	if err != nil {
		t.Fatal(err)
	}
	page := fleet.StartLogRecord{Placed: []fleet.MachineStarts{{Machine: "m-000500", Type: "g8", Zone: "b", Entries: []fleet.StartLogEntry{{Ref: "j-2", Attempt: 5}}}}}
	if _, _, err := j.Apply(ctx, term, []core.Write{core.PutStartLogPage{Name: "2-1", Record: page}}); err != nil {
		t.Fatal(err)
	}
	snap, _, err := j.Snapshot(ctx)
	if err != nil || len(snap.Pages) != 2 {
		t.Fatalf("pages %+v, %v", snap.Pages, err)
	}
	for _, p := range snap.Pages {
		pl := p.Record.Placed[0]
		switch p.Name {
		case "2-1":
			if pl.Machine != "m-000500" || pl.Entries[0].Attempt != 5 {
				t.Errorf("page %+v", p)
			}
		case "m/m-000231":
			if pl.Machine != "m-000231" || pl.Zone != "a" || pl.Entries[0] != (fleet.StartLogEntry{Ref: "j-1", Task: 3, Attempt: 77}) || p.Version != rev {
				t.Errorf("old record %+v", p)
			}
			if _, _, err := j.Apply(ctx, term, []core.Write{core.DeleteStartLogPage{Name: p.Name, Version: p.Version}}); err != nil {
				t.Errorf("drop: %v", err)
			}
		default:
			t.Errorf("page %q", p.Name)
		}
	}
	if _, left := m.items["m/m-000231"]; left {
		t.Error("the old record is still there")
	}
}

// The image log comes back as it was written, and its pages can be dropped.
func TestImageLog(t *testing.T) {
	_, j, term := setup(t)
	rec := fleet.RecordImages(map[string][]fleet.Image{"m-1": {{Name: "a", GB: 2.5}, {Name: "b", GB: 1}}, "m-2": {{Name: "b", GB: 1}}}, 4000)
	if _, _, err := j.Apply(ctx, term, []core.Write{core.PutImagePage{Name: "2-9", Record: rec}}); err != nil {
		t.Fatal(err)
	}
	snap, _, err := j.Snapshot(ctx)
	if err != nil || len(snap.Images) != 1 || snap.Images[0].Name != "2-9" {
		t.Fatalf("%+v, %v", snap.Images, err)
	}
	got := map[string][]fleet.Image{}
	snap.Images[0].Record.Each(func(m string, images []fleet.Image) { got[m] = images })
	if len(got) != 2 || len(got["m-1"]) != 2 || got["m-1"][0] != (fleet.Image{Name: "a", GB: 2.5}) || got["m-2"][0].Name != "b" {
		t.Errorf("%+v", got)
	}
	if _, _, err := j.Apply(ctx, term, []core.Write{core.DeleteImagePage{Name: "2-9"}}); err != nil {
		t.Fatal(err)
	}
	if snap, _, err := j.Snapshot(ctx); err != nil || len(snap.Images) != 0 {
		t.Errorf("after the drop: %+v, %v", snap.Images, err)
	}
}
