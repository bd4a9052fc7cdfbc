package pipeline

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// newJob returns an active job with a spec, all of whose tasks wait.
func newJob(t *testing.T, s Spec) *Job {
	t.Helper()
	j, err := NewJob(Record{Spec: s}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// NewJob rejects a record from which no job can be restored, with an error for each reason. Guards
// against a job without tasks, and against one that is ready before its dependencies are known.
func TestRecordsThatCannotBeRestored(t *testing.T) {
	for _, c := range []struct {
		name   string
		record Record
		want   error
		text   string
	}{
		{"no tasks", Record{Spec: Spec{Ref: "j-1"}}, ErrNoTasks, "job j-1: record without tasks"},
		{"negative tasks", Record{Spec: Spec{Ref: "j-1", Tasks: -1}}, ErrNoTasks, "job j-1: record without tasks"},
		{"dependencies on pages that weren't read", Record{Spec: Spec{Ref: "j-2", Tasks: 1}, DependencyPages: 2},
			ErrNoDependencies, "job j-2: record of a held job without its dependencies"},
	} {
		t.Run(c.name, func(t *testing.T) {
			j, err := NewJob(c.record, 1, nil)
			if j != nil || !errors.Is(err, c.want) || err.Error() != c.text {
				t.Errorf("%v, %v", j, err)
			}
		})
	}
}

// Done ranges that exceed the size limit are truncated to whole pairs of runs, and the tasks left out
// don't count as stored. Guards against values that the state service rejects, and against results
// that only this leader knows but counts as stored.
func TestDoneRangesAreCutToFit(t *testing.T) {
	j := newJob(t, Spec{Ref: "j-1", Tasks: 100})
	for i := 1; i < 100; i += 2 {
		j.Finish(i)
	}
	for maxBytes := range 300 {
		runs := TruncateRuns(j.DoneRuns(0), maxBytes)
		encoded, err := json.Marshal(runs)
		if err != nil {
			t.Fatal(err)
		}
		if len(runs)%2 != 0 || len(runs) > 0 && len(encoded) > maxBytes {
			t.Fatalf("%d runs in %d bytes, limit %d", len(runs), len(encoded), maxBytes)
		}
		j.MarkWriting(0, runs)
		for i := 1; i < 100; i += 2 {
			if j.ResultStored(i) != (i < len(runs)) {
				t.Fatalf("task %d of %d runs: stored %v", i, len(runs), j.ResultStored(i))
			}
		}
		j.MarkDirty(0)
	}
}

// Done ranges survive writing and reading, also for a job of the largest size. Guards against tasks
// that run again after a takeover, and against results that were never reported.
func TestDoneRanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 7, ChunkTasks, ChunkTasks + 1, 100_000} {
		for _, share := range []float64{0, 0.5, 0.9, 1} {
			j := newJob(t, Spec{Ref: "j-1", Tasks: n})
			for i := range n {
				if rng.Float64() < share {
					j.Finish(i)
				}
			}
			checkReadAgain(t, j)
		}
	}
}

// checkReadAgain restores a job from its record and chunks, and compares the two.
func checkReadAgain(t *testing.T, j *Job) {
	t.Helper()
	n := len(j.Tasks)
	chunks := map[int][]int{}
	for c := 0; c*ChunkTasks < n; c++ {
		chunks[c] = j.DoneRuns(c)
		if len(chunks[c]) > ChunkTasks+1 {
			t.Fatalf("chunk of %d runs", len(chunks[c]))
		}
	}
	rec := j.Record(1 << 20)
	delete(chunks, 0)
	k, err := NewJob(rec, 2, chunks)
	if err != nil {
		t.Fatal(err)
	}
	for i := range j.Tasks {
		if j.Tasks[i].State() != k.Tasks[i].State() {
			t.Fatalf("%d tasks: task %d differs", n, i)
		}
	}
	if k.NeedsWrite() || !reflect.DeepEqual(rec.Done, k.Record(1<<20).Done) {
		t.Fatalf("%d tasks: reading changes the record", n)
	}
}

// Of a cancellation and a result, the one that was stored first wins. Guards against telling users of
// an end that the next leader doesn't know of.
func TestCancelAgainstDone(t *testing.T) {
	now := time.Unix(1000, 0)
	j := newJob(t, Spec{Ref: "j-1", Tasks: 1})
	j.Finish(0)
	if !j.CompleteIfDone() || j.Phase() != Done || j.StoredPhase() != Active {
		t.Fatal("a finished job isn't done, or counts as stored before it is written")
	}
	if !j.Cancel(now) || j.StoredPhase() != Cancelled {
		t.Fatal("a stored cancellation lost against an unwritten result")
	}
	k := newJob(t, Spec{Ref: "j-2", Tasks: 1})
	k.Finish(0)
	k.CompleteIfDone()
	k.SetStoredPhase(Done)
	if k.Cancel(now) || k.Phase() != Done {
		t.Fatal("a written result was undone by a cancellation")
	}
}

// All tasks of a gang finish together, and stay finished. Guards against restarting single tasks of a
// gang.
func TestGangFinishesTogether(t *testing.T) {
	j := newJob(t, Spec{Ref: "j-1", Tasks: 3, Shape: Gang})
	j.Assign(1, "m", 5)
	j.Finish(1)
	if !j.CompleteIfDone() || j.Count(Finished) != 3 {
		t.Fatal("one task of a gang is done and the others are not")
	}
	j.Requeue(1)
	if j.Tasks[1].State() != Finished {
		t.Fatal("a result was taken back")
	}
}

// Past the restart limit a task is retried at growing intervals, and its restart count is stored.
// Guards against a task that occupies a machine by failing over and over, and against a task that is
// no longer retried.
func TestRestarts(t *testing.T) {
	now := time.Unix(1000, 0)
	j := newJob(t, Spec{Ref: "j-1", Tasks: 2})
	var last time.Duration
	for n := 1; n <= 12; n++ {
		j.Assign(0, "m", uint64(n))
		j.TaskFailed(now, 0, 3)
		j.Requeue(0)
		wait := j.Tasks[0].NotUntil.Sub(now)
		if n <= 3 && wait > time.Second || n > 3 && wait < last {
			t.Fatalf("restart %d waits %s after %s", n, wait, last)
		}
		last = wait
		if i := j.NextWaiting(now, 0); i != 1 {
			t.Fatalf("restart %d: task %d may start during back-off", n, i)
		}
		if j.NextWaiting(now.Add(wait), 0) != 0 {
			t.Fatalf("restart %d: not retried after its back-off", n)
		}
	}
	k, err := NewJob(j.Record(1<<20), 2, nil)
	if err != nil || k.Tasks[0].Restarts() != 12 {
		t.Fatalf("restarts read from the record: %d, %v", k.Tasks[0].Restarts(), err)
	}
}
