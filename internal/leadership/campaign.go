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

// A node that has just resigned, or that receives no heartbeats from workers, delays its claim so
// that other nodes can claim first. All nodes learn at about the same time that there is no leader,
// and the others claim within 100 ms. The delay without heartbeats must not be much longer than
// that: after a leader fails, its workers reach none of the other nodes for seconds, and the leases
// of all tasks on lost machines count from the next leader's claim.
const (
	claimDelayAfterResigning    = 2500 * time.Millisecond
	claimDelayWithoutHeartbeats = 500 * time.Millisecond
	claimDelayPoll              = 300 * time.Millisecond // checks whether another node has claimed
	holderRetry                 = 150 * time.Millisecond // after HolderKey couldn't be read
	holderRetryJitter           = 150 * time.Millisecond // keeps nodes from retrying in step
	watchRetry                  = 200 * time.Millisecond
	revokeRetry                 = 100 * time.Millisecond
	claimPermissionPoll         = 50 * time.Millisecond // while mayClaim returns false
	grantRetry                  = 100 * time.Millisecond
	grantRetryJitter            = 100 * time.Millisecond
	claimRetryJitter            = 100 * time.Millisecond
	termEndTimeout              = 2 * time.Second // how long Run waits for the work of terms
)

// Run takes part in leader election until ctx ends: it follows other leaders, claims leadership when
// there is none, and leads. Before it returns it waits up to termEndTimeout for the work of its own
// terms to end. It returns the error of ctx.
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

// awaitTerms waits up to termEndTimeout for the work of this node's terms to end.
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
		e.log.Warn("term still running at shutdown", "term", e.lastClaimed())
	}
}

// claimDelay returns how long after the loss of the leader this node lets others claim first.
func (e *Elector) claimDelay() time.Duration {
	switch {
	case e.Role() == Resigned:
		return claimDelayAfterResigning
	case e.node.HeartbeatsMissing():
		return claimDelayWithoutHeartbeats
	}
	return e.node.ClaimDelay()
}

// watchHolder waits until HolderKey changes, or for a few seconds, while another node leads. If the
// holder is this node, it revokes that lease instead.
func (e *Elector) watchHolder(ctx context.Context, holder statestore.KeyValue) {
	var record holderRecord
	if err := decodeRecord(HolderKey, holder.Value, &record); err != nil {
		e.log.Error("leader record unreadable", "error", err)
	}
	if record.Member == e.options.Member {
		// The lease is from before this node's restart, or from a claim whose response was
		// lost. Nobody acts under it, so revoke it rather than wait until it expires.
		if err := e.store.Revoke(ctx, holder.Lease); err != nil {
			wait.Sleep(ctx, revokeRetry)
		}
		return
	}
	e.setRole(Follower)
	e.setLeader(record.Member)
	_, err := e.store.Watch(ctx, HolderKey, holder.ModRevision)
	if err != nil && !errors.Is(err, statestore.ErrCompacted) {
		wait.Sleep(ctx, watchRetry)
	}
}

// campaign tries to become the leader and, if it succeeds, leads until the end of the term. It
// returns whether this node has led.
func (e *Elector) campaign(ctx context.Context) bool {
	if !e.mayClaim(ctx) {
		wait.Sleep(ctx, claimPermissionPoll)
		return false
	}
	defer func() { // a claim that failed is never acted on: the node follows again
		if e.Role() == Claiming {
			e.setRole(Follower)
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

// commitClaim claims leadership: one transaction sets HolderKey, which must not exist, and stores the
// number of the next term in TermKey, which must not have changed since it was read.
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

// storedTerm is the term number that is stored under a key, and the key's modification revision. Both
// are 0 if the key doesn't exist.
type storedTerm struct{ number, revision uint64 }

// readTerm reads the term number that is stored under a key.
func (e *Elector) readTerm(ctx context.Context, key string) (storedTerm, error) {
	item, found, err := e.store.Get(ctx, key)
	if err != nil || !found {
		return storedTerm{}, err
	}
	var record termRecord
	err = decodeRecord(key, item.Value, &record)
	return storedTerm{number: record.Number, revision: item.ModRevision}, err
}

// revoke ends a lease. If that fails, the lease expires on its own.
func (e *Elector) revoke(ctx context.Context, lease statestore.LeaseID) {
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.log.Debug("lease revocation failed", "error", err)
	}
}

// renewalsPerTTL is how many times a lease is renewed within its TTL.
const renewalsPerTTL = 4

// lead runs a term and keeps its lease until the term is over. ID is the lease's in the state service,
// and requested is when it was asked for.
func (e *Elector) lead(ctx context.Context, term Term, id statestore.LeaseID, requested time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lease := e.beginTerm(term, cancel)
	lease.RecordRenewal(requested)
	work := e.node.BeginTerm(lease)
	e.terms.Go(func() { work(ctx) })
	var extending sync.WaitGroup
	extending.Go(func() { e.extendLease(ctx, lease) })
	next := e.keepLease(ctx, lease, id)
	e.setRole(next)
	e.setLeader("")
	e.node.EndTerm(term)
	extending.Wait()
}

// beginTerm makes this node Leading in a term that it has claimed, and returns the term's lease. Cancel
// ends the term's context.
func (e *Elector) beginTerm(term Term, cancel context.CancelFunc) *TermLease {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = NewTermLease(term, NewLease(e.options.TTL, e.options.Others), cancel, e.log)
	e.lastTerm = term.Number
	e.leader, e.successor = e.options.Member, ""
	e.setRoleLocked(Leading)
	return e.lease
}

// lastClaimed returns the number of the last term that this node has claimed.
func (e *Elector) lastClaimed() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastTerm
}

// keepLease renews the lease until it is lost, this node resigns, or ctx ends. It returns the node's
// next role.
func (e *Elector) keepLease(ctx context.Context, lease *TermLease, id statestore.LeaseID) Role {
	for ctx.Err() == nil {
		if _, resigned := lease.resignation(); resigned {
			e.revoke(ctx, id)
			return Resigned
		}
		if wait.Sleep(ctx, e.options.TTL/renewalsPerTTL) && !e.renew(ctx, lease, id) {
			return Follower
		}
	}
	return Follower
}

// renew tries once to renew the lease. It returns false only if the lease has expired; after any
// other error the renewal may be retried.
func (e *Elector) renew(ctx context.Context, lease *TermLease, id statestore.LeaseID) bool {
	requested := time.Now()
	lapsed := !lease.Valid(requested)
	err := e.store.KeepAlive(ctx, id)
	if errors.Is(err, statestore.ErrLeaseExpired) {
		e.log.Warn("leader lease lost", "term", lease.Term().Number)
		return false
	}
	if err != nil {
		e.log.Debug("lease renewal failed", "error", err)
		return true
	}
	lease.RecordRenewal(requested)
	if lapsed && lease.Valid(time.Now()) {
		e.log.Info("leader lease valid again", "term", lease.Term().Number)
		e.node.LeaseResumed(lease.Term())
	}
	return true
}
