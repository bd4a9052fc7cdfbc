package simulation

import (
	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/statestore"
)

// deliberateDrainFault breaks a rule of drains on purpose, to show that the invariant for that rule
// fails. Each function that is set replaces correct behaviour.
type deliberateDrainFault struct {
	policy func(drain.Policy) drain.Policy                // changes the policy that the controllers use
	stored func(*drain.Stored)                            // changes what a new leader reads of drains
	commit func([]statestore.Op) []statestore.Op          // changes what the state service applies
	batch  func(n *node, batch []core.Write) []core.Write // changes the batch that a leader writes
}

// injectCommitFault returns the changes that the state service applies, altered if a deliberate
// fault asks for it.
func (d *drainOperators) injectCommitFault(changes []statestore.Op) []statestore.Op {
	if d == nil || d.fault.commit == nil {
		return changes
	}
	return d.fault.commit(changes)
}

// injectBatchFault returns the batch that the leader writes, altered if a deliberate fault asks for
// it.
func (n *node) injectBatchFault(batch []core.Write) []core.Write {
	if n.w.drains == nil || n.w.drains.fault.batch == nil {
		return batch
	}
	return n.w.drains.fault.batch(n, batch)
}
