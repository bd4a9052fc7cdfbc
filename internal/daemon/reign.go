package daemon

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
	"gingertally/internal/wire"
)

// reign is this node's work as leader during one term.
type reign struct {
	d      *Daemon
	ctx    context.Context
	term   leadership.Term
	ledger uint64
	wake   chan struct{} // there may be something to write

	mu  sync.Mutex
	eng *core.Engine

	heardMu sync.Mutex
	heard   time.Time // when a report last arrived, or the right was last resumed
}

// elected starts a reign; it ends with ctx.
func (d *Daemon) elected(ctx context.Context, t leadership.Term) {
	go func() {
		r := &reign{d: d, ctx: ctx, term: t, wake: make(chan struct{}, 1)}
		d.metrics.leading.Set(1)
		d.metrics.term.Set(float64(t.N))
		err := r.run()
		d.reign.CompareAndSwap(r, nil)
		d.metrics.leading.Set(0)
		slog.Info("reign over", "term", t.N, "reason", err)
	}()
}

func (d *Daemon) resumed() {
	if r := d.reign.Load(); r != nil {
		r.hear()
		r.step(core.Resumed{})
	}
}

func (r *reign) entitled() bool { return r.d.lead.Entitled(time.Now()) }

func (r *reign) hear() {
	r.heardMu.Lock()
	defer r.heardMu.Unlock()
	r.heard = time.Now()
}

func (r *reign) lastHeard() time.Time {
	r.heardMu.Lock()
	defer r.heardMu.Unlock()
	return r.heard
}

func (r *reign) run() error {
	for {
		snap, ledger, err := r.d.records.Snapshot(r.ctx)
		if err == nil {
			r.ledger = ledger
			slog.Info("takeover", "term", r.term.N, "jobs", len(snap.Jobs), "pages", len(snap.Pages))
			// All earlier rights ended before the claim, so before now.
			r.eng = core.New(time.Now(), r.d.core, r.term.N, snap, newRand())
			break
		}
		slog.Warn("read records", "error", err)
		if !sleep(r.ctx, 200*time.Millisecond) {
			return r.ctx.Err()
		}
	}
	if c := r.d.types(); c != nil {
		r.eng.Step(time.Now(), core.Catalog{Types: c})
	}
	r.hear()
	r.d.reign.Store(r)
	g, ctx := errgroup.WithContext(r.ctx)
	r.ctx = ctx
	g.Go(r.tickLoop)
	g.Go(r.writeLoop)
	g.Go(r.watchLoop)
	g.Go(r.listLoop)
	g.Go(r.askLoop)
	return g.Wait()
}

// sleep waits; false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// step moves the engine on and does what it asks for.
func (r *reign) step(ev core.Event) core.Effects {
	r.mu.Lock()
	eff := r.eng.Step(time.Now(), ev)
	pressing := r.eng.WritesPending()
	r.mu.Unlock()
	if pressing {
		r.kick()
	}
	for _, n := range eff.Notes {
		if n.Debug {
			slog.Debug(n.Text, n.Args...)
		} else {
			slog.Info(n.Text, n.Args...)
		}
	}
	if eff.Deposed {
		slog.Warn("a higher token exists", "term", r.term.N)
		r.d.lead.Deposed()
		return eff
	}
	for _, c := range eff.Direct {
		r.d.orders.send(r, c)
	}
	for _, q := range eff.Rent {
		go r.rent(q)
	}
	for _, names := range eff.Release {
		go r.release(names)
	}
	return eff
}

func (r *reign) kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reign) lookup(ref string) (core.JobView, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eng.Lookup(ref)
}

func (r *reign) mayBeOnMachines(ref string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eng.MayBeOnMachines(ref)
}

// tickEvery is how often time passes for the engine.
const tickEvery = 100 * time.Millisecond

