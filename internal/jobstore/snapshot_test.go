package jobstore

import (
	"encoding/hex"
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/statestore"
)

// Records that were written by the version in production (production.go.txt is the program that
// wrote them) are read correctly, and records of jobs without dependencies are written with the same
// bytes as by that version. Otherwise an upgrade or a rollback would lose jobs.
func TestRecordsOfTheVersionInProduction(t *testing.T) {
	store := &memoryStore{items: map[string]statestore.KeyValue{}}
	for _, line := range productionLines(t) {
		key, v, _ := strings.Cut(line, " ")
		b, err := hex.DecodeString(v)
		if err != nil {
			t.Fatal(err)
		}
		store.items[key] = statestore.KeyValue{Key: key, Value: b, ModRevision: 7}
	}
	jobs := New(store, Limits{ValueBytes: 4000, TxnOps: 8})
	snapshot, _, err := jobs.Snapshot(t.Context())
	if err != nil || len(snapshot.Jobs) != 2 || len(snapshot.Pages) != 2 || len(snapshot.Images) != 1 {
		t.Fatalf("%+v, %v", snapshot, err)
	}
	for _, stored := range snapshot.Jobs {
		if stored.Record.Held() {
			t.Errorf("%s waits for dependencies", stored.Record.Spec.Ref)
		}
		job, err := pipeline.NewJob(stored.Record, stored.Version, stored.Chunks)
		if err != nil {
			t.Fatal(err)
		}
		if back := codec.MustMarshal(job.Record(4000)); !slices.Equal(back, store.items["j/"+job.Ref].Value) {
			t.Errorf("the record of %s is written back as %x", job.Ref, back)
		}
	}
	for ref, want := range map[string]pipeline.Phase{"j-000003": pipeline.Done, "j-000004": pipeline.Cancelled} {
		state, err := jobs.Load(t.Context(), ref)
		if err != nil || !state.Over || state.Phase != want {
			t.Errorf("%s: %+v, %v", ref, state, err)
		}
		if back := codec.MustMarshal(state.Final); !slices.Equal(back, store.items["f/"+ref].Value) {
			t.Errorf("the final entry of %s is written back as %x", ref, back)
		}
	}
}

// productionLines returns the lines of production.txt, each a key and its value in hexadecimal.
func productionLines(t *testing.T) []string {
	t.Helper()
	b, err := os.ReadFile("testdata/production.txt")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(b)), "\n")
}

// Machine records, which earlier versions wrote, are read as pages of the start log and deleted under
// their own keys. If a new leader overlooked them, it would start tasks a second time that still run
// on these machines.
func TestOldMachineRecords(t *testing.T) {
	store, jobs, term := setup(t)
	old := map[string]any{"ty": "g8", "zo": "a", "so": true, "ad": "x:1", "e": []any{[]any{"j-1", 3, 77}}}
	revision, err := store.Commit(t.Context(), nil, []statestore.Op{statestore.Put("m/m-000231", codec.MustMarshal(old))})
	if err != nil {
		t.Fatal(err)
	}
	page := fleet.StartLogRecord{Placed: []fleet.MachineStarts{{
		Machine: "m-000500", Type: "g8", Zone: "b", Entries: []fleet.StartLogEntry{{Ref: "j-2", Attempt: 5}},
	}}}
	if _, err := jobs.Apply(t.Context(), term, []core.Write{core.PutStartLogPage{Name: "2-1", Record: page}}); err != nil {
		t.Fatal(err)
	}
	snapshot, _, err := jobs.Snapshot(t.Context())
	if err != nil || len(snapshot.Pages) != 2 {
		t.Fatalf("pages %+v, %v", snapshot.Pages, err)
	}
	for _, p := range snapshot.Pages {
		placed := p.Record.Placed[0]
		switch p.Name {
		case "2-1":
			if placed.Machine != "m-000500" || placed.Entries[0].Attempt != 5 {
				t.Errorf("page %+v", p)
			}
		case "m/m-000231":
			want := fleet.StartLogEntry{Ref: "j-1", Task: 3, Attempt: 77}
			if placed.Machine != "m-000231" || placed.Zone != "a" || placed.Entries[0] != want || p.Version != revision {
				t.Errorf("old record %+v", p)
			}
			deletion := core.DeleteStartLogPage{Name: p.Name, Version: p.Version}
			if _, err := jobs.Apply(t.Context(), term, []core.Write{deletion}); err != nil {
				t.Errorf("delete: %v", err)
			}
		default:
			t.Errorf("page %q", p.Name)
		}
	}
	if _, left := store.items["m/m-000231"]; left {
		t.Error("the old record is still there")
	}
}

