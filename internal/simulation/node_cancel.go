package simulation

import (
	"context"
	"errors"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// commitRecorder is a view of the state service that passes reads through at once but only records
// a transaction, so that the caller can then send it through the simulated network.
type commitRecorder struct {
	jobstore.Store
	conditions []statestore.Compare
	changes    []statestore.Op
}

// Commit records the transaction and returns ErrUnknownOutcome, since it isn't executed yet.
func (c *commitRecorder) Commit(
	_ context.Context, conditions []statestore.Compare, changes []statestore.Op,
) (uint64, error) {
	c.conditions, c.changes = conditions, changes
	return 0, statestore.ErrUnknownOutcome
}

// cancel cancels a job like the real controller does, if this node leads. It calls confirmed once
// the user may be told the job's state. The transaction may be lost or delayed, and its answer may
// be lost.
func (n *node) cancel(ref string, confirmed func(jobstore.State)) {
	if !n.holdsLease() {
		return // only the leader cancels
	}
	engine := n.engine
	n.step(core.CancelRequested{Ref: ref})
	sent := &commitRecorder{Store: n.storeView()}
	st, err := jobstore.New(sent, n.limits()).Cancel(context.Background(), ref, n.local(), jobstore.UnderTerm(n.term))
	outcome := func() {
		if n.engine == engine {
			n.step(jobstore.CancelEvent(ref, st, err))
		}
		if err == nil {
			confirmed(st)
		}
	}
	if !errors.Is(err, statestore.ErrUnknownOutcome) {
		outcome()
		return
	}
	var revision uint64
	var commitErr error
	n.callOnce(func() {
		revision, commitErr = n.storeView().Commit(context.Background(), sent.conditions, sent.changes)
	}, func(answered bool) {
		if answered {
			if err = commitErr; err == nil {
				st.Version = revision
			}
		}
		outcome()
	})
}
