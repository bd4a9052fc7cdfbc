package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
)

// imageJob is an array with an image that takes 20 s to fetch.
func imageJob(b *bench, ref, image string, tasks int, age time.Duration) JobStored {
	j := job(ref, tasks)
	j.Record.Spec.Image, j.Record.Spec.ImageGB, j.Record.Spec.Estimate = image, 20, 20*time.Second
	j.Record.SubmittedMS = b.now.Add(-age).UnixMilli()
	return JobStored{j}
}

// A job that is nearly late once took places of machines that had the image of others:
// on the fleet's rough days more than half of the places were fetching, and
// nearly all jobs were late. Work whose image is there goes first.
func TestPlacesGoToWorkWithItsImageThere(t *testing.T) {
	cfg := config()
	cfg.Aims = map[string][]Aim{"c": {{Kind: AimFinish, Within: time.Minute}}}
	b := newBenchWith(t, cfg, 2, Snapshot{})
	b.e.Step(b.now, imageJob(b, "j-1", "x", 8, 0))
	b.up("m-1")
	b.pass(6*time.Second, true)
	first := starts(b.report("m-1", 2))
	if len(first) != 8 {
		t.Fatalf("%d starts", len(first))
	}
	var tasks, done []fleet.TaskReport
	for _, c := range first {
		tasks = append(tasks, running(c))
		done = append(done, fleet.TaskReport{Ref: c.Ref, Task: c.Task, Attempt: c.Attempt, State: fleet.Exited, Cause: fleet.CauseDone})
	}
	b.report("m-1", 2, tasks...)
	b.e.Step(b.now, imageJob(b, "j-2", "y", 8, 25*time.Second)) // nearly late
	b.e.Step(b.now, imageJob(b, "j-3", "x", 8, 0))
	b.pass(time.Second, true)
	b.report("m-1", 2, done...)
	b.pass(2*time.Second, true)
	s := starts(b.report("m-1", 2, done...))
	for _, c := range s {
		if c.Ref != "j-3" {
			t.Fatalf("%s starts on a machine that has the image of j-3", c.Ref)
		}
	}
	if len(s) != 8 {
		t.Fatalf("%d starts", len(s))
	}
}

// Of arrays without their image anywhere, each first gets so many places as it
// needs to be in time: the first in the order once took all, each with a fetch.
func TestFirstWavesBeforeTheRest(t *testing.T) {
	cfg := config()
	cfg.Aims = map[string][]Aim{"c": {{Kind: AimFinish, Within: 140 * time.Second}}}
	b := newBenchWith(t, cfg, 2, Snapshot{})
	b.e.Step(b.now, imageJob(b, "j-1", "x", 16, time.Second))
	b.e.Step(b.now, imageJob(b, "j-2", "y", 16, 0))
	b.up("m-1")
	b.pass(6*time.Second, true)
	began := map[string]int{}
	for _, c := range starts(b.report("m-1", 2)) {
		began[c.Ref]++
	}
	if began["j-1"] == 0 || began["j-2"] == 0 || began["j-1"]+began["j-2"] != 8 {
		t.Fatalf("starts: %v", began)
	}
}

// A machine gives a fetch up when no task waits for it. The image was once
// believed there, and the next task placed for it waited for a whole fetch.
func TestFetchGivenUpIsForgotten(t *testing.T) {
	b := newBench(t, 2, Snapshot{})
	b.e.Step(b.now, imageJob(b, "j-1", "x", 1, 0))
	b.up("m-1")
	b.pass(6*time.Second, true)
	c := starts(b.report("m-1", 2))[0]
	at := fleet.TaskReport{Ref: c.Ref, Task: c.Task, Attempt: c.Attempt, State: fleet.Fetching}
	b.report("m-1", 2, at)
	b.now = b.now.Add(19 * time.Second)
	m := b.e.machines["m-1"]
	if left := m.FetchLeft(b.now, "x", 20, 1); left > 2*time.Second {
		t.Fatalf("%s left of a fetch of 20 s after 19 s", left)
	}
	at.State, at.Cause = fleet.Exited, fleet.CauseStopped
	b.report("m-1", 2, at)
	if left := m.FetchLeft(b.now.Add(time.Minute), "x", 20, 1); left < 20*time.Second {
		t.Fatalf("%s left of a fetch that was given up", left)
	}
}
