// Package term does a controller's work as the leader during one term: it passes events to the
// core's engine and carries out the effects that the engine asks for.
//
// A Term owns its engine and all goroutines that work for it. Run takes over from the previous
// leader and runs the loops until the term is over. Wait then returns once none of the term's work
// is running any more. All other methods may be called from any goroutine once Run has called
// ready, also after the end of the term, when the lease is no longer held. The lease of this very
// term alone decides whether the term may act, and it is checked before anything is sent out. A
// controller may lead in its next term while an earlier one still ends.
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

// Lease is the leader's lease in one term. *leadership.TermLease implements it.
type Lease interface {
	// Term returns the term that the lease belongs to.
	Term() leadership.Term
	// Valid reports whether this controller may act for the term. It's false for good once the term
	// has ended.
	Valid(now time.Time) bool
	// Resign gives up the lease and lets other controllers claim first.
	Resign(reason leadership.ResignReason)
	// HandOver gives up the lease in favor of a successor.
	HandOver(successor string)
	// End ends the term at once, since another controller has claimed a higher one.
	End()
}

// Loop is work that goes on while a term lasts. It returns when ctx ends; if it returns an error
// before, the term ends.
type Loop func(ctx context.Context, t *Term) error

// Dependencies holds the clients, components and settings that a term works with.
type Dependencies struct {
	Store        *statestore.Client
	Records      *jobstore.Jobs // with the leader's share of the rate limits
	Cloud        *cloud.Client
	MachineTypes *machinetypes.Catalog
	Replicator   replication.Replicator
	Direct       *DirectSender
	Metrics      *metrics.Metrics
	Loops        []Loop // run in addition to the term's own loops

	Config    core.Config
	RoundTime time.Duration // time limit of one pass of a round of decisions
	MaxBatch  int           // maximum number of changes in one transaction
}

// Term is the work of this controller as the leader during one term.
type Term struct {
	deps       Dependencies
	lease      Lease
	claimed    leadership.Term
	log        *slog.Logger
	wakeWriter chan struct{} // tells the write loop that there may be something to write
	background background    // work that effects ask for

	// Set by Run before it calls ready.
	revision uint64          // of the state service, after which the watches start
	done     <-chan struct{} // closed at the end of the term

	mu     sync.Mutex
	engine *core.Engine

	startSent          atomic.Bool // a start was sent in this term; used only with the warm standby
	restoredKeyDeleted bool        // leadership.RestoredKey was deleted; used by the tick loop alone

	contactMu   sync.Mutex
	lastContact time.Time // set by noteContact
}

// New returns the work of the term that a lease belongs to. Run starts it.
func New(lease Lease, dependencies Dependencies) *Term {
	claimed := lease.Term()
	return &Term{
		deps: dependencies, lease: lease, claimed: claimed, wakeWriter: make(chan struct{}, 1),
		log: slog.With("component", "term", "term", claimed.Number),
	}
}

// Number returns the term's number.
func (t *Term) Number() uint64 { return t.claimed.Number }

// HoldsLease reports whether this controller holds a valid leader's lease in this term.
func (t *Term) HoldsLease() bool { return t.lease.Valid(time.Now()) }

// HandOver gives up this term's lease in favor of a successor.
func (t *Term) HandOver(successor string) { t.lease.HandOver(successor) }

// Run takes over from the previous leader, and works until ctx ends or the term is lost. It calls
// ready when the takeover is complete; from then on the other methods may be called.
func (t *Term) Run(ctx context.Context, ready func()) error {
	if err := t.takeOver(ctx); err != nil {
		return err
	}
	t.noteContact()
	group, ctx := errgroup.WithContext(ctx)
	t.done = ctx.Done()
	t.background.begin(ctx)
	ready()
	group.Go(func() error { return t.tickLoop(ctx) })
	group.Go(func() error { return t.writeLoop(ctx) })
	group.Go(func() error { return t.watchJobs(ctx) })
	group.Go(func() error { return t.watchDrainPlans(ctx) })
	group.Go(func() error { return t.updateDrainMetrics(ctx) })
	group.Go(func() error { return t.listInstances(ctx) })
	group.Go(func() error { return t.lookUpDependencies(ctx) })
	for _, loop := range t.deps.Loops {
		group.Go(func() error { return loop(ctx, t) })
	}
	return group.Wait()
}

// Wait waits until no background work of the term is running any more. Calls in flight aren't
// aborted: each has a timeout of a few seconds.
func (t *Term) Wait() { t.background.end() }

// LeaseResumed is called when the lease had lapsed and is valid again. It excuses heartbeats that
// were missed meanwhile.
func (t *Term) LeaseResumed() {
	t.noteContact()
	t.step(core.LeaseResumed{})
}

// noteContact sets lastContact to the present. Besides heartbeats, the start of the term and a
// lease that is valid again count as contacts, since heartbeats missing from the time before prove
// nothing.
func (t *Term) noteContact() {
	t.contactMu.Lock()
	defer t.contactMu.Unlock()
	t.lastContact = time.Now()
}

// sinceContact returns the time since lastContact.
func (t *Term) sinceContact() time.Duration {
	t.contactMu.Lock()
	defer t.contactMu.Unlock()
	return time.Since(t.lastContact)
}

// background runs the work that a term's effects ask for, each piece in a goroutine of its own with
// a context that ends with the term.
type background struct {
	mu      sync.Mutex
	start   func(work func(ctx context.Context)) // nil unless the term is running
	running sync.WaitGroup
}

// begin allows run to start work, with the context ctx.
func (b *background) begin(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start = func(work func(ctx context.Context)) {
		b.running.Go(func() { work(ctx) })
	}
}

// run starts a piece of work. It returns false, and starts nothing, unless the term is running.
func (b *background) run(work func(ctx context.Context)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.start == nil {
		return false
	}
	b.start(work)
	return true
}

// end stops run from starting more work, and waits for the work that is running.
func (b *background) end() {
	b.mu.Lock()
	b.start = nil
	b.mu.Unlock()
	b.running.Wait()
}
