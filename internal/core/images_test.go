package core

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gingertally/internal/core/fleet"
)

// imageJob returns an array whose image takes 20 s to fetch, submitted so long ago.
func imageJob(b *harness, ref, image string, tasks int, age time.Duration) JobStored {
	j := job(ref, tasks)
	j.Record.Spec.Image, j.Record.Spec.ImageGB, j.Record.Spec.Estimate = image, 20, 20*time.Second
	j.Record.SubmittedMS = b.now.Add(-age).UnixMilli()
	return JobStored{j}
}

// A nearly late job could take places on machines that had the image of other jobs. On bad days
// more than half of the places were fetching then, and nearly all jobs were late. Jobs whose image
// is on the machine go first.
func TestPlacesGoToWorkWithItsImageThere(t *testing.T) {
	cfg := testConfig()
	cfg.Objectives = map[string][]Objective{"c": {{Kind: FinishObjective, Within: time.Minute}}}
	b := newHarnessWith(t, cfg, 2, Snapshot{})
	b.e.Step(b.now, imageJob(b, "j-1", "x", 8, 0))
	b.up("m-1")
	b.pass(6*time.Second, true)
	first := starts(b.heartbeat("m-1", 2))
	if len(first) != 8 {
		t.Fatalf("%d starts", len(first))
	}
	var tasks, done []fleet.TaskStatus
	for _, c := range first {
		tasks = append(tasks, running(c))
		done = append(done, exited(c, fleet.CauseDone))
	}
	b.heartbeat("m-1", 2, tasks...)
	b.e.Step(b.now, imageJob(b, "j-2", "y", 8, 25*time.Second)) // nearly late
	b.e.Step(b.now, imageJob(b, "j-3", "x", 8, 0))
	b.pass(time.Second, true)
	b.heartbeat("m-1", 2, done...)
	b.pass(2*time.Second, true)
	s := starts(b.heartbeat("m-1", 2, done...))
	for _, c := range s {
		if c.Ref != "j-3" {
			t.Fatalf("%s starts on a machine that has the image of j-3", c.Ref)
		}
	}
	if len(s) != 8 {
		t.Fatalf("%d starts", len(s))
	}
}

// Of arrays whose image is on no machine, each first gets as many places as it needs to be in time.
// Otherwise the first in the order takes all places, each with a fetch.
func TestFirstWavesBeforeTheRest(t *testing.T) {
	cfg := testConfig()
	cfg.Objectives = map[string][]Objective{"c": {{Kind: FinishObjective, Within: 140 * time.Second}}}
	b := newHarnessWith(t, cfg, 2, Snapshot{})
	b.e.Step(b.now, imageJob(b, "j-1", "x", 16, time.Second))
	b.e.Step(b.now, imageJob(b, "j-2", "y", 16, 0))
	b.up("m-1")
	b.pass(6*time.Second, true)
	began := map[string]int{}
	for _, c := range starts(b.heartbeat("m-1", 2)) {
		began[c.Ref]++
	}
	if began["j-1"] == 0 || began["j-2"] == 0 || began["j-1"]+began["j-2"] != 8 {
		t.Fatalf("starts: %v", began)
	}
}

// A machine gives a fetch up when no task waits for it. If the image counted as fetched all the
// same, the next task placed for it would wait for a whole fetch.
func TestFetchGivenUpIsForgotten(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	b.e.Step(b.now, imageJob(b, "j-1", "x", 1, 0))
	b.up("m-1")
	b.pass(6*time.Second, true)
	c := starts(b.heartbeat("m-1", 2))[0]
	at := fleet.TaskStatus{Ref: c.Ref, Task: c.Task, Attempt: c.Attempt, State: fleet.Fetching}
	b.heartbeat("m-1", 2, at)
	b.now = b.now.Add(19 * time.Second)
	m := b.e.machines.get("m-1")
	if left := m.FetchLeft(b.now, "x", 20, 1); left > 2*time.Second {
		t.Fatalf("%s left of a fetch of 20 s after 19 s", left)
	}
	at.State, at.Cause = fleet.Exited, fleet.CauseStopped
	b.heartbeat("m-1", 2, at)
	if left := m.FetchLeft(b.now.Add(time.Minute), "x", 20, 1); left < 20*time.Second {
		t.Fatalf("%s left of a fetch that was given up", left)
	}
}

