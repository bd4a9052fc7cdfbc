// Package leadership decides which node leads, and proves at any moment that
// this node still may act. The right is a key held under a lease of the state
// service, claimed by compare-and-set together with a term that only rises.
package leadership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"gingertally/internal/statestore"
	"gingertally/internal/wire"
)

// Keys of the store.
const (
	HolderKey = "lead/holder"
	TermKey   = "lead/term"
)

// Store is what leadership needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (statestore.Item, bool, error)
	Commit(ctx context.Context, conds []wire.Condition, changes []wire.Change) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Touch(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Follow(ctx context.Context, prefix string, since uint64) (wire.News, error)
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
	Follower Role = iota // another node leads, or nobody is known to
	Claiming             // the place is free, and this node tries to take it
	Leading              // this node has claimed a term; whether it may act, Entitled tells
	Resting              // has resigned, and lets others go first
)

var roleNames = [...]string{"follower", "claiming", "leading", "resting"}

func (r Role) String() string { return roleNames[r] }

// Term is a claimed term. Stamp is the version of the term key, the condition
// of every write made under it.
type Term struct {
	N     uint64
	Stamp uint64
}

// Hooks are called as the role changes; they must return quickly.
type Hooks struct {
	Elected func(ctx context.Context, t Term) // ctx ends with the term
	Resumed func()                            // the right had lapsed and is proven again
	Deaf    func() bool                       // nobody has reached this node of late
	// Ask asks another node for its promise to leave the place to this one for
	// PromiseFor from now on; nil: nobody is asked.
	Ask func(ctx context.Context, member string) bool
}

// Options are a deployment's leadership timings.
type Options struct {
	Member string
	Others []string // all other nodes that may ever claim
	TTL    time.Duration
	Hooks  Hooks
}

// Lead is a node's part in leadership.
type Lead struct {
	o     Options
	store Store

	mu     sync.Mutex
	role   Role
	leader string
	term   Term
	until  time.Time // the right is proven up to here, by this node's steady clock
	end    context.CancelFunc
	resign bool

	promises map[string]time.Time // of the others, and until when each holds
	carried  bool                 // they have carried the right on since the lease was last renewed
	promised time.Time            // this node leaves the place to the leader until then
	booted   time.Time            // it may have promised so before its process started
}

// New makes a node's part in leadership.
func New(store Store, o Options) *Lead {
	return &Lead{o: o, store: store, booted: time.Now(), promises: map[string]time.Time{}}
}

// margin covers the drift of two steady clocks (0.05% each way) and the coarse
// steps of timers.
func margin(ttl time.Duration) time.Duration { return ttl/500 + 100*time.Millisecond }

// move is the one place where the role changes.
func (l *Lead) move(to Role) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moveLocked(to)
}

func (l *Lead) moveLocked(to Role) {
	if l.role == to {
		return
	}
	slog.Info("role", "was", l.role.String(), "is", to.String(), "term", l.term.N)
	l.role = to
	if to != Leading {
		l.unproven()
	}
}

// unproven ends the right at once.
func (l *Lead) unproven() {
	l.until = time.Time{}
	clear(l.promises)
}

// Entitled tells whether this node may act at this moment.
func (l *Lead) Entitled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role == Leading && now.Before(l.until)
}

// Leader names the node believed to lead; empty if unknown.
func (l *Lead) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// Role returns the node's role.
func (l *Lead) Role() Role {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role
}

// Resign makes a leader give up its lease and let others go first.
func (l *Lead) Resign(why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role == Leading && !l.resign {
		slog.Warn("resigning", "term", l.term.N, "why", why)
		l.resign = true
		l.unproven()
	}
}

// Deposed ends a term at once: somebody else has claimed a higher one.
func (l *Lead) Deposed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unproven()
	if l.end != nil {
		l.end()
	}
}

