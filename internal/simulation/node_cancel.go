package simulation

import (
	"context"
	"errors"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// recordedCommit is a view of the state service that reads at once, and only records the one transaction that it is
// given, so that the transaction can be sent through the simulated network.
type recordedCommit struct {
	jobstore.Store
	conditions []statestore.Compare
	changes    []statestore.Op
}

// Commit records the transaction, of which nobody knows yet what becomes of it.
func (c *recordedCommit) Commit(
	_ context.Context, conditions []statestore.Compare, changes []statestore.Op,
) (uint64, error) {
	c.conditions, c.changes = conditions, changes
	return 0, statestore.ErrUnknownOutcome
}

// cancel is a node's part in a cancellation, like the daemon's. It calls confirmed once the user may be told. The
// transaction may be lost or late, and its answer may be lost.
func (n *node) cancel(ref string, confirmed func(jobstore.State)) {
	if !n.holdsLease() {
		return // only the leader cancels
	}
	engine := n.engine
	n.step(core.CancelRequested{Ref: ref})
	sent := &recordedCommit{Store: n.storeView()}
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
	var refused error
	n.callOnce(func() {
		revision, refused = n.storeView().Commit(context.Background(), sent.conditions, sent.changes)
	}, func(answered bool) {
		if answered {
			if err = refused; err == nil {
				st.Version = revision
			}
		}
		outcome()
	})
}
