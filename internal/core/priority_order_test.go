package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// A gang that has missed its objective for starting may still meet a later one. Going by that one
// alone, it would wait for room to become free by itself for as long as the objective allows. Past
// its starvation bound it comes before all others, and room is made for it at once.
func TestStarvingGangMakesRoom(t *testing.T) {
	cfg := testConfig()
	cfg.Objectives = map[string][]Objective{"g": {{Kind: FinishObjective, Within: 400 * time.Second}}}
	b := newHarnessWith(t, cfg, 2, Snapshot{})
	low := job("j-1", 16)
	low.Record.Spec.Estimate, low.Record.Spec.Priority = 200*time.Second, pipeline.Normal
	low.Record.Spec.CheckpointInterval, low.Record.Spec.CheckpointTime = 5*time.Second, time.Second
	low.Record.SubmittedMS = b.now.UnixMilli()
	b.e.Step(b.now, JobStored{low})
	machines := []string{"m-1", "m-2"}
	tasks := map[string][]fleet.TaskStatus{}
	for _, m := range machines {
		b.up(m)
	}
	b.pass(6*time.Second, true)
	for _, m := range machines {
		for _, c := range starts(b.heartbeat(m, 2)) {
			tasks[m] = append(tasks[m], running(c))
		}
		if len(tasks[m]) != 8 {
			t.Fatalf("%d starts on %s", len(tasks[m]), m)
		}
	}

	gang := job("j-2", 2)
	gang.Record.Spec.Class, gang.Record.Spec.Shape, gang.Record.Spec.Priority = "g", pipeline.Gang, pipeline.High
	gang.Record.Spec.Estimate, gang.Record.Spec.CPUs = 10*time.Second, 4
	gang.Record.SubmittedMS = b.now.UnixMilli()
	b.e.Step(b.now, JobStored{gang})
	stopped := func() (n int) {
		for _, m := range machines {
			for a := range b.e.machines.get(m).Attempts() {
				if a.Stopping() {
					n++
				}
			}
		}
		return n
	}
	wait := func(d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); b.pass(2*time.Second, true) {
			for _, m := range machines {
				b.heartbeat(m, 2, tasks[m]...)
			}
		}
	}
	if wait(20 * time.Second); stopped() != 0 {
		t.Fatalf("%d tasks stopped while the gang has time", stopped())
	}
	if wait(90 * time.Second); stopped() != 8 {
		t.Fatalf("%d tasks stopped for a gang of two that has waited for long", stopped())
	}
}
