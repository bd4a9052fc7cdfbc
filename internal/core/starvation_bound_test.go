package core

import (
	"testing"
	"time"

	"gingertally/internal/core/pipeline"
)

// An old small job and a later, more urgent one that needs most of the only machine: what the first
// is given must not be taken from it again, round after round, before its start has left. In one
// simulation neither started for ten minutes.
func TestStarvingJobKeepsItsPlace(t *testing.T) {
	old, urgent := job("j-1", 1), job("j-2", 1)
	old.Record.Spec.CPUs, old.Record.Spec.Priority, old.Record.SubmittedMS = 4, pipeline.Normal, 4_700_000
	urgent.Record.Spec.CPUs, urgent.Record.Spec.Priority, urgent.Record.SubmittedMS = 6, pipeline.High, 4_998_000
	old.Record.Spec.Estimate, urgent.Record.Spec.Class = time.Minute, "u"
	cfg := testConfig()
	cfg.Objectives = map[string][]Objective{"u": {{Kind: StartObjective, Within: 30 * time.Second}}}
	b := newHarnessWith(t, cfg, 2, Snapshot{Jobs: []StoredJob{old, urgent}})
	b.up("m-1")
	for range 50 { // the store is slow: nothing can leave yet
		b.now = b.now.Add(200 * time.Millisecond)
		if preempted := b.e.Step(b.now, Tick{}).Preempted; len(preempted) > 0 {
			t.Fatalf("preempted before its start has left: %+v", preempted[0])
		}
	}
	b.pass(time.Second, true)
	s := starts(b.heartbeat("m-1", 2))
	if len(s) != 1 || s[0].Ref != "j-1" {
		t.Fatalf("starts %v, want that of the job that has waited for long", s)
	}
}
