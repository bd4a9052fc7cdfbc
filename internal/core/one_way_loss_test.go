package core

import (
	"testing"
	"time"

	"gingertally/internal/core/fleet"
)

// hearNothing has a machine with a task that was told to stop report as if it hadn't been.
func hearNothing(t *testing.T) (*bench, fleet.TaskReport) {
	t.Helper()
	b, c := started(t)
	b.report("m-1", 2, running(c))
	b.e.Step(b.now, CancelAsked{Ref: c.Ref})
	b.report("m-1", 2, running(c)) // answered with the stop
	return b, running(c)
}

// Reports that a cut has held back come together, and none of them can show what the first
// was answered with. 27 machines of a zone were once released for that.
func TestReportsDeliveredTogether(t *testing.T) {
	b, task := hearNothing(t)
	for range 4 {
		b.report("m-1", 2, task)
	}
	if n := b.e.machines["m-1"].OneWayLoss.Undelivered; n > 1 {
		t.Fatalf("%d answers counted as undelivered within a moment", n)
	}
}

// A leader that computes several times slower answers too late, and workers drop what comes
// late: up to 117 healthy machines were once released as hearing nothing.
func TestSlowLeaderReleasesNone(t *testing.T) {
	b, task := hearNothing(t)
	for range 10 {
		b.now = b.now.Add(2 * time.Second) // the next tick is as late
		b.e.Step(b.now, Tick{})
		b.report("m-1", 2, task)
	}
	if n := b.e.machines["m-1"].OneWayLoss.Undelivered; n > 0 {
		t.Fatalf("%d answers counted as undelivered by a leader that is slow itself", n)
	}
}
