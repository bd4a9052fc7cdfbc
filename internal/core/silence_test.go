package core

import (
	"testing"
	"time"
)

// When a zone was cut off for longer than its workers' lease, all its machines were once released
// seconds before they came back, and new ones had to boot and fetch images. The tasks of
// unresponsive machines continue elsewhere after the lease, but the machines are kept for about as
// long as replacements would take. When they are back, their idle time starts anew.
func TestUnresponsiveMachinesAreKept(t *testing.T) {
	b, c := withStartedTask(t)
	b.heartbeat("m-1", 2, running(c))
	unresponsiveSince := b.now
	lease, kept := b.e.cfg.Lease, b.e.unresponsiveLimit(b.e.machines.get("m-1"))
	for b.now.Sub(unresponsiveSince) < lease+5*time.Second {
		b.now = b.now.Add(time.Second)
		if eff := b.e.Step(b.now, Tick{}); len(eff.ScaleIn) > 0 {
			t.Fatalf("released after %s", b.now.Sub(unresponsiveSince))
		}
	}
	if n := b.e.machines.get("m-1").ActiveAttempts(); n != 0 {
		t.Fatalf("%d tasks still counted on the machine after the lease", n)
	}
	seq := b.sequences["m-1"] + 1
	if r := b.heartbeatOf("m-1", 2, 2, seq); !r.OK {
		t.Fatal("a machine that is back is refused")
	}
	for range 3 {
		b.now = b.now.Add(time.Second)
		if eff := b.e.Step(b.now, Tick{}); len(eff.ScaleIn) > 0 {
			t.Fatal("released as idle as soon as it was back")
		}
	}
	again := b.now
	for b.now.Sub(again) < kept+10*time.Second {
		b.now = b.now.Add(time.Second)
		if eff := b.e.Step(b.now, Tick{}); len(eff.ScaleIn) > 0 {
			return
		}
	}
	t.Fatal("a machine that stays unresponsive is kept forever")
}

// No record names a machine that was up and idle under the last leader, and the cloud's list may
// arrive before its first heartbeat to the new leader. Such machines were once released as if their
// boot had failed: six at one takeover during an incident.
func TestIdleMachineOutlivesItsLeader(t *testing.T) {
	b := newHarness(t, 2, Snapshot{})
	up := Instance{Name: "m-1", Addr: "m-1", Type: "big", Zone: "a", Status: InstanceRunning, Age: 10 * time.Minute}
	b.e.Step(b.now, InstancesListed{Instances: []Instance{up}})
	began, kept := b.now, b.e.unresponsiveLimit(b.e.machines.get("m-1"))
	for b.now.Sub(began) < kept {
		b.now = b.now.Add(time.Second)
		if eff := b.e.Step(b.now, Tick{}); len(eff.ScaleIn) > 0 {
			t.Fatalf("released %s after the new leader's claim", b.now.Sub(began))
		}
	}
	for b.now.Sub(began) < kept+5*time.Second {
		b.now = b.now.Add(time.Second)
		if eff := b.e.Step(b.now, Tick{}); len(eff.ScaleIn) > 0 {
			return
		}
	}
	t.Fatal("a machine that never sends a heartbeat is kept forever")
}
