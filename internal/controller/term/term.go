// Package term is a controller's work as the leader during one term: it drives the core's
// engine by events, and carries out the effects that the engine asks for.
//
// A Term owns its engine and all goroutines that work for it. Run takes over from the leader before,
// runs the loops until the term is over, and Wait returns once nothing of the term is running any more.
// All other methods may be called from any goroutine, also after the term's end: they then tell that the
// lease isn't held. Whether this controller may act is decided by the lease alone, which is checked
// before anything is sent out.
package term

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/cloud"
	"gingertally/internal/controller/machinetypes"
	"gingertally/internal/controller/metrics"
	"gingertally/internal/controller/replication"
	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// Lease is the leader's lease. *leadership.Elector implements it.
type Lease interface {
	// HoldsLease tells whether this controller may act.
	HoldsLease(now time.Time) bool
	// Resign gives the lease up.
	Resign(reason leadership.ResignReason)
	// EndTerm ends the term at once: another controller has claimed a higher one.
	EndTerm()
}

// Loop is work that goes on for as long as a term lasts. It returns when ctx ends.
type Loop func(ctx context.Context, t *Term) error

// Dependencies are what a term works with.
type Dependencies struct {
	Lease        Lease
	Store        *statestore.Client
	Records      *jobstore.Jobs // with the leader's part of the rates
	Cloud        *cloud.Client
	MachineTypes *machinetypes.Catalog
	Replicator   replication.Replicator
	Direct       *DirectSender
	Metrics      *metrics.Metrics
	Loops        []Loop // besides the term's own

	Config      core.Config
	RoundBudget time.Duration // time for one round of decisions
	MaxBatch    int           // changes that are written at once
}

// Term is one term of this controller.
type Term struct {
	deps       Dependencies
	claimed    leadership.Term
	log        *slog.Logger
	wakeWriter chan struct{} // there may be something to write
	background background    // what effects ask for

	// Set by Run before anybody else calls.
	revision uint64          // of the state service, to watch on from
	over     <-chan struct{} // closed at the term's end

	mu     sync.Mutex
	engine *core.Engine

	startedAny     atomic.Bool // a start was sent in this term
	restoreCleared bool        // the note of a restore is removed; used by the tick loop alone

	contactMu   sync.Mutex
	lastContact time.Time // when a heartbeat last arrived, or the lease last became valid again
}

// New makes the work of a term that this controller has claimed.
func New(claimed leadership.Term, dependencies Dependencies) *Term {
	return &Term{
		deps: dependencies, claimed: claimed, wakeWriter: make(chan struct{}, 1),
		log: slog.With("component", "term", "term", claimed.Number),
	}
}

// Number is the term's number.
func (t *Term) Number() uint64 { return t.claimed.Number }

// HoldsLease tells whether this controller still holds a valid leader's lease.
func (t *Term) HoldsLease() bool { return t.deps.Lease.HoldsLease(time.Now()) }

// Run takes over from the leader before, and works until ctx ends or the term is lost. Ready is called
// once the term can serve others, which may call it from then on.
func (t *Term) Run(ctx context.Context, ready func()) error {
	if err := t.takeOver(ctx); err != nil {
		return err
	}
	t.noteContact()
	group, ctx := errgroup.WithContext(ctx)
	t.over = ctx.Done()
	t.background.begin(ctx)
	ready()
	group.Go(func() error { return t.tickLoop(ctx) })
	group.Go(func() error { return t.writeLoop(ctx) })
	group.Go(func() error { return t.watchJobs(ctx) })
	group.Go(func() error { return t.watchDrainPlans(ctx) })
	group.Go(func() error { return t.showDrains(ctx) })
	group.Go(func() error { return t.listInstances(ctx) })
	group.Go(func() error { return t.lookUpDependencies(ctx) })
	for _, loop := range t.deps.Loops {
		group.Go(func() error { return loop(ctx, t) })
	}
	return group.Wait()
}

// Wait returns once nothing is running any more that the term has sent out. Calls in flight aren't
// broken off: each has a timeout of a few seconds.
func (t *Term) Wait() { t.background.end() }

// LeaseResumed tells that the lease had lapsed and is valid again.
func (t *Term) LeaseResumed() {
	t.noteContact()
	t.step(core.LeaseResumed{})
}

// noteContact notes that a worker has reached this controller.
func (t *Term) noteContact() {
	t.contactMu.Lock()
	defer t.contactMu.Unlock()
	t.lastContact = time.Now()
}

// sinceContact is for how long no worker has reached this controller.
func (t *Term) sinceContact() time.Duration {
	t.contactMu.Lock()
	defer t.contactMu.Unlock()
	return time.Since(t.lastContact)
}

// background is the work that a term's effects ask for. Each piece has a goroutine of its own, which
// ends with the term.
type background struct {
	mu      sync.Mutex
	start   func(work func(ctx context.Context)) // nil unless the term is running
	running sync.WaitGroup
}

// begin has work started from now on, in a context that ends with the term.
func (b *background) begin(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start = func(work func(ctx context.Context)) {
		b.running.Go(func() { work(ctx) })
	}
}

// run starts a piece of work; false after the term's end, when nothing is started any more.
func (b *background) run(work func(ctx context.Context)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.start == nil {
		return false
	}
	b.start(work)
	return true
}

// end has no more work started, and waits for what is running.
func (b *background) end() {
	b.mu.Lock()
	b.start = nil
	b.mu.Unlock()
	b.running.Wait()
}
