package simulation

import (
	"context"
	"errors"
	"strings"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core"
	"gingertally/internal/health"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
	"gingertally/internal/standby"
	"gingertally/internal/statestore"
)

// node is a controller: the real core and job store round a simulated shell.
type node struct {
	w                  *World
	name, zone         string
	health             *health.Tracker
	rate               float64 // of its steady clock
	incarnation        int     // rises with each end of the process
	runsProduction     bool    // runs the version in production
	jobs               *jobstore.Jobs
	down               bool
	pausedUntil        time.Time     // stalled until then, its clocks running on
	slowUntil          time.Time     // computes slowly until then
	busyUntil          time.Time     // is busy with a step until then
	storeUnreachable   bool          // cut off from the state service
	refusedByStore     bool          // refused by the state service, alone
	answerLost         bool          // what it is just sending gets no answer
	commitDelay        time.Duration // how much later its transaction is carried out
	workersUnreachable bool          // cut off from the workers
	peersUnreachable   bool          // cut off from the other controllers
	engine             *core.Engine
	term               leadership.Term
	lease              int       // number of its leader lease in the state service
	leaseUntil         time.Time // when the lease ends, by its clock
	writing            bool
	claimTried         bool
	pendingClaim       int                 // which claim is under way, 0: none
	claims             int                 // so far
	extensions         map[*node]time.Time // of its lease, granted by each peer, by its clock
	grantedUntil       time.Time           // end of the last extension that it granted to a leader
	booted             time.Time

	// Warm standby; all nil where it is off.
	standby   *standby.Standby
	publisher *standby.Publisher // of the term that the node leads in
	// Admission control; all nil where it is off.
	gate         *admission.Gate
	planner      *admission.Planner // of the term that the node leads in
	plannerTerm  uint64
	latestPolicy admission.Policy // that is stored

	vacantSince time.Time // since when nobody leads, as far as it knows
}

var bg = context.Background()

// notCancelledParts is which part of a cancellation's time it counts that a job was seen not
// to be cancelled.
const notCancelledParts = 4

// local is the node's steady clock.
func (n *node) local() time.Time {
	return n.w.start.Add(time.Duration(float64(n.w.now.Sub(n.w.start)) * n.rate))
}

// holdsLease tells whether the node leads with a valid lease, by its own clock.
func (n *node) holdsLease() bool {
	return !n.down && n.engine != nil && n.local().Before(n.leaseUntil)
}

// boot starts the process; its loops end with it.
func (n *node) boot() {
	n.incarnation++
	n.down, n.engine, n.writing, n.leaseUntil = false, nil, false, time.Time{}
	n.pendingClaim, n.grantedUntil, n.booted, n.extensions = 0, time.Time{}, n.local(), map[*node]time.Time{}
	n.health = health.New(n.local())
	n.bootStandby()
	n.bootAdmission()
	limits := n.limits()
	limits.NotCancelledFor = n.w.options.CancelWithin / notCancelledParts
	n.jobs = jobstore.New(n.storeView(), limits)
	n.loop(n.incarnation, 500*time.Millisecond, n.lookUpDependencies)
	n.loop(n.incarnation, time.Second, n.probeHealth)
	n.loop(n.incarnation, n.w.options.LeaseTTL/4, n.claimOrRenew)
	n.loop(n.incarnation, 200*time.Millisecond, n.tick)
	n.loop(n.incarnation, 2*time.Second, n.listInstances)
}

// cutOff tells whether the state service can't be reached from here.
func (n *node) cutOff() bool { return n.storeUnreachable || !n.w.reachable("", n.zone) }

// reaches tells whether another controller can be reached from here.
func (n *node) reaches(o *node) bool {
	return !n.down && !o.down && !n.paused() && !o.paused() && !n.peersUnreachable && !o.peersUnreachable && !n.w.peersRefuse && n.w.reachable(n.zone, o.zone)
}

