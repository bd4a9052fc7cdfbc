package jobstore

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core/pipeline"
)

// Every value of a job fits the limit, whichever tasks are finished and however long its texts are.
// A task that was left out to fit the limit doesn't count as stored; otherwise its result would be
// lost in a takeover.
func TestValuesFit(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	for _, limit := range []int{1000, 2000, 4000} {
		for range 40 {
			checkValuesFit(t, randomJob(t, rng), limit)
		}
	}
}

// randomJob returns a job with random texts and numbers, of which random tasks are finished or have
// failed up to two times.
func randomJob(t *testing.T, rng *rand.Rand) *pipeline.Job {
	t.Helper()
	spec := pipeline.Spec{
		Ref: "j-123456", Class: strings.Repeat("c\"", 1+rng.IntN(10)), Team: "tea<m", Image: "i",
		Tasks: 1 + rng.IntN(5000), CPUs: rng.Float64() * 1e7, MemGB: rng.Float64(), ImageGB: rng.Float64(),
		Estimate: time.Duration(rng.Int64N(1e17)), CheckpointTime: time.Duration(rng.Int64N(1e17)),
	}
	job, err := pipeline.NewJob(pipeline.Record{Spec: spec, SubmittedMS: time.Now().UnixMilli()}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range spec.Tasks {
		if rng.IntN(2) == 0 {
			job.Finish(i)
		}
		for range rng.IntN(3) {
			job.TaskFailed(time.Now(), i, 3)
		}
	}
	return job
}

// checkValuesFit encodes a job within a limit, decodes it, and compares which tasks are finished.
func checkValuesFit(t *testing.T, job *pipeline.Job, limit int) {
	t.Helper()
	record := job.Record(limit)
	values := []any{record}
	chunks := map[int][]int{}
	for chunk := 1; chunk*pipeline.ChunkTasks < job.Spec.Tasks; chunk++ {
		chunks[chunk] = pipeline.TruncateRuns(job.DoneRuns(chunk), limit)
		values = append(values, chunks[chunk])
		job.MarkWriting(chunk, chunks[chunk])
	}
	job.MarkWriting(0, record.Done)
	for _, value := range values {
		if size, err := codec.JSONSize(codec.MustMarshal(value)); err != nil || size > limit {
			t.Fatalf("limit %d: a value takes %d bytes, %v", limit, size, err)
		}
	}
	again, err := pipeline.NewJob(record, 2, chunks)
	if err != nil {
		t.Fatal(err)
	}
	for i := range job.Tasks {
		finished := job.Tasks[i].State() == pipeline.Finished
		readAsFinished := again.Tasks[i].State() == pipeline.Finished
		if finished && job.ResultStored(i) && !readAsFinished || readAsFinished && !finished {
			t.Fatalf("limit %d: task %d of %d: finished after decoding is %v, ResultStored is %v",
				limit, i, job.Spec.Tasks, readAsFinished, job.ResultStored(i))
		}
	}
}
