package simulation

import (
	"testing"
	"time"
)

// shortLeases are the options of a world with the settings, jobs and faults of a
// deployment with short leases; half of them have all other troubles too, a fifth
// machines that fall together. The drain leaves time for long tasks that are moved
// late more than once: a simulated task starts from the beginning although it has saved.
func shortLeases(seed uint64) Options {
	return Options{Seed: seed, Length: 150 * time.Second, Drain: 350 * time.Second, Nodes: 3 + 2*int(seed%2), Zones: 3, ShortLease: true,
		Faults: seed%2 == 0, CorrelatedFailures: seed%5 == 0,
		HeartbeatInterval: 1500 * time.Millisecond, Lease: 12 * time.Second, Cancel: 37 * time.Second, LeaseTTL: 3 * time.Second}
}

// TestShortLease plays worlds with a lease of 12 s: slow and stalling nodes, zones cut
// off beyond the lease, refusals between nodes and of one node by the state service,
// clocks at the bound of their drift, services spread over zones, and teams that borrow
// from each other.
func TestShortLease(t *testing.T) {
	notes := map[string]int{}
	for seed := range uint64(70) {
		w := NewWorld(shortLeases(7000 + seed))
		if err := w.Run(); err != nil {
			t.Error(err)
		}
		for what, n := range w.shortLease.notes {
			notes[what] += n
		}
		notes["borrowing taken back"] += w.check.takenBack
		notes["replicas moved"] += w.check.moves
		notes["starts"] += w.Started()
		notes["jobs done"] += w.Done()
	}
	least := map[string]int{"starts": 9000, "jobs done": 900, "borrowing taken back": 60, "slow clocks": 400, "fast clocks": 400,
		"replicas moved": 120, "slow nodes": 60, "slow steps": 5000, "leaders stalled beyond their lease": 35, "zones cut with the leader": 50,
		"zones cut without a leader": 70, "nodes that refuse each other": 60, "nodes refused alone": 60, "outages": 60}
	for what, n := range least {
		if notes[what] < n {
			t.Errorf("%s: %d, at least %d expected", what, notes[what], n)
		}
	}
	t.Log(notes)
}