func (r *reign) tickLoop() error {
	deafAfter := 3 * r.d.core.ReportEvery
	for sleep(r.ctx, tickEvery) {
		if !r.entitled() {
			continue
		}
		if r.expectsReports() && time.Since(r.lastHeard()) > deafAfter {
			r.d.lead.Resign("no worker has reported")
			continue
		}
		r.decide()
	}
	return r.ctx.Err()
}

// expectsReports tells whether any machine is believed to report.
func (r *reign) expectsReports() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eng.HasLive()
}

func (r *reign) decide() {
	begun := time.Now()
	end := begun.Add(r.d.op.RoundBudget)
	defer func() { r.d.metrics.round.Observe(time.Since(begun).Seconds()) }()
	r.step(core.Tick{Spent: func() bool { return time.Now().After(end) }})
}

// holdReply is for how long at a time the answer to a report of a machine with
// room is held, for the next round to place something there and the store to take
// that. Workers wait 4 s for an answer.
const holdReply = 250 * time.Millisecond

// writeLoop writes what the engine has to write, one transaction at a time.
func (r *reign) writeLoop() error {
	for {
		select {
		case <-r.ctx.Done():
			return r.ctx.Err()
		case <-r.wake:
		case <-time.After(tickEvery):
		}
		if !r.entitled() {
			continue
		}
		for {
			more, err := r.writeOnce()
			if errors.Is(err, jobstore.ErrDeposed) {
				r.d.lead.Deposed()
				return err
			}
			if err != nil {
				slog.Debug("write", "error", err)
				pause := 100 * time.Millisecond
				if errors.Is(err, statestore.ErrUnavailable) {
					pause = 300 * time.Millisecond // an outage in which this node goes on
				}
				if !sleep(r.ctx, pause) {
					return r.ctx.Err()
				}
			}
			if !more {
				break
			}
		}
	}
}

func (r *reign) writeOnce() (bool, error) {
	r.mu.Lock()
	now := time.Now()
	batch := r.eng.Batch(now, r.d.batchMost())
	if len(batch) == 0 {
		r.mu.Unlock()
		return false, nil
	}
	r.eng.Step(now, core.Sending{Batch: batch})
	r.mu.Unlock()
	sent, rev, err := r.d.records.Apply(r.ctx, r.term, batch)
	if rest := batch[len(sent):]; len(rest) > 0 {
		r.step(core.Written{Batch: rest})
	}
	if err == nil {
		r.step(core.Written{Batch: sent, OK: true, Version: rev})
		return true, nil
	}
	if errors.Is(err, statestore.ErrRefused) {
		r.step(core.Refused{Write: sent[0]})
		return true, nil
	}
	var seen map[string]uint64
	if !errors.Is(err, statestore.ErrUnavailable) { // else nothing has changed, and nothing can be read
		seen = r.reread(sent)
	}
	r.step(core.Written{Batch: sent, Seen: seen})
	return false, err
}

// reread finds out what the store holds after a failed or unanswered write.
func (r *reign) reread(batch []core.Write) map[string]uint64 {
	seen := map[string]uint64{}
	for _, w := range batch {
		switch w.Kind {
		case core.WritePage, core.DropPage:
			if v, err := r.d.records.PageVersion(r.ctx, w.Name); err == nil {
				seen[w.Name] = v
			}
		case core.WriteJob, core.WriteFinal:
			r.refresh(w.Name)
		}
	}
	return seen
}

// refresh brings the engine what the store holds of a job, if that can be had.
func (r *reign) refresh(ref string) bool {
	return r.learn(ref, r.d.records.Load)
}

func (r *reign) learn(ref string, load func(context.Context, string) (jobstore.State, error)) bool {
	st, err := load(r.ctx, ref)
	if err != nil || !st.Found {
		return false
	}
	if st.Over {
		r.step(core.JobFinal{Ref: ref, Final: st.Final})
		return true
	}
	r.step(core.JobStored{Job: core.StoredJob{Record: st.Record, Version: st.Version}})
	return true
}

