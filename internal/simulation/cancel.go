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
	conds   []statestore.Compare
	changes []statestore.Op
}

// Commit keeps the transaction; nobody knows yet what becomes of it.
func (c *recordedCommit) Commit(_ context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	c.conds, c.changes = conds, changes
	return 0, statestore.ErrUnknownOutcome
}

// cancel is a node's part in a cancellation, as the daemon's: confirmed hears of one that
// its user may be told of. The transaction may be lost, late, or its answer lost.
func (n *node) cancel(ref string, confirmed func(jobstore.State)) {
	if !n.holdsLease() {
		return // only the leader cancels
	}
	eng := n.engine
	n.step(core.CancelRequested{Ref: ref})
	sent := &recordedCommit{Store: n.storeView()}
	st, err := jobstore.New(sent, n.limits()).Cancel(bg, ref, n.local(), jobstore.UnderTerm(n.term))
	outcome := func() {
		if n.engine == eng {
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
	answered := false
	var rev uint64
	var refused error
	n.call(func() {
		rev, refused = n.storeView().Commit(bg, sent.conds, sent.changes)
	}, func() {
		if answered {
			return
		}
		answered = true
		if err = refused; err == nil {
			st.Version = rev
		}
		outcome()
	})
	incarnation := n.incarnation
	n.w.after(callTimeout, func() {
		n.run(incarnation, func() {
			if !answered {
				answered = true
				outcome()
			}
		})
	})
}