// probeHealth counts whom this node reaches.
func (n *node) probeHealth() {
	switch {
	case n.cutOff():
	case n.storeDown():
		n.health.StoreRefused(n.local())
	default:
		n.health.StoreServed(n.local())
	}
	for _, o := range n.w.nodes {
		if o != n && n.reaches(o) {
			n.health.PeerAnswered(n.local())
		}
	}
}

func (n *node) loop(incarnation int, every time.Duration, fn func()) {
	n.w.after(n.w.between(every/2, every), func() {
		n.run(incarnation, func() {
			fn()
			n.loop(incarnation, every, fn)
		})
	})
}

// run has a incarnation of the process do something: at once, or, if it is stalled,
// when it goes on.
func (n *node) run(incarnation int, fn func()) {
	switch {
	case n.incarnation != incarnation || n.down:
	case n.paused():
		n.w.after(n.pausedUntil.Sub(n.w.now)+n.w.between(0, 50*time.Millisecond), func() { n.run(incarnation, fn) })
	case n.busyFor() > 0:
		n.w.after(n.busyFor(), func() { n.run(incarnation, fn) })
	default:
		fn()
	}
}

// paused tells whether the process is stopped for a while, its clocks running on.
func (n *node) paused() bool { return n.w.now.Before(n.pausedUntil) }

func (n *node) crash(back time.Duration) {
	n.down, n.engine, n.publisher, n.pausedUntil, n.busyUntil = true, nil, nil, time.Time{}, time.Time{}
	n.incarnation++
	n.w.after(back, n.boot)
}

// call sends something to the state service or the cloud: it may be lost on
// the way, executed late, or its answer lost.
func (n *node) call(at func(), answer func()) { n.send(at, answer, false) }

// send is call. In worlds with a script, what takes longer than the node waits for is
// a transaction whose conditions were read in time, unless it travels whole.
func (n *node) send(at func(), answer func(), whole bool) {
	w, incarnation := n.w, n.incarnation
	if n.cutOff() {
		if w.chance(0.3) { // held back, and delivered when the cut is over
			w.after(w.between(time.Second, 20*time.Second), at)
		}
		return
	}
	there, back := w.between(time.Millisecond, 30*time.Millisecond), w.between(time.Millisecond, 30*time.Millisecond)
	lost := false
	if !w.networkReliable && w.options.Faults {
		if w.chance(0.01) {
			there += w.between(0, 10*time.Second)
		}
		lost = w.chance(0.01)
	}
	there, back = there+w.script.randomStoreDelay(), back+w.script.randomStoreDelay()
	var late time.Duration
	if w.script != nil && !whole && there > callTimeout {
		there, late, lost = 30*time.Millisecond, there, true
	}
	w.after(there, func() {
		n.answerLost, n.commitDelay = false, late
		at()
		n.commitDelay = 0
		if !lost && !n.answerLost {
			w.after(back, func() { n.run(incarnation, answer) })
		}
	})
}

// callTimeout is when a node takes a call for unanswered.
const callTimeout = 1500 * time.Millisecond

func (n *node) step(ev core.Event) core.Effects {
	eff := n.engine.Step(n.local(), ev)
	n.w.digest.addStep(n, ev, eff)
	n.w.checker.observe(engineStepped{n, eff})
	n.compute(ev)
	if n.w.Trace != nil {
		for _, line := range eff.Log {
			n.w.Trace(n.w.now.Sub(n.w.start), n.name, line)
		}
	}
	if eff.Deposed() {
		n.noteRestored(eff.HigherFencingToken)
	}
	if eff.Deposed() || eff.AttemptNumbersExhausted {
		n.endTerm()
		return core.Effects{}
	}
	for _, d := range eff.Direct {
		n.w.output.directCommands(n, d)
		n.w.sendDirectCommands(n, d)
	}
	for _, p := range eff.Drains {
		n.writePlan(p)
	}
	for _, r := range eff.ScaleOut {
		n.w.output.scaleOut(n, r)
		n.scaleOut(r)
	}
	for _, names := range eff.ScaleIn {
		n.w.output.scaleIn(n, names)
		n.scaleIn(names)
	}
	return eff
}

