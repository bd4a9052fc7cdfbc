package simulation

import (
	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/statestore"
)

// deliberateDrainFault breaks a rule of drains, so that tests see its invariant fail. What isn't set works as it
// should.
type deliberateDrainFault struct {
	policy func(drain.Policy) drain.Policy                // that the controllers go by
	stored func(*drain.Stored)                            // that a new leader reads
	commit func([]statestore.Op) []statestore.Op          // that the state service is sent
	batch  func(n *node, batch []core.Write) []core.Write // that a leader writes
}

// spoilCommit applies a deliberate fault to what the state service is sent.
func (d *drainOperators) spoilCommit(changes []statestore.Op) []statestore.Op {
	if d == nil || d.fault.commit == nil {
		return changes
	}
	return d.fault.commit(changes)
}

// spoilBatch applies a deliberate fault to what a leader writes.
func (n *node) spoilBatch(batch []core.Write) []core.Write {
	if n.w.drains == nil || n.w.drains.fault.batch == nil {
		return batch
	}
	return n.w.drains.fault.batch(n, batch)
}
