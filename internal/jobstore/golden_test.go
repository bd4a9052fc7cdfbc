package jobstore

import (
	"bytes"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
	"gingertally/internal/goldentest"
)

// leaderWrites returns a write of every kind that puts a value, with every field of the value set.
func leaderWrites() []core.Write {
	return []core.Write{
		core.PutStartLogPage{Name: "7-1", Record: goldentest.Filled[fleet.StartLogRecord]()},
		core.PutJob{Ref: "j-000001", Record: goldentest.Filled[pipeline.Record]()},
		core.PutDoneRanges{Ref: "j-000001", Chunk: 2, Runs: []int{1, 2, 3}},
		core.PutFinal{Ref: "j-000002", Final: goldentest.Filled[pipeline.Final]()},
		core.PutImagePage{Name: "7-2", Record: goldentest.Filled[fleet.ImageRecord]()},
		core.PutChargePage{Name: "7-3", Record: goldentest.Filled[drain.ChargePage]()},
		core.PutDrainMachinePage{Name: "7-4", Record: goldentest.Filled[drain.MachinePage]()},
	}
}

// leaderDeletes returns a write of every kind that only deletes a key.
func leaderDeletes() []core.Write {
	return []core.Write{
		core.DeleteStartLogPage{Name: "7-1"},
		core.DeleteDoneRanges{Ref: "j-000001", Chunk: 2},
		core.DeleteImagePage{Name: "7-2"},
		core.DeleteDependencyPage{Ref: "j-000001", ListHash: "00ff", Page: 1},
		core.DeleteChargePage{Name: "7-3"},
		core.DeleteDrainMachinePage{Name: "7-4"},
	}
}

// The keys and encoded values that the package writes must not change. Otherwise another version
// couldn't read them during an upgrade or after a rollback.
func TestStoredFormsGolden(t *testing.T) {
	store, jobs, term := setup(t)
	clear(store.items)
	term.Revision = putTerm(t, store, 1)
	at := time.UnixMilli(1_800_000_000_123)
	for _, w := range leaderWrites() {
		if _, err := jobs.Apply(t.Context(), term, []core.Write{w}); err != nil {
			t.Fatalf("%+v: %v", w, err)
		}
	}
	long := make([]string, 600)
	for i := range long {
		long[i] = "j-" + strings.Repeat("1", 1+i%30)
	}
	small := pipeline.Spec{Ref: "j-000003", Tasks: 2, Types: []string{}}
	if err := jobs.Create(t.Context(), small, []string{"j-000001"}, at); err != nil {
		t.Fatal(err)
	}
	if err := jobs.Create(t.Context(), pipeline.Spec{Ref: "j-000004", Tasks: 2}, long, at); err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.Cancel(t.Context(), "j-000003", at, UnderTerm(term)); err != nil {
		t.Fatal(err)
	}
	plan := drain.Plan{
		ID: "plan-1", Selector: drain.Selector{Machines: []string{"m-1"}, Zone: "a"},
		MaxAtOnce: 2, Surge: 1, Deadline: time.Hour, KeepCordoned: true,
	}
	if _, err := jobs.CreateDrainPlan(t.Context(), plan, at); err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.ChangeDrainPlan(t.Context(), "plan-1", drain.Paused); err != nil {
		t.Fatal(err)
	}
	var lines goldentest.Lines
	for _, key := range slices.Sorted(maps.Keys(store.items)) {
		lines.Add("%s %x", key, store.items[key].Value)
	}
	for _, w := range leaderDeletes() {
		txn, err := encode(w)
		if err != nil {
			t.Fatal(err)
		}
		lines.Add("delete %s, %d conditions", txn.changes[0].Key, len(txn.conditions))
	}
	lines.Check(t, "stored.txt")
}

// Decoding and encoding a stored record yields the same bytes. Otherwise each update of a record would
// lose the fields that decoding leaves out. Done ranges and dependency pages, which are plain lists,
// aren't covered.
func TestStoredFormsRoundTrip(t *testing.T) {
	for _, value := range []any{
		goldentest.Filled[fleet.StartLogRecord](), goldentest.Filled[pipeline.Record](), goldentest.Filled[pipeline.Final](),
		goldentest.Filled[fleet.ImageRecord](), goldentest.Filled[drain.ChargePage](), goldentest.Filled[drain.MachinePage](),
		goldentest.Filled[drain.Plan](),
	} {
		encoded := codec.MustMarshal(value)
		read := reflect.New(reflect.TypeOf(value))
		if err := codec.Unmarshal(encoded, read.Interface()); err != nil {
			t.Errorf("%T: %v", value, err)
		}
		if again := codec.MustMarshal(read.Interface()); !bytes.Equal(again, encoded) {
			t.Errorf("%T: encoded again as %x, want %x", value, again, encoded)
		}
	}
}