// noteRestored counts in the state service that it was restored from an older copy, if this
// node's term is the newest that it knows.
func (n *node) noteRestored(token uint64) {
	term, view := n.term, n.storeView()
	n.call(func() {
		_, _ = view.Commit(bg, []statestore.Compare{jobstore.UnderTerm(term)},
			[]statestore.Op{statestore.Put(leadership.RestoredKey, leadership.RestoredValue(token))}) // else the next leader finds it again
	}, func() {})
}

func (n *node) tick() {
	if !n.holdsLease() {
		return
	}
	n.step(core.Tick{})
	if n.term.Restored && n.engine != nil && n.engine.RestoreSettled(n.local()) && n.w.store.items[leadership.RestoredKey] != nil && !n.storeDown() && !n.cutOff() {
		_ = n.jobs.Drop(bg, n.term, leadership.RestoredKey) // else with the next tick
	}
	n.write()
	n.replicate()
}

// write sends the next batch, one at a time.
func (n *node) write() {
	if n.writing || !n.holdsLease() {
		return
	}
	batch := n.engine.Batch(n.local(), n.limits().TxnOps)
	batch = n.spoilBatch(batch)
	if len(batch) == 0 {
		return
	}
	n.writing = true
	n.w.digest.add(n.w, "batch", n.name, batch)
	eng, term, jobs := n.engine, n.term, n.jobs
	n.step(core.WritesStarted{Batch: batch})
	var sent []core.Write
	var rev uint64
	err := statestore.ErrUnknownOutcome
	answered := false
	n.call(func() { sent, rev, err = jobs.Apply(bg, term, batch) }, func() {
		if !answered && n.engine == eng {
			answered = true
			n.batchFinished(batch, sent, rev, err)
		}
	})
	incarnation := n.incarnation
	n.w.after(callTimeout, func() {
		n.run(incarnation, func() {
			if !answered && n.engine == eng {
				answered = true
				n.batchFinished(batch, batch, 0, statestore.ErrUnknownOutcome)
			}
		})
	})
}

func (n *node) batchFinished(batch, sent []core.Write, rev uint64, err error) {
	n.writing = false
	if rest := batch[len(sent):]; len(rest) > 0 {
		n.step(core.WritesFinished{Batch: rest})
	}
	if errors.Is(err, jobstore.ErrDeposed) {
		n.endTerm()
		return
	}
	if err == nil {
		n.step(core.WritesFinished{Batch: sent, OK: true, Revision: rev})
		n.write()
		return
	}
	if errors.Is(err, statestore.ErrRejected) {
		n.step(core.WriteRejected{Write: sent[0]})
		return
	}
	seen := map[string]uint64{}
	for _, wr := range sent {
		if ref := wr.JobRef(); ref != "" {
			n.refresh(ref)
			continue
		}
		if v, versioned, err := n.jobs.PageVersion(bg, wr); versioned && err == nil {
			seen[wr.Target()] = v
		}
	}
	if n.engine != nil {
		n.step(core.WritesFinished{Batch: sent, CurrentVersions: seen})
	}
}

func (n *node) refresh(ref string) {
	if st, err := n.jobs.Load(bg, ref); err == nil && n.engine != nil {
		n.jobLoaded(st, ref)
	}
}

// jobLoaded brings the engine what the store held of a job.
func (n *node) jobLoaded(st jobstore.State, ref string) {
	switch {
	case !st.Found:
	case st.Over:
		n.step(core.JobFinished{Ref: ref, Final: st.Final})
	default:
		n.step(core.JobStored{Job: core.StoredJob{Record: st.Record, Version: st.Version}})
	}
}