// stored brings the engine a job's record, or, where that can't be completed any
// more since the job has moved on, what the store now holds; false if the reign is
// over.
func (r *reign) stored(it wire.StoreItem) bool {
	for {
		j, err := r.d.records.ReadJob(r.ctx, it)
		switch {
		case err == nil:
			r.step(core.JobStored{Job: j})
			return true
		case errors.Is(err, wire.ErrMalformed):
			slog.Error("job record", "error", err)
			return true
		case r.refresh(strings.TrimPrefix(it.Path, jobstore.JobPrefix)):
			return true
		}
		slog.Warn("job record", "error", err)
		if !sleep(r.ctx, 200*time.Millisecond) {
			return false
		}
	}
}

// askMost is how many jobs that others wait for are looked up at a time, askEvery
// how often, and askAgain how long after a time at which some weren't learnt of.
const (
	askMost  = 3
	askEvery = 200 * time.Millisecond
	askAgain = time.Second
)

// askLoop finds out what became of jobs that others wait for and that were over
// before this reign.
func (r *reign) askLoop() error {
	for pause := askEvery; sleep(r.ctx, pause); {
		r.mu.Lock()
		refs := r.eng.DependenciesToLookUp(askMost)
		r.mu.Unlock()
		pause = askEvery
		for _, ref := range refs {
			if !r.learn(ref, r.d.records.LoadOver) {
				r.step(core.DependencyUnknown{Ref: ref})
				pause = askAgain
			}
		}
	}
	return r.ctx.Err()
}

// watchLoop learns of new and cancelled jobs.
func (r *reign) watchLoop() error {
	since := r.ledger
	for r.ctx.Err() == nil {
		news, err := r.d.store.Follow(r.ctx, jobstore.JobPrefix, since)
		if errors.Is(err, statestore.ErrCompacted) {
			snap, ledger, err := r.d.records.Snapshot(r.ctx)
			if err != nil {
				sleep(r.ctx, 200*time.Millisecond)
				continue
			}
			for _, j := range snap.Jobs {
				r.step(core.JobStored{Job: j})
			}
			since = ledger
			continue
		}
		if err != nil {
			sleep(r.ctx, 150*time.Millisecond)
			continue
		}
		for _, ev := range news.News {
			if ev.Put == "" {
				continue
			}
			if !r.stored(wire.StoreItem{Path: ev.Put, V: ev.V, Stamp: ev.Stamp}) {
				return r.ctx.Err()
			}
		}
		since = max(since, news.Ledger)
	}
	return r.ctx.Err()
}

// Report hands a worker's report to the engine, if this node may act, and
// checks the right once more at the moment of answering.
func (r *reign) report(rep fleet.Report) (core.Reply, bool) {
	if !r.entitled() {
		return core.Reply{}, false
	}
	eff := r.step(core.ReportIn{Report: rep})
	if eff.Reply != nil && eff.Reply.OK {
		r.hear() // a late copy says nothing about whom this node reaches
	}
	for eff.Reply != nil && eff.Reply.Hold {
		if !sleep(r.ctx, holdReply) || !r.entitled() {
			return core.Reply{}, false
		}
		eff = r.step(core.Collect{Report: rep})
	}
	if eff.Reply == nil || !r.entitled() {
		return core.Reply{}, false
	}
	r.d.metrics.told(eff.Reply.Commands)
	return *eff.Reply, true
}

// agentLeader is the daemon as the workers' service sees it.
type agentLeader struct{ d *Daemon }

func (a agentLeader) Report(rep fleet.Report) (core.Reply, bool) {
	r := a.d.reign.Load()
	if r == nil {
		return core.Reply{}, false
	}
	return r.report(rep)
}

// Name is empty on a node that reaches nobody: what it last knew would send
// workers round in circles.
func (a agentLeader) Name() string {
	if !a.d.health.Serves(time.Now()) {
		return ""
	}
	return a.d.lead.Leader()
}

func (a agentLeader) RelayReport(ctx context.Context, body []byte) (int, []byte, error) {
	return a.d.peers.Relay(ctx, a.d.lead.Leader(), "POST", beatPath, append([]byte(nil), body...))
}
