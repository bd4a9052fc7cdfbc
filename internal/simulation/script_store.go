package simulation

import (
	"context"
	"time"

	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// storeFaults are the faults that a script injects into calls to the state service.
type storeFaults struct {
	storeDelay       time.Duration // greatest additional delay of a call, in each direction
	lostAnswerShare  float64       // share of transactions whose answers are lost
	commitBeforeLoss bool          // transactions with lost answers are carried out at once, not later
}

// randomStoreDelay is the additional delay of a call to the state service, in one direction.
func (s *script) randomStoreDelay() time.Duration {
	if s == nil || s.storeDelay == 0 {
		return 0
	}
	s.count("slow calls")
	return s.between(0, s.storeDelay)
}

// loseCommitAnswers has the answers of a share of the transactions lost for a while, so that their
// outcome is unknown to the node. The transactions themselves are carried out at once or, without
// atOnce, 2 to 12 seconds later.
func (s *script) loseCommitAnswers(share float64, d time.Duration, atOnce bool) {
	s.lostAnswerShare, s.commitBeforeLoss = share, atOnce
	s.at(d, func() { s.lostAnswerShare = 0 })
}

// nodeView is the state service as one node sees it. It may refuse this node alone, and it may lose
// the answer of a transaction, which it carries out at once or later.
type nodeView struct {
	jobstore.Store
	n *node
}

// Get reads a key. It fails if the state service refuses the node.
func (v nodeView) Get(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	if v.n.links.refusedByStore {
		v.n.w.script.count("refused calls")
		return statestore.KeyValue{}, false, statestore.ErrUnavailable
	}
	return v.Store.Get(ctx, key)
}

// List reads a range. It fails if the state service refuses the node.
func (v nodeView) List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	if v.n.links.refusedByStore {
		v.n.w.script.count("refused calls")
		return nil, 0, statestore.ErrUnavailable
	}
	return v.Store.List(ctx, prefix)
}

// Commit commits a transaction. It fails if the state service refuses the node. If the answer is to
// be lost, or the request takes longer than callTimeout, it returns ErrUnknownOutcome, and the
// transaction is carried out at once or later.
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
	revisionWhenSent := s.w.store.revision
	if delay == 0 {
		delay = s.between(2*time.Second, 12*time.Second)
	}
	s.w.after(delay, func() {
		overtaken := s.w.store.revision > revisionWhenSent
		if _, err := v.Store.Commit(ctx, conditions, changes); err == nil && overtaken {
			s.count("late transactions carried out")
		} else if err != nil {
			s.count("late transactions refused")
		}
	})
	return 0, statestore.ErrUnknownOutcome
}
