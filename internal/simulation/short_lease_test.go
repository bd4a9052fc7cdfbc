package simulation

import (
	"testing"
)

// TestShortLease plays worlds with a lease of 12 s: slow and stalling nodes, zones cut
// off beyond the lease, refusals between nodes and of one node by the state service,
// clocks at the bound of their drift, services spread over zones, and teams that borrow
// from each other.
func TestShortLease(t *testing.T) {
	counts := eventCounts{}
	for seed := range uint64(70) {
		w := NewWorld(shortLeaseOptions(7000 + seed))
		if err := w.Run(); err != nil {
			t.Error(err)
		}
		counts.addAll(w.shortLease.counts)
		counts["tasks on borrowed quota preempted"] += w.checker.ledger.borrowedPreempted
		counts["replicas moved"] += w.checker.replicas.moves
		counts["starts"] += w.Started()
		counts["jobs done"] += w.Done()
	}
	least := eventCounts{
		"starts": 9000, "jobs done": 900, "tasks on borrowed quota preempted": 60, "slow clocks": 400,
		"fast clocks": 400, "replicas moved": 120, "slow nodes": 60, "slow steps": 5000,
		"leaders paused beyond their lease": 35, "zones cut off with the leader": 50,
		"zones cut off without a leader": 70, "refusals between nodes": 60,
		"nodes refused by the state service": 60, "outages": 60,
	}
	counts.requireAtLeast(t, least)
	t.Log(counts)
}
