package leadership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/statestore"
	"gingertally/internal/wait"
)

// A node that has just resigned, or that no worker reaches, lets others claim first. The
// others learn that nobody leads at the same moment and claim within a tenth of a
// second. After a leader's end its workers reach none of the others for seconds, so a node
// that none reaches mustn't wait for longer than that takes: the leases of all tasks on
// machines that are lost count from the next leader's claim.
const (
	claimDelayAfterResigning    = 2500 * time.Millisecond
	claimDelayWithoutHeartbeats = 500 * time.Millisecond
	claimDelayPoll              = 300 * time.Millisecond // another node may have claimed
	holderRetry                 = 150 * time.Millisecond // the leader's key couldn't be read
	holderRetryJitter           = 150 * time.Millisecond // keeps nodes from trying in step
	watchRetry                  = 200 * time.Millisecond
	revokeRetry                 = 100 * time.Millisecond
	claimPermissionPoll         = 50 * time.Millisecond // this node may not claim yet
	grantRetry                  = 100 * time.Millisecond
	grantRetryJitter            = 100 * time.Millisecond
	claimRetryJitter            = 100 * time.Millisecond
	termEndTimeout              = 2 * time.Second // a term's work is waited for that long at the end of Run
)

// Run follows other leaders, claims and leads, until ctx ends. It then waits for the work of its
// terms to end, but not for long.
func (e *Elector) Run(ctx context.Context) error {
	defer e.awaitTerms()
	var vacantSince time.Time
	for ctx.Err() == nil {
		holder, held, err := e.store.Get(ctx, HolderKey)
		if err != nil {
			e.log.Debug("leader lookup failed", "error", err)
			wait.Sleep(ctx, holderRetry+rand.N(holderRetryJitter))
			continue
		}
		if held {
			vacantSince = time.Time{}
			e.watchHolder(ctx, holder)
			continue
		}
		e.setLeader("")
		if vacantSince.IsZero() {
			vacantSince = time.Now()
			e.node.LeaderLost()
		}
		if left := e.claimDelay() - time.Since(vacantSince); left > 0 {
			wait.Sleep(ctx, min(left, claimDelayPoll))
			continue
		}
		if e.campaign(ctx) {
			vacantSince = time.Time{}
		}
	}
	return ctx.Err()
}

// awaitTerms waits for the work of this node's terms to end.
func (e *Elector) awaitTerms() {
	ended := make(chan struct{})
	go func() {
		e.terms.Wait()
		close(ended)
	}()
	timer := time.NewTimer(termEndTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		e.log.Warn("term still running at the end", "term", e.term.Number)
	}
}

// claimDelay is for how long this node lets others claim first.
func (e *Elector) claimDelay() time.Duration {
	switch {
	case e.Role() == Resting:
		return claimDelayAfterResigning
	case e.node.HeartbeatsMissing():
		return claimDelayWithoutHeartbeats
	}
	return e.node.ClaimDelay()
}

// watchHolder waits while another node leads.
func (e *Elector) watchHolder(ctx context.Context, holder statestore.KeyValue) {
	var record holderRecord
	if err := decodeRecord(HolderKey, holder.Value, &record); err != nil {
		e.log.Error("leader record unreadable", "error", err)
	}
	if record.Member == e.options.Member {
		// This node before its restart, or a claim whose answer was lost: nobody
		// acts under that lease, so it needn't expire first.
		if err := e.store.Revoke(ctx, holder.Lease); err != nil {
			wait.Sleep(ctx, revokeRetry)
		}
		return
	}
	e.move(Follower)
	e.setLeader(record.Member)
	_, err := e.store.Watch(ctx, HolderKey, holder.ModRevision)
	if err != nil && !errors.Is(err, statestore.ErrCompacted) {
		wait.Sleep(ctx, watchRetry)
	}
}

// campaign tries to become the leader, and if it succeeds, leads to the end of the
// term. It tells whether this node has led.
func (e *Elector) campaign(ctx context.Context) bool {
	if !e.mayClaim(ctx) {
		wait.Sleep(ctx, claimPermissionPoll)
		return false
	}
	defer func() { // a claim that failed is never acted on
		if e.Role() == Claiming {
			e.move(Follower)
		}
	}()
	requested := time.Now()
	lease, err := e.store.Grant(ctx, e.options.TTL)
	if err != nil {
		wait.Sleep(ctx, grantRetry+rand.N(grantRetryJitter))
		return false
	}
	term, err := e.commitClaim(ctx, lease)
	if err != nil {
		e.log.Info("leadership claim failed", "error", err)
		e.revoke(ctx, lease)
		wait.Sleep(ctx, rand.N(claimRetryJitter))
		return false
	}
	e.lead(ctx, term, lease, requested)
	return true
}