// The image log is read as it was written, and its pages can be deleted. Otherwise tasks would be
// placed by wrong hints, or pages would accumulate in the store.
func TestImageLog(t *testing.T) {
	_, jobs, term := setup(t)
	record := fleet.RecordImages(map[string][]fleet.Image{
		"m-1": {{Name: "a", GB: 2.5}, {Name: "b", GB: 1}},
		"m-2": {{Name: "b", GB: 1}},
	}, 4000)
	if _, err := jobs.Apply(t.Context(), term, []core.Write{core.PutImagePage{Name: "2-9", Record: record}}); err != nil {
		t.Fatal(err)
	}
	snapshot, _, err := jobs.Snapshot(t.Context())
	if err != nil || len(snapshot.Images) != 1 || snapshot.Images[0].Name != "2-9" {
		t.Fatalf("%+v, %v", snapshot.Images, err)
	}
	got := map[string][]fleet.Image{}
	snapshot.Images[0].Record.Each(func(machine string, images []fleet.Image) { got[machine] = images })
	first := fleet.Image{Name: "a", GB: 2.5}
	if len(got) != 2 || len(got["m-1"]) != 2 || got["m-1"][0] != first || got["m-2"][0].Name != "b" {
		t.Errorf("%+v", got)
	}
	if _, err := jobs.Apply(t.Context(), term, []core.Write{core.DeleteImagePage{Name: "2-9"}}); err != nil {
		t.Fatal(err)
	}
	if snapshot, _, err := jobs.Snapshot(t.Context()); err != nil || len(snapshot.Images) != 0 {
		t.Errorf("after the deletion: %+v, %v", snapshot.Images, err)
	}
}

// A value that can't be decoded leads to an error that names its key. If the value were skipped, a
// leader wouldn't know of a job or machine.
func TestMalformedValueIsNamed(t *testing.T) {
	snapshot := func(jobs *Jobs) error { _, _, err := jobs.Snapshot(t.Context()); return err }
	drains := func(jobs *Jobs) error { _, err := jobs.Drains(t.Context()); return err }
	load := func(jobs *Jobs) error { _, err := jobs.Load(t.Context(), "j-1"); return err }
	for _, c := range []struct {
		key  string
		read func(*Jobs) error
	}{
		{"j/j-1", snapshot}, {"d/j-1/00001", snapshot}, {"d/j-1/x", snapshot}, {"d/j-1", snapshot},
		{"s/2-1", snapshot}, {"m/m-1", snapshot}, {"i/2-1", snapshot},
		{"drain/plan/p", drains}, {"drain/cordon/2-1", drains}, {"drain/charge/2-1", drains},
		{"j/j-1", load}, {"f/j-1", load},
	} {
		malformed := statestore.KeyValue{Key: c.key, Value: codec.MustMarshal("text"), ModRevision: 1}
		store := &memoryStore{items: map[string]statestore.KeyValue{c.key: malformed}}
		err := c.read(New(store, Limits{ValueBytes: 4000, TxnOps: 8}))
		if !errors.Is(err, codec.ErrMalformed) || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: %v", c.key, err)
		}
	}
}