func (l *Lead) setLeader(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != name {
		slog.Info("leader", "is", name)
	}
	l.leader = name
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// shy is how long a node that nobody reaches, or that has just resigned, leaves
// a free place to others.
const shy = 2500 * time.Millisecond

// Run follows, claims and leads until ctx ends.
func (l *Lead) Run(ctx context.Context) error {
	var freeSince time.Time
	for ctx.Err() == nil {
		it, held, err := l.store.Get(ctx, HolderKey)
		if err != nil {
			slog.Debug("leader unknown", "error", err)
			pause(ctx, 150*time.Millisecond+rand.N(150*time.Millisecond))
			continue
		}
		if held {
			freeSince = time.Time{}
			l.follow(ctx, it)
			continue
		}
		l.setLeader("")
		if freeSince.IsZero() {
			freeSince = time.Now()
		}
		if (l.Role() == Resting || l.o.Hooks.Deaf()) && time.Since(freeSince) < shy {
			pause(ctx, 300*time.Millisecond)
			continue
		}
		if l.claim(ctx) {
			freeSince = time.Time{}
		}
	}
	return ctx.Err()
}

// follow waits while somebody holds the place.
func (l *Lead) follow(ctx context.Context, it statestore.Item) {
	var h holder
	if err := wire.Unmarshal(it.V, &h); err != nil {
		slog.Error("holder unreadable", "error", err)
	}
	if h.Member == l.o.Member {
		// This node before its restart, or a claim whose answer was lost: nobody
		// acts on it, so it needn't run out.
		if err := l.store.Revoke(ctx, it.Hold); err != nil {
			pause(ctx, 100*time.Millisecond)
		}
		return
	}
	l.move(Follower)
	l.setLeader(h.Member)
	since := it.Stamp
	if _, err := l.store.Follow(ctx, HolderKey, since); err != nil && !errors.Is(err, statestore.ErrCompacted) {
		pause(ctx, 200*time.Millisecond)
	}
}

// claim tries to take the free place, and if it succeeds, leads to the end of
// the term.
func (l *Lead) claim(ctx context.Context) bool {
	if !l.mayClaim(ctx) {
		pause(ctx, 50*time.Millisecond)
		return false
	}
	defer func() { // a claim that failed is never acted on
		if l.Role() == Claiming {
			l.move(Follower)
		}
	}()
	sent := time.Now()
	lease, err := l.store.Grant(ctx, l.o.TTL)
	if err != nil {
		pause(ctx, 100*time.Millisecond+rand.N(100*time.Millisecond))
		return false
	}
	t, err := l.commitClaim(ctx, lease)
	if err != nil {
		slog.Info("claim failed", "error", err)
		if err := l.store.Revoke(ctx, lease); err != nil {
			slog.Debug("revoke", "error", err)
		}
		pause(ctx, rand.N(100*time.Millisecond))
		return false
	}
	l.lead(ctx, t, lease, sent)
	return true
}

func (l *Lead) commitClaim(ctx context.Context, lease uint64) (Term, error) {
	var tv termValue
	it, found, err := l.store.Get(ctx, TermKey)
	if err != nil {
		return Term{}, err
	}
	if found {
		if err := wire.Unmarshal(it.V, &tv); err != nil {
			return Term{}, fmt.Errorf("term: %w", err)
		}
	}
	n := tv.N + 1
	rev, err := l.store.Commit(ctx,
		[]wire.Condition{{Path: HolderKey}, {Path: TermKey, Stamp: it.Stamp}},
		[]wire.Change{
			{Put: HolderKey, V: wire.MustMarshal(holder{l.o.Member}), Hold: lease},
			{Put: TermKey, V: wire.MustMarshal(termValue{n})},
		})
	return Term{N: n, Stamp: rev}, err
}

// lead renews the lease until it is over.
func (l *Lead) lead(ctx context.Context, t Term, lease uint64, sent time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.term, l.leader, l.end, l.resign = t, l.o.Member, cancel, false
	l.mu.Unlock()
	l.move(Leading)
	l.prove(sent)
	go l.seekPromises(ctx)
	l.o.Hooks.Elected(ctx, t)
	next := Follower
	for ctx.Err() == nil {
		l.mu.Lock()
		resign := l.resign
		l.mu.Unlock()
		if resign {
			next = Resting
			if err := l.store.Revoke(ctx, lease); err != nil {
				slog.Debug("revoke", "error", err)
			}
			break
		}
		pause(ctx, l.o.TTL/4)
		sent = time.Now()
		lapsed := !l.Entitled(sent)
		err := l.store.Touch(ctx, lease)
		if errors.Is(err, statestore.ErrNotFound) {
			slog.Warn("lease lost", "term", t.N)
			break
		}
		if err != nil {
			slog.Debug("renewal", "error", err)
			continue
		}
		l.prove(sent)
		if lapsed && l.Entitled(time.Now()) {
			slog.Info("right resumed", "term", t.N)
			l.o.Hooks.Resumed()
		}
	}
	l.move(next)
	l.setLeader("")
}

// prove notes a renewal that was sent at a time: the lease has its full length
// from then on at the least.
func (l *Lead) prove(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := sent.Add(l.o.TTL - margin(l.o.TTL)); !l.resign && u.After(l.until) {
		l.until, l.carried = u, false
	}
}