// lookUpDependencies reads jobs from the store that others depend on.
func (n *node) lookUpDependencies() {
	if !n.holdsLease() {
		return
	}
	eng, incarnation, jobs := n.engine, n.incarnation, n.jobs
	for _, ref := range eng.DependenciesToLookUp(3) {
		answered := false
		var st jobstore.State
		err := statestore.ErrUnknownOutcome
		n.call(func() { st, err = jobs.LoadFinished(bg, ref) }, func() {
			if err == nil && st.Found && n.engine == eng {
				answered = true
				n.jobLoaded(st, ref)
			}
		})
		n.w.after(callTimeout, func() {
			n.run(incarnation, func() {
				if !answered && n.engine == eng {
					n.step(core.DependencyLookupFailed{Ref: ref})
				}
			})
		})
	}
}

// notifyWatchers lets watches see changes to jobs.
func (w *World) notifyWatchers(changes []statestore.Op) {
	for _, c := range changes {
		ref, ok := strings.CutPrefix(c.Key, jobstore.JobPrefix)
		if !ok || c.Delete {
			continue
		}
		for _, n := range w.nodes {
			if n.engine != nil {
				w.deliverWatch(n, n.engine, w.between(time.Millisecond, 200*time.Millisecond), func() { n.refresh(ref) })
			}
		}
	}
	w.checker.observe(transactionCommitted{changes})
	w.drainChanged(changes)
}

// deliverWatch has a leader take a change in, once the state service can be reached.
func (w *World) deliverWatch(n *node, eng *core.Engine, in time.Duration, take func()) {
	incarnation := n.incarnation
	w.after(in, func() {
		n.run(incarnation, func() {
			switch {
			case n.engine != eng:
			case n.cutOff() || n.storeDown():
				w.deliverWatch(n, eng, time.Second, take)
			default:
				take()
			}
		})
	})
}

func (n *node) listInstances() {
	if !n.holdsLease() {
		return
	}
	eng := n.engine
	list, ok := n.w.cloud.list()
	ok = ok && n.w.reachable("", n.zone)
	incarnation := n.incarnation
	n.w.after(n.w.between(50*time.Millisecond, 300*time.Millisecond), func() {
		n.run(incarnation, func() {
			if ok && n.engine == eng && n.holdsLease() {
				n.step(core.InstancesListed{Instances: list})
			}
		})
	})
}

func (n *node) scaleOut(r core.ScaleOut) {
	answer := n.cloudAnswer()
	n.w.after(n.w.between(50*time.Millisecond, 300*time.Millisecond), func() {
		if !n.w.reachable("", n.zone) {
			n.w.after(4*time.Second, func() { answer(core.ScaleOutAnswered{Request: r, OutcomeUnknown: true}) })
			return
		}
		names, refused, ok := n.w.cloud.scaleOut(r)
		lost := n.w.options.Faults && !n.w.networkReliable && n.w.chance(0.1)
		answer(core.ScaleOutAnswered{Request: r, Machines: names, NoCapacity: refused, OutcomeUnknown: !ok || lost})
	})
}

func (n *node) scaleIn(names []string) {
	answer := n.cloudAnswer()
	delay := n.w.between(50*time.Millisecond, 300*time.Millisecond)
	if n.w.options.Faults && !n.w.networkReliable && (n.w.chance(0.05) || !n.w.reachable("", n.zone)) {
		// The answer is lost, and the deletion happens at some later time.
		n.w.after(n.w.between(time.Second, 20*time.Second), func() { n.w.cloud.scaleIn(names) })
		n.w.after(4*time.Second, func() { answer(core.ScaleInAnswered{Machines: names}) })
		return
	}
	n.w.after(delay, func() { answer(core.ScaleInAnswered{Machines: names, OK: n.w.cloud.scaleIn(names)}) })
}

// cloudAnswer is how an answer of the cloud reaches the engine that asked, if that
// still leads.
func (n *node) cloudAnswer() func(core.Event) {
	eng, incarnation := n.engine, n.incarnation
	return func(ev core.Event) {
		n.run(incarnation, func() {
			if n.engine == eng && n.engine != nil {
				n.step(ev)
			}
		})
	}
}