// A new leader that knew of no images had them all fetched again, which took 40 s in one fleet. It
// must learn them from running tasks and from the image log, which forgets machines that are gone.
func TestImagesOutliveTheLeader(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	b.e.Step(b.now, imageJob(b, "j-1", "x", 1, 0))
	b.up("m-1")
	b.pass(6*time.Second, true)
	c := starts(b.heartbeat("m-1", 2))[0]
	b.heartbeat("m-1", 2, running(c))
	var logged []StoredImages
	for end := b.now.Add(time.Minute); b.now.Before(end); {
		b.now = b.now.Add(time.Second)
		b.heartbeat("m-1", 2, running(c))
		batch := b.e.Batch(b.now, 10)
		b.e.Step(b.now, WritesStarted{batch})
		for _, w := range batch {
			if w, ok := w.(PutImagePage); ok {
				logged = []StoredImages{{w.Name, w.Record}}
			}
		}
		b.e.Step(b.now, WritesFinished{Batch: batch, OK: true, Revision: 100})
	}
	if len(logged) == 0 {
		t.Fatal("the image log isn't written")
	}

	next := newHarness(t, 3, Snapshot{Images: logged})
	next.up("m-1")
	if left := next.e.machines.get("m-1").FetchLeft(next.now, "x", 20, 1); left != 0 {
		t.Errorf("by the image log, %s left of a fetch that is over", left)
	}
	next.e.Step(next.now, ScaleInAnswered{Machines: []string{"m-1"}, OK: true})
	next.now = next.now.Add(time.Minute)
	if batch := next.e.Batch(next.now, 10); len(batch) != 1 || batch[0] != Write(DeleteImagePage{Name: logged[0].Name}) {
		t.Errorf("the only machine of a page is gone: %+v", batch)
	}

	j := imageJob(b, "j-1", "x", 1, 0).Job
	other := newHarness(t, 3, Snapshot{Jobs: []StoredJob{j}, Pages: []StoredPage{page("2-1", "m-1", c.Attempt)}})
	other.heartbeat("m-1", 2, running(c))
	if left := other.e.machines.get("m-1").FetchLeft(other.now, "x", 20, 1); left != 0 {
		t.Errorf("by a task that runs, %s left of a fetch that is over", left)
	}
}

// A page of the image log must fit a value of the state service, which counts its JSON form. One
// that doesn't would hold up the starts written with it.
func TestImageRecordFits(t *testing.T) {
	has := map[string][]fleet.Image{}
	for m := range 100 {
		name := fmt.Sprintf("m-%06d", m)
		for i := range 40 {
			has[name] = append(has[name], fleet.Image{Name: fmt.Sprintf("registry/image-%04d", m*7+i), GB: 12.345})
		}
	}
	for _, most := range []int{1000, 4000, 16000} {
		r := fleet.RecordImages(has, most)
		var form struct {
			Images   [][2]any `json:"i"`
			Machines [][2]any `json:"m"`
		}
		for _, i := range r.Images {
			form.Images = append(form.Images, [2]any{i.Name, i.GB})
		}
		for _, m := range r.Machines {
			form.Machines = append(form.Machines, [2]any{m.Machine, m.Images})
		}
		text, err := json.Marshal(form)
		if err != nil || len(text) > most {
			t.Errorf("%d bytes where %d are allowed, %v", len(text), most, err)
		}
	}
	if r := fleet.RecordImages(has, 16000); len(r.Machines) < 5 {
		t.Errorf("only %d machines in 16,000 bytes", len(r.Machines))
	}
}

