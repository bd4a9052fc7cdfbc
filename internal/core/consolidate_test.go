package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// Consolidation doesn't empty a machine that has all running replicas of a service, since it would
// stop all of them at once. It does empty one with all tasks of an array.
func TestServiceIsNotMovedAsAWhole(t *testing.T) {
	for shape, want := range map[pipeline.Shape]bool{pipeline.Service: false, pipeline.Array: true} {
		if got := emptiedWith(t, shape); got != want {
			t.Errorf("shape %v: the machine was emptied: %v, expected: %v", shape, got, want)
		}
	}
}

// emptiedWith reports whether consolidation empties a machine with two long tasks of a job of a
// shape, once another machine in use has room for them.
func emptiedWith(t *testing.T, shape pipeline.Shape) bool {
	long, filler, other := job("j-1", 2), job("j-2", 1), job("j-3", 1)
	long.Record.Spec.Shape, long.Record.Spec.CheckpointInterval, long.Record.Spec.Estimate = shape, time.Second, time.Hour
	filler.Record.Spec.CPUs, filler.Record.Spec.Estimate = 6, 10*time.Second
	other.Record.Spec.CPUs, other.Record.Spec.Estimate = 4, time.Hour
	b := newHarness(t, 2, Snapshot{Jobs: []StoredJob{long, filler}})
	b.up("m-1")
	b.pass(6*time.Second, true)
	onFirst := startedTasks(b.heartbeat("m-1", 2))
	b.heartbeat("m-1", 2, onFirst...)
	b.up("m-2")
	b.e.Step(b.now, JobStored{Job: other})
	b.pass(6*time.Second, true)
	onSecond := startedTasks(b.heartbeat("m-2", 2))
	if len(onFirst) != 3 || len(onSecond) != 1 {
		t.Fatalf("unexpected placement: %v and %v", onFirst, onSecond)
	}
	for i := range onFirst {
		if onFirst[i].Ref == "j-2" {
			onFirst[i].State, onFirst[i].Cause = fleet.Exited, fleet.CauseDone
		}
	}
	emptied := false
	for range 200 {
		b.heartbeat("m-1", 2, onFirst...)
		b.heartbeat("m-2", 2, onSecond...)
		for range 15 {
			b.now = b.now.Add(200 * time.Millisecond)
			for _, line := range b.e.Step(b.now, Tick{}).Log {
				emptied = emptied || line.Event == LogConsolidationStarted && line.Attrs[0].Value.String() == "m-1"
			}
		}
	}
	return emptied
}
