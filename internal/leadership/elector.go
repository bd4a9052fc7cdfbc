// Package leadership elects the leading node, and tells at any moment whether this
// node holds a valid leader's lease. The leader's key is held under a lease of the state
// service, claimed by compare-and-set together with a term that only rises. While the
// state service can't renew the lease, all peers together may extend it.
//
// The safety argument is in docs/design.md, "Who may act" and "Safety arguments" 1;
// TestOneLeader, TestOutage and the tests of extension_test.go hold it.
package leadership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/statestore"
)

// Keys of the store.
const (
	HolderKey = "lead/holder"
	TermKey   = "lead/term"
	// RestoredKey is there from when a restore of the state service was found until the
	// leader has settled what was forgotten. It holds the highest term that a worker has
	// seen (RestoredValue).
	RestoredKey = "lead/restored"
)

// Store is what leadership needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (statestore.KeyValue, bool, error)
	Commit(ctx context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (statestore.LeaseID, error)
	KeepAlive(ctx context.Context, lease statestore.LeaseID) error
	Revoke(ctx context.Context, lease statestore.LeaseID) error
	Watch(ctx context.Context, prefix string, since uint64) (statestore.WatchResponse, error)
}

type holder struct {
	Member string `cbor:"m"`
}

type termValue struct {
	N uint64 `cbor:"n"`
}

// Role is the state of a node towards leadership.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota // another node leads, or none is known to
	Claiming             // nobody leads, and this node tries to
	Leading              // this node has claimed a term; HoldsLease tells whether its lease is valid
	Resting              // this node has resigned, and lets others claim first
)

var roleNames = [...]string{"follower", "claiming", "leading", "resting"}

func (r Role) String() string { return roleNames[r] }

// Term is a claimed term. Stamp is the version of the term key, the condition
// of every write made under it.
type Term struct {
	Number   uint64
	Revision uint64
	// Restored says that workers have seen higher terms than the state service knew: it
	// was restored from an older copy.
	Restored bool
}

// Hooks are called as the role changes; they must return quickly.
type Hooks struct {
	TermStarted       func(ctx context.Context, t Term) // this node leads; ctx ends with the term
	LeaseResumed      func()                            // the lease had lapsed and is valid again
	HeartbeatsMissing func() bool                       // tells whether no worker has reached this node of late
	// RequestExtension asks a peer to extend this node's lease by ExtensionFor from
	// now on; nil: no peer is asked.
	RequestExtension func(ctx context.Context, member string) bool
	ClaimDelay       func() time.Duration // how long this node lets others claim first; nil: not at all
	LeaderLost       func()               // nobody leads any more; nil: nobody wants to know
}

// Options are a node's place in the deployment and the lease's length.
type Options struct {
	Member string
	Others []string // all other nodes that may ever claim
	TTL    time.Duration
	Hooks  Hooks
}

// Elector is a node's part in leader election.
type Elector struct {
	options Options
	store   Store

	mu         sync.Mutex
	role       Role
	leader     string
	term       Term
	validUntil time.Time // this node's lease is valid until then, by its steady clock
	cancelTerm context.CancelFunc
	resigning  bool
	successor  string // named as the leader until the next one is known

	extensions  map[string]time.Time // until when each peer extends this node's lease
	extended    bool                 // the peers have extended the lease since it was last renewed
	yieldsUntil time.Time            // this node has extended the leader's lease, and claims nothing until then
	startedAt   time.Time            // it may have extended one before its process started
}

// New makes a node's part in leader election.
func New(store Store, options Options) *Elector {
	return &Elector{options: options, store: store, startedAt: time.Now(), extensions: map[string]time.Time{}}
}

// Parts of clockMargin: two steady clocks drift by 0.05% each, rounded up to 0.2%, and
// timers have coarse steps.
const (
	driftDivisor = 500
	timerStep    = 100 * time.Millisecond
)

// clockMargin is what a lease of a length is counted shorter by its holder.
func clockMargin(length time.Duration) time.Duration { return length/driftDivisor + timerStep }

// move is the one place where the role changes.
func (e *Elector) move(to Role) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moveLocked(to)
}

func (e *Elector) moveLocked(to Role) {
	if e.role == to {
		return
	}
	slog.Info("role", "was", e.role.String(), "is", to.String(), "term", e.term.Number)
	e.role = to
	if to != Leading {
		e.invalidate()
	}
}

// invalidate ends the lease's validity at once.
func (e *Elector) invalidate() {
	e.validUntil = time.Time{}
	clear(e.extensions)
}

// HoldsLease tells whether this node holds a valid leader's lease, and so may act.
func (e *Elector) HoldsLease(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role == Leading && now.Before(e.validUntil)
}

