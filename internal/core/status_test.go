package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/core/placement"
)

// waitReason returns why a job waits according to the status.
func waitReason(t *testing.T, b *harness, ref string) string {
	t.Helper()
	for _, w := range b.e.Status(b.now).Waiting {
		if w.Ref == ref {
			return w.Reason
		}
	}
	return "doesn't wait"
}

// The status gives operators the right reason for each waiting job.
func TestStatusReasons(t *testing.T) {
	limited, failing, large := job("j-1", 9), job("j-2", 1), job("j-3", 1)
	limited.Record.Spec.Team = "small"
	large.Record.Spec.CPUs = 8
	cfg := testConfig()
	cfg.Teams["small"] = placement.Quota{CPULimit: 4}
	b := newHarnessWith(t, cfg, 2, Snapshot{Jobs: []StoredJob{limited, failing, large, jobAfter("j-4", "j-1", "j-9")}})
	if r := waitReason(t, b, "j-1"); r != ReasonTakeover {
		t.Errorf("reason during the takeover: %s", r)
	}
	b.up("m-1")
	b.pass(6*time.Second, true)
	started := starts(b.heartbeat("m-1", 2))
	if r := waitReason(t, b, "j-1"); r != ReasonQuota {
		t.Errorf("reason at the team's limit: %s", r)
	}
	if r := waitReason(t, b, "j-3"); r != ReasonRequested && r != ReasonNoCapacity {
		t.Errorf("reason without free capacity: %s", r)
	}
	for _, c := range started {
		if c.Ref == "j-2" {
			b.heartbeat("m-1", 2, fleet.TaskStatus{Ref: c.Ref, Attempt: c.Attempt, State: fleet.Exited, Cause: fleet.CauseError})
		}
	}
	if r := waitReason(t, b, "j-2"); r != ReasonPause {
		t.Errorf("reason after a failure: %s", r)
	}
	if r := waitReason(t, b, "j-4"); r != "waits for j-1, j-9" {
		t.Errorf("reason of a job with dependencies: %s", r)
	}
	s := b.e.Status(b.now)
	if s.Term != 2 || !s.Settled || s.Active != 4 || len(s.Pools) != 1 || s.Pools[0].States["live"] != 1 {
		t.Errorf("status %+v", s)
	}
	if b.e.jobs.get("j-2").Phase() != pipeline.Active {
		t.Error("a job that failed once is over")
	}
}