// commitClaim takes the leader's key and the next term in one transaction.
func (e *Elector) commitClaim(ctx context.Context, lease statestore.LeaseID) (Term, error) {
	last, err := e.readTerm(ctx, TermKey)
	if err != nil {
		return Term{}, err
	}
	highestSeen, err := e.readTerm(ctx, RestoredKey)
	if err != nil {
		return Term{}, err
	}
	number := max(last.number, highestSeen.number) + 1
	compares := []statestore.Compare{{Key: HolderKey}, {Key: TermKey, ModRevision: last.revision}}
	ops := []statestore.Op{
		{Key: HolderKey, Value: codec.MustMarshal(holderRecord{e.options.Member}), Lease: lease},
		statestore.Put(TermKey, codec.MustMarshal(termRecord{number})),
	}
	claimed, err := e.store.Commit(ctx, compares, ops)
	return Term{Number: number, Revision: claimed, Restored: highestSeen.revision != 0}, err
}

// storedTerm is what a key says that holds the number of a term; zero if the key doesn't exist.
type storedTerm struct{ number, revision uint64 }

func (e *Elector) readTerm(ctx context.Context, key string) (storedTerm, error) {
	item, found, err := e.store.Get(ctx, key)
	if err != nil || !found {
		return storedTerm{}, err
	}
	var record termRecord
	err = decodeRecord(key, item.Value, &record)
	return storedTerm{number: record.Number, revision: item.ModRevision}, err
}

func (e *Elector) revoke(ctx context.Context, lease statestore.LeaseID) {
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.log.Debug("lease revocation failed", "error", err)
	}
}

// renewalsPerTTL is how often a lease is renewed within its length.
const renewalsPerTTL = 4

// lead does the work of a term, and keeps its lease, until the term is over. The lease was asked for at
// the time requested.
func (e *Elector) lead(ctx context.Context, term Term, lease statestore.LeaseID, requested time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.begin(term, cancel)
	e.renewed(requested)
	e.terms.Go(func() { e.node.RunTerm(ctx, term) })
	var extending sync.WaitGroup
	extending.Go(func() { e.extendLease(ctx) })
	next := e.keepLease(ctx, lease)
	e.move(next)
	e.setLeader("")
	cancel()
	extending.Wait()
}

// begin notes a claimed term.
func (e *Elector) begin(term Term, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term, e.cancelTerm = term, cancel
	e.leader, e.successor = e.options.Member, ""
	e.resigning = false
	e.moveLocked(Leading)
}

// keepLease renews the lease until it is lost or given up, or ctx ends, and returns the
// role that follows.
func (e *Elector) keepLease(ctx context.Context, lease statestore.LeaseID) Role {
	for ctx.Err() == nil {
		if e.isResigning() {
			e.revoke(ctx, lease)
			return Resting
		}
		wait.Sleep(ctx, e.options.TTL/renewalsPerTTL)
		if !e.renew(ctx, lease) {
			return Follower
		}
	}
	return Follower
}

// renew asks for one renewal; false if the lease is lost.
func (e *Elector) renew(ctx context.Context, lease statestore.LeaseID) bool {
	requested := time.Now()
	lapsed := !e.HoldsLease(requested)
	err := e.store.KeepAlive(ctx, lease)
	if errors.Is(err, statestore.ErrLeaseExpired) {
		e.log.Warn("leader lease lost", "term", e.term.Number)
		return false
	}
	if err != nil {
		e.log.Debug("lease renewal failed", "error", err)
		return true
	}
	e.renewed(requested)
	if lapsed && e.HoldsLease(time.Now()) {
		e.log.Info("leader lease valid again", "term", e.term.Number)
		e.node.LeaseResumed()
	}
	return true
}

// renewed notes that the lease was granted or renewed, as asked for at a time.
func (e *Elector) renewed(requested time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resigning {
		e.lease.Renewed(requested)
	}
}