// Leader names the node believed to lead, or about to; empty if unknown.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == "" || e.role == Leading && e.resigning {
		return e.successor
	}
	return e.leader
}

// FollowsAnother tells whether another node is known to lead.
func (e *Elector) FollowsAnother() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role != Leading && e.leader != "" && e.leader != e.options.Member
}

// Role returns the node's role.
func (e *Elector) Role() Role {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// HandOver makes a leader give up its lease to a successor, which it names as the leader
// from now on. It proves nothing about the successor, which claims like any other.
func (e *Elector) HandOver(successor string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leading && !e.resigning {
		e.successor = successor
	}
	e.resignLocked("handing over")
}

// Resign makes a leader give up its lease and let others go first.
func (e *Elector) Resign(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resignLocked(why)
}

func (e *Elector) resignLocked(why string) {
	if e.role == Leading && !e.resigning {
		slog.Warn("resigning", "term", e.term.Number, "why", why)
		e.resigning = true
		e.invalidate()
	}
}

// RestoredValue is the value of RestoredKey.
func RestoredValue(highestTerm uint64) []byte { return codec.MustMarshal(termValue{highestTerm}) }

// EndTerm ends a term at once: somebody else has claimed a higher one.
func (e *Elector) EndTerm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.invalidate()
	if e.cancelTerm != nil {
		e.cancelTerm()
	}
}

func (e *Elector) setLeader(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != name {
		slog.Info("leader", "is", name)
	}
	if name != "" {
		e.successor = ""
	}
	e.leader = name
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// A node that has just resigned, or that no worker reaches, lets others claim first. The
// others learn that the place is free at the same moment and claim within a tenth of a
// second. After a leader's end its workers reach none of the others for seconds, so a node
// that none reaches mustn't yield for longer than that takes: the leases of all tasks on
// machines that are lost count from the next leader's claim.
const (
	yieldAfterResigning = 2500 * time.Millisecond
	yieldUnreached      = 500 * time.Millisecond
)

// yieldFor is how long the node lets others claim first.
func (e *Elector) yieldFor() time.Duration {
	switch {
	case e.Role() == Resting:
		return yieldAfterResigning
	case e.options.Hooks.HeartbeatsMissing():
		return yieldUnreached
	case e.options.Hooks.ClaimDelay != nil:
		return e.options.Hooks.ClaimDelay()
	}
	return 0
}

// Pauses between tries; the random parts keep nodes from trying in step.
const (
	holderRetry      = 150 * time.Millisecond // the holder couldn't be read
	holderRetryRange = 150 * time.Millisecond
	yieldCheck       = 300 * time.Millisecond // another node may have claimed
	watchRetry       = 200 * time.Millisecond // the watch failed
	revokeRetry      = 100 * time.Millisecond
	claimCheck       = 50 * time.Millisecond // this node may not claim yet
	grantRetry       = 100 * time.Millisecond
	grantRetryRange  = 100 * time.Millisecond
	claimRetryRange  = 100 * time.Millisecond
	// renewalsPerTTL is how often a lease is renewed within its length.
	renewalsPerTTL = 4
)

// Run follows, claims and leads until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	var freeSince time.Time
	for ctx.Err() == nil {
		it, held, err := e.store.Get(ctx, HolderKey)
		if err != nil {
			slog.Debug("leader unknown", "error", err)
			pause(ctx, holderRetry+rand.N(holderRetryRange))
			continue
		}
		if held {
			freeSince = time.Time{}
			e.follow(ctx, it)
			continue
		}
		e.setLeader("")
		if freeSince.IsZero() {
			freeSince = time.Now()
			e.noteVacant()
		}
		if left := e.yieldFor() - time.Since(freeSince); left > 0 {
			pause(ctx, min(left, yieldCheck))
			continue
		}
		if e.claim(ctx) {
			freeSince = time.Time{}
		}
	}
	return ctx.Err()
}

// noteVacant tells that nobody leads any more.
func (e *Elector) noteVacant() {
	if e.options.Hooks.LeaderLost != nil {
		e.options.Hooks.LeaderLost()
	}
}

// follow waits while another node leads.
func (e *Elector) follow(ctx context.Context, it statestore.KeyValue) {
	var h holder
	if err := codec.Unmarshal(it.Value, &h); err != nil {
		slog.Error("holder unreadable", "error", err)
	}
	if h.Member == e.options.Member {
		// This node before its restart, or a claim whose answer was lost: nobody
		// acts under that lease, so it needn't expire first.
		if err := e.store.Revoke(ctx, it.Lease); err != nil {
			pause(ctx, revokeRetry)
		}
		return
	}
	e.move(Follower)
	e.setLeader(h.Member)
	since := it.ModRevision
	if _, err := e.store.Watch(ctx, HolderKey, since); err != nil && !errors.Is(err, statestore.ErrCompacted) {
		pause(ctx, watchRetry)
	}
}

