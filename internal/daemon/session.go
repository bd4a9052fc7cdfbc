package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
)

// leaderSession is this node's work as leader during one term: it drives the core's
// engine by events, and carries out the effects that the engine asks for.
type leaderSession struct {
	daemon *Daemon
	ctx    context.Context
	term   leadership.Term
	ledger uint64        // the store's revision to watch on from
	wake   chan struct{} // there may be something to write

	mu     sync.Mutex
	engine *core.Engine

	startedAny atomic.Bool // a start was given in this term

	restoreCleared bool // the note of a restore is removed; used by the tick loop alone

	contactMu   sync.Mutex
	lastContact time.Time // when a heartbeat last arrived, or the lease last became valid again
}

// elected starts a leader's session; it ends with ctx.
func (d *Daemon) elected(ctx context.Context, term leadership.Term) {
	d.warm.claimed(term)
	go func() {
		s := &leaderSession{daemon: d, ctx: ctx, term: term, wake: make(chan struct{}, 1)}
		d.metrics.leading.Set(1)
		d.metrics.term.Set(float64(term.Number))
		err := s.run()
		d.session.CompareAndSwap(s, nil)
		d.warm.termEnded(term.Number)
		d.metrics.leading.Set(0)
		slog.Info("leader session over", "term", term.Number, "reason", err)
	}()
}

// resumed tells the session that the leader's lease is valid again.
func (d *Daemon) resumed() {
	if s := d.session.Load(); s != nil {
		s.noteContact()
		s.step(core.LeaseResumed{})
	}
}

// holdsLease tells whether this node still holds a valid leader's lease.
func (s *leaderSession) holdsLease() bool { return s.daemon.elector.HoldsLease(time.Now()) }

// noteContact notes that a worker has reached this node.
func (s *leaderSession) noteContact() {
	s.contactMu.Lock()
	defer s.contactMu.Unlock()
	s.lastContact = time.Now()
}

// sinceContact is for how long no worker has reached this node.
func (s *leaderSession) sinceContact() time.Duration {
	s.contactMu.Lock()
	defer s.contactMu.Unlock()
	return time.Since(s.lastContact)
}

// run takes over from the leader before, and works until the term ends.
func (s *leaderSession) run() error {
	if err := s.takeOver(); err != nil {
		return err
	}
	if types := s.daemon.types(); types != nil {
		s.engine.Step(time.Now(), core.CatalogUpdated{Types: types})
	}
	s.noteContact()
	group, ctx := errgroup.WithContext(s.ctx)
	s.ctx = ctx
	s.daemon.session.Store(s) // from now on others call it
	group.Go(s.tickLoop)
	group.Go(s.writeLoop)
	group.Go(s.watchLoop)
	group.Go(s.listLoop)
	group.Go(s.askLoop)
	group.Go(s.admissionLoop)
	group.Go(s.drainLoop)
	return group.Wait()
}

// snapshotRetry is the pause after records that couldn't be read.
const snapshotRetry = 200 * time.Millisecond

// takeOver reads all records and builds the engine from them.
func (s *leaderSession) takeOver() error {
	for {
		snapshot, ledger, err := s.daemon.records.Snapshot(s.ctx)
		if err == nil {
			snapshot.Drains, err = s.storedDrains()
		}
		if err == nil {
			err = s.begin(snapshot, ledger)
		}
		if err == nil {
			return nil
		}
		slog.Warn("read records", "error", err)
		if !sleep(s.ctx, snapshotRetry) {
			return s.ctx.Err()
		}
	}
}

// errReadAgain says that the records were read as of a moment before the claim.
var errReadAgain = errors.New("records older than the claim")

// begin builds the engine from the records, and from the copy of the last leader's warm
// state if there is one that can be trusted.
func (s *leaderSession) begin(snapshot core.Snapshot, ledger uint64) error {
	warm, ok := s.daemon.warm.confirm(s.term, ledger)
	if !ok {
		return errReadAgain
	}
	s.ledger = ledger
	slog.Info("takeover", "term", s.term.Number, "jobs", len(snapshot.Jobs), "pages", len(snapshot.Pages))
	// All earlier leases ended before the claim, so before now
	// (docs/design.md, "Safety arguments" 1; TestOneLeader).
	now := time.Now()
	snapshot.Restored = s.term.Restored
	s.engine = core.New(now, s.daemon.coreConfig, s.term.Number, snapshot, newRand())
	if warm != nil {
		s.logRecords(s.engine.Step(now, *warm).Log)
	}
	return nil
}

