package simulation

import (
	"context"
	"errors"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// recordedCommit reads at once, and keeps the one transaction that it is given, to be sent.
type recordedCommit struct {
	jobstore.Store
	conditions []statestore.Compare
	changes    []statestore.Op
}

// Commit keeps the transaction; nobody knows yet what becomes of it.
func (c *recordedCommit) Commit(_ context.Context, conditions []statestore.Compare, changes []statestore.Op) (uint64, error) {
	c.conditions, c.changes = conditions, changes
	return 0, statestore.ErrUnknownOutcome
}

// cancel is a node's part in a cancellation, as the daemon's: confirmed hears of one that
// its user may be told of. The transaction may be lost, late, or its answer lost.
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