// claim tries to become the leader, and if it succeeds, leads to the end of the
// term.
func (e *Elector) claim(ctx context.Context) bool {
	if !e.mayClaim(ctx) {
		pause(ctx, claimCheck)
		return false
	}
	defer func() { // a claim that failed is never acted on
		if e.Role() == Claiming {
			e.move(Follower)
		}
	}()
	sent := time.Now()
	lease, err := e.store.Grant(ctx, e.options.TTL)
	if err != nil {
		pause(ctx, grantRetry+rand.N(grantRetryRange))
		return false
	}
	t, err := e.commitClaim(ctx, lease)
	if err != nil {
		slog.Info("claim failed", "error", err)
		if err := e.store.Revoke(ctx, lease); err != nil {
			slog.Debug("revoke", "error", err)
		}
		pause(ctx, rand.N(claimRetryRange))
		return false
	}
	e.lead(ctx, t, lease, sent)
	return true
}

// commitClaim takes the leader's key and the next term in one transaction.
func (e *Elector) commitClaim(ctx context.Context, lease statestore.LeaseID) (Term, error) {
	var last termValue
	item, found, err := e.store.Get(ctx, TermKey)
	if err != nil {
		return Term{}, err
	}
	if found {
		if err := codec.Unmarshal(item.Value, &last); err != nil {
			return Term{}, fmt.Errorf("term: %w", err)
		}
	}
	seen, restored, err := e.store.Get(ctx, RestoredKey)
	if err != nil {
		return Term{}, err
	}
	var highest termValue
	if restored {
		if err := codec.Unmarshal(seen.Value, &highest); err != nil {
			return Term{}, fmt.Errorf("highest term seen: %w", err)
		}
	}
	number := max(last.N, highest.N) + 1
	changes := []statestore.Op{
		{Key: HolderKey, Value: codec.MustMarshal(holder{e.options.Member}), Lease: lease},
		statestore.Put(TermKey, codec.MustMarshal(termValue{number})),
	}
	revision, err := e.store.Commit(ctx, []statestore.Compare{{Key: HolderKey}, {Key: TermKey, ModRevision: item.ModRevision}}, changes)
	return Term{Number: number, Revision: revision, Restored: restored}, err
}

// lead renews the lease until the term is over. The lease was asked for at sent.
func (e *Elector) lead(ctx context.Context, t Term, lease statestore.LeaseID, sent time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.begin(t, cancel)
	e.renewed(sent)
	go e.extendLease(ctx)
	e.options.Hooks.TermStarted(ctx, t)
	next := e.keepLease(ctx, t, lease)
	e.move(next)
	e.setLeader("")
}

// begin notes a claimed term.
func (e *Elector) begin(t Term, endTerm context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term, e.leader, e.cancelTerm, e.resigning, e.successor = t, e.options.Member, endTerm, false, ""
	e.moveLocked(Leading)
}

// keepLease renews the lease until it is lost, given up or ctx ends, and returns the
// role that follows.
func (e *Elector) keepLease(ctx context.Context, t Term, lease statestore.LeaseID) Role {
	for ctx.Err() == nil {
		if e.isResigning() {
			if err := e.store.Revoke(ctx, lease); err != nil {
				slog.Debug("revoke", "error", err)
			}
			return Resting
		}
		pause(ctx, e.options.TTL/renewalsPerTTL)
		if !e.renew(ctx, t, lease) {
			return Follower
		}
	}
	return Follower
}

// resumedMessage is the log's line when a lapsed lease is valid again. Operators know it
// (docs/operating.md), so its words stay as an earlier version had them.
const resumedMessage = "right resumed"

// renew asks for one renewal; false if the lease is lost.
func (e *Elector) renew(ctx context.Context, t Term, lease statestore.LeaseID) bool {
	sent := time.Now()
	lapsed := !e.HoldsLease(sent)
	err := e.store.KeepAlive(ctx, lease)
	if errors.Is(err, statestore.ErrLeaseExpired) {
		slog.Warn("lease lost", "term", t.Number)
		return false
	}
	if err != nil {
		slog.Debug("renewal", "error", err)
		return true
	}
	e.renewed(sent)
	if lapsed && e.HoldsLease(time.Now()) {
		slog.Info(resumedMessage, "term", t.Number)
		e.options.Hooks.LeaseResumed()
	}
	return true
}

func (e *Elector) isResigning() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigning
}

// renewed notes a renewal that was sent at a time: the lease is valid for its full
// length from then on at the least.
func (e *Elector) renewed(sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := sent.Add(e.options.TTL - clockMargin(e.options.TTL))
	if !e.resigning && until.After(e.validUntil) {
		e.validUntil, e.extended = until, false
	}
}