// newRand is a generator with a seed of its own.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// sleep waits; false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// step moves the engine on by an event and carries out its effects.
func (s *leaderSession) step(event core.Event) core.Effects {
	s.mu.Lock()
	effects := s.engine.Step(time.Now(), event)
	pressing := s.engine.WritesPending()
	s.mu.Unlock()
	if pressing {
		s.wakeWriter()
	}
	s.logRecords(effects.Log)
	if effects.Deposed() {
		slog.Warn("a higher token exists", "term", s.term.Number, "token", effects.HigherFencingToken)
		s.daemon.elector.EndTerm()
		go s.noteRestored(effects.HigherFencingToken)
		return effects
	}
	if effects.AttemptNumbersExhausted {
		s.daemon.elector.Resign("the term's attempt numbers are used up")
		return effects
	}
	for _, command := range effects.Direct {
		s.daemon.commands.send(s, command)
	}
	for _, plan := range effects.Drains {
		go s.writeDrainPlan(plan)
	}
	for _, request := range effects.ScaleOut {
		go s.scaleOut(request)
	}
	for _, names := range effects.ScaleIn {
		go s.scaleIn(names)
	}
	return effects
}

// logRecords logs what the engine has to tell the operators.
func (s *leaderSession) logRecords(records []core.LogRecord) {
	for _, r := range records {
		slog.LogAttrs(s.ctx, r.Level, string(r.Event), r.Attrs...)
	}
}

// lookup is what the engine knows of a job.
func (s *leaderSession) lookup(ref string) (core.JobView, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Lookup(ref)
}

// mayBeOnMachines tells whether tasks of a job may still run.
func (s *leaderSession) mayBeOnMachines(ref string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.MayBeOnMachines(ref)
}

// tickEvery is how often time passes for the engine.
const tickEvery = 100 * time.Millisecond

// missedHeartbeats is after how many heartbeat intervals without any worker's report a leader
// resigns, though machines should report.
const missedHeartbeats = 3

// tickLoop has the engine decide, or resigns if no worker reaches this node.
func (s *leaderSession) tickLoop() error {
	unreachedAfter := missedHeartbeats * s.daemon.coreConfig.HeartbeatInterval
	for sleep(s.ctx, tickEvery) {
		if !s.holdsLease() {
			continue
		}
		if s.expectsHeartbeats() && s.sinceContact() > unreachedAfter {
			s.daemon.elector.Resign("no worker has reported")
			continue
		}
		s.decide()
		s.replicate()
		s.clearRestored()
	}
	return s.ctx.Err()
}

// noteRestoredTimeout bounds the write of noteRestored.
const noteRestoredTimeout = 2 * time.Second

// noteRestored notes in the state service, if this term is the newest that it knows, that a
// worker has seen a higher one, or this one from somebody else: then it was restored from an
// older copy, and the next leader has to know.
func (s *leaderSession) noteRestored(token uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), noteRestoredTimeout)
	defer cancel()
	err := s.daemon.records.Put(ctx, s.term, leadership.RestoredKey, leadership.RestoredValue(token))
	switch {
	case err == nil:
		slog.Error("the state service has forgotten terms: it was restored from an older copy", "term", s.term.Number, "seen", token)
	case !errors.Is(err, jobstore.ErrDeposed):
		slog.Warn("note of a higher token", "error", err)
	}
}

// clearRestored removes the note that the state service was restored, once what it had
// forgotten is settled.
func (s *leaderSession) clearRestored() {
	if !s.term.Restored || s.restoreCleared {
		return
	}
	s.mu.Lock()
	settled := s.engine.RestoreSettled(time.Now())
	s.mu.Unlock()
	if !settled {
		return
	}
	if err := s.daemon.records.Drop(s.ctx, s.term, leadership.RestoredKey); err != nil {
		slog.Debug("remove the note of the restore", "error", err)
		return
	}
	s.restoreCleared = true
	slog.Info("what the state service had forgotten is settled", "term", s.term.Number)
}

// replicate streams what has changed of the engine's warm state.
func (s *leaderSession) replicate() {
	if s.daemon.warm == nil {
		return
	}
	s.mu.Lock()
	records := s.engine.WarmChanges(time.Now(), warmChangesAtOnce)
	s.mu.Unlock()
	if len(records) > 0 {
		s.daemon.warm.publish(s.term.Number, records)
	}
}

// expectsHeartbeats tells whether any machine is believed to report.
func (s *leaderSession) expectsHeartbeats() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.HasLiveMachines()
}

// decide has the engine run a round of decisions, within its budget of time.
func (s *leaderSession) decide() {
	began := time.Now()
	end := began.Add(s.daemon.operator.RoundBudget)
	defer func() { s.daemon.metrics.round.Observe(time.Since(began).Seconds()) }()
	s.step(core.Tick{Spent: func() bool { return time.Now().After(end) }})
}
