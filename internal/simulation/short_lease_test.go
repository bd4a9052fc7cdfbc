package simulation

import (
	"testing"
)

// TestShortLease plays worlds with a worker lease of 12 s: nodes that are slow or pause, zones that
// are cut off beyond the lease, nodes that refuse each other or that the state service refuses,
// clocks at the bound of their drift, services that are spread over zones, and a team that borrows
// the free quota of the others.
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