// Jobs that arrive just after the first heartbeats of an idle fleet would wait a whole heartbeat
// interval for the next ones. So a new leader holds its responses to empty machines for a moment,
// but not for long, and not when it falls behind.
func TestNewLeaderHoldsAnswers(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	// The worker served the previous leader, and has its fencing token: no worker has this term's
	// before the first response.
	b.listInstances("m-1")
	r := heartbeatFrom("m-1", 1, 1)
	b.e.Step(b.now, Tick{})
	if eff := b.e.Step(b.now, HeartbeatReceived{r}); !eff.Response.Hold {
		t.Fatal("answered before anything can have been placed")
	}
	b.e.Step(b.now, imageJob(b, "j-1", "x", 1, 0))
	reported := b.now
	for {
		b.pass(200*time.Millisecond, true)
		eff := b.e.Step(b.now, HeldResponseDue{r})
		if s := starts(*eff.Response); len(s) == 1 {
			break
		}
		if !eff.Response.Hold || b.now.Sub(reported) > 3*time.Second {
			t.Fatalf("answered after %s without the start", b.now.Sub(reported))
		}
	}

	idle := heartbeatFrom("m-2", 1, 1)
	b = newHarness(t, 2, Snapshot{})
	b.e.Step(b.now, Tick{})
	if eff := b.e.Step(b.now, HeartbeatReceived{idle}); !eff.Response.Hold {
		t.Fatal("an idle machine's answer isn't held")
	}
	reported = b.now
	for b.e.Step(b.now, HeldResponseDue{idle}).Response.Hold {
		if b.pass(200*time.Millisecond, true); b.now.Sub(reported) > maxResponseHold+time.Second {
			t.Fatalf("held for %s; workers wait 4 s", b.now.Sub(reported))
		}
	}
	b = newHarness(t, 2, Snapshot{})
	b.e.Step(b.now, Tick{})
	b.now = b.now.Add(2 * maxTickLag)
	if eff := b.e.Step(b.now, HeartbeatReceived{idle}); eff.Response.Hold || !eff.Response.OK {
		t.Fatal("held by a leader that falls behind, or not answered")
	}
}

// A page of the image log from before values became smaller is split: none of its
// machines is lost to the next leader, nor is one with more images than a page takes.
func TestOverfullImagePageIsSplit(t *testing.T) {
	cfg := testConfig()
	cfg.MaxValueBytes = 600
	has := map[string][]fleet.Image{}
	for i := range 60 {
		name := fmt.Sprintf("m-%02d", i)
		for k := range 3 {
			has[name] = append(has[name], fleet.Image{Name: fmt.Sprintf("img-%d", (i+k)%7), GB: 1})
		}
	}
	for k := range 40 {
		has["m-00"] = append(has["m-00"], fleet.Image{Name: fmt.Sprintf("many-%d", k), GB: 0.1})
	}
	b := newHarnessWith(t, cfg, 3, Snapshot{Images: []StoredImages{{"1-1", fleet.RecordImages(has, 16_000)}}})
	logged := map[string]fleet.ImageRecord{}
	for name := range has {
		b.up(name)
		b.e.images.machineChanged(name)
	}
	for range 120 {
		b.now = b.now.Add(time.Second)
		batch := b.e.Batch(b.now, 10)
		b.e.Step(b.now, WritesStarted{batch})
		for _, w := range batch {
			if w, ok := w.(PutImagePage); ok {
				logged[w.Name] = w.Record
			}
		}
		b.e.Step(b.now, WritesFinished{Batch: batch, OK: true, Revision: 100})
	}
	seen := map[string]bool{}
	for name, r := range logged {
		if size, err := json.Marshal([]any{r.Images, r.Machines}); err != nil || len(size) > cfg.MaxValueBytes {
			t.Errorf("page %s takes %d bytes, %v", name, len(size), err)
		}
		r.Each(func(machine string, images []fleet.Image) { seen[machine] = len(images) > 0 })
	}
	if len(seen) != len(has) || !seen["m-00"] {
		t.Errorf("%d of %d machines are in the log", len(seen), len(has))
	}
}
