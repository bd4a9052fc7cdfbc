package simulation

import (
	"context"
	"time"

	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// storeFaults are what a script does to calls to the state service.
type storeFaults struct {
	storeDelay       time.Duration // calls take up to that much longer, each way
	lostAnswerShare  float64       // share of transactions whose answers are lost
	commitBeforeLoss bool          // such transactions are carried out at once, and not later
}

// randomStoreDelay is how much longer a call to the state service takes one way.
func (s *script) randomStoreDelay() time.Duration {
	if s == nil || s.storeDelay == 0 {
		return 0
	}
	s.count("slow calls")
	return s.between(0, s.storeDelay)
}

// lateWrites loses the answers of a share of the transactions for a while. They are carried out at once or later.
func (s *script) lateWrites(share float64, d time.Duration, atOnce bool) {
	s.lostAnswerShare, s.commitBeforeLoss = share, atOnce
	s.at(d, func() { s.lostAnswerShare = 0 })
}

// nodeView is the state service as a node meets it. It may refuse this node alone, and lose the answers of transactions
// that it carries out at once or later.
type nodeView struct {
	jobstore.Store
	n *node
}

// Get refuses the nodes that the state service refuses.
func (v nodeView) Get(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	if v.n.links.refusedByStore {
		v.n.w.script.count("refused calls")
		return statestore.KeyValue{}, false, statestore.ErrUnavailable
	}
	return v.Store.Get(ctx, key)
}

// List refuses the nodes that the state service refuses.
func (v nodeView) List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	if v.n.links.refusedByStore {
		v.n.w.script.count("refused calls")
		return nil, 0, statestore.ErrUnavailable
	}
	return v.Store.List(ctx, prefix)
}

// Commit refuses the nodes that the state service refuses. It carries a transaction whose answer is lost out at once or
// later, or hands it on.
func (v nodeView) Commit(
	ctx context.Context, conditions []statestore.Compare, changes []statestore.Op,
) (uint64, error) {
	s := v.n.w.script
	if v.n.links.refusedByStore {
		s.count("refused commits")
		return 0, statestore.ErrUnavailable
	}
	delay := v.n.request.commitDelay
	if delay == 0 && (s == nil || s.lostAnswerShare == 0 || v.n.storeRefuses() || !s.chance(s.lostAnswerShare)) {
		return v.Store.Commit(ctx, conditions, changes)
	}
	v.n.request.answerLost = true
	if s.commitBeforeLoss && delay == 0 {
		if _, err := v.Store.Commit(ctx, conditions, changes); err == nil {
			s.count("answers of transactions lost")
		}
		return 0, statestore.ErrUnknownOutcome
	}
	sent := s.w.store.revision
	if delay == 0 {
		delay = s.between(2*time.Second, 12*time.Second)
	}
	s.w.after(delay, func() {
		newer := s.w.store.revision > sent
		if _, err := v.Store.Commit(ctx, conditions, changes); err == nil && newer {
			s.count("late transactions carried out")
		} else if err != nil {
			s.count("late transactions refused")
		}
	})
	return 0, statestore.ErrUnknownOutcome
}
