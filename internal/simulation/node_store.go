package simulation

import (
	"context"
	"errors"
	"strings"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// callTimeout is how long a node waits for the answer to a call.
const callTimeout = 1500 * time.Millisecond

// call sends a request to the state service: request is executed at the state service, and answer on the
// node when the answer arrives. With faults, the request may be lost or executed late, and its answer
// may be lost.
func (n *node) call(request func(), answer func()) { n.send(request, answer, false) }

// callOnce is call with a timeout. It calls done exactly once, when the answer arrives or after
// callTimeout without one; or not at all if the process ends first.
func (n *node) callOnce(request func(), done func(answered bool)) {
	ended := false
	end := func(answered bool) {
		if !ended {
			ended = true
			done(answered)
		}
	}
	n.call(request, func() { end(true) })
	incarnation := n.incarnation
	n.w.after(callTimeout, func() { n.run(incarnation, func() { end(false) }) })
}

// send implements call. In a world with a script, if a request takes longer than callTimeout to arrive,
// its reads are executed in time, only its transaction is executed late, and the answer is lost. With
// delayWhole the whole request is executed late instead; this is for requests that read nothing before
// they are sent.
func (n *node) send(request func(), answer func(), delayWhole bool) {
	w, incarnation := n.w, n.incarnation
	if n.cutOffFromStore() {
		if w.chance(0.3) { // held back in the network and delivered late
			w.after(w.between(time.Second, 20*time.Second), request)
		}
		return
	}
	requestDelay := w.between(time.Millisecond, 30*time.Millisecond)
	answerDelay := w.between(time.Millisecond, 30*time.Millisecond)
	lost := false
	if w.unreliable() {
		if w.chance(0.01) {
			requestDelay += w.between(0, 10*time.Second)
		}
		lost = w.chance(0.01)
	}
	requestDelay += w.script.randomStoreDelay()
	answerDelay += w.script.randomStoreDelay()
	var commitDelay time.Duration
	if w.script != nil && !delayWhole && requestDelay > callTimeout {
		requestDelay, commitDelay, lost = 30*time.Millisecond, requestDelay, true
	}
	w.after(requestDelay, func() {
		n.request = storeRequest{commitDelay: commitDelay}
		request()
		n.request.commitDelay = 0
		if !lost && !n.request.answerLost {
			w.after(answerDelay, func() { n.run(incarnation, answer) })
		}
	})
}

// write sends the leader's next batch of writes to the state service, unless one is under way.
func (n *node) write() {
	if n.writing || !n.holdsLease() {
		return
	}
	batch := n.injectBatchFault(n.engine.Batch(n.local(), n.limits().TxnOps))
	if len(batch) == 0 {
		return
	}
	n.writing = true
	n.w.digest.add(n.w, "batch", n.name, batch)
	engine, term, jobs := n.engine, n.term, n.jobs
	n.step(core.WritesStarted{Batch: batch})
	var applied jobstore.Applied
	err := statestore.ErrUnknownOutcome
	n.callOnce(func() {
		applied, err = jobs.Apply(context.Background(), term, batch)
	}, func(answered bool) {
		switch {
		case n.engine != engine:
		case answered:
			n.batchFinished(batch, applied, err)
		default:
			n.batchFinished(batch, jobstore.Applied{Sent: batch}, statestore.ErrUnknownOutcome)
		}
	})
}

// batchFinished passes the outcome of a batch to the engine. Only the first writes of the batch may
// have been sent (applied.Sent); the others are reported as not written.
func (n *node) batchFinished(batch []core.Write, applied jobstore.Applied, err error) {
	n.writing = false
	sent := applied.Sent
	if rest := batch[len(sent):]; len(rest) > 0 {
		n.step(core.WritesFinished{Batch: rest})
	}
	if errors.Is(err, jobstore.ErrDeposed) {
		n.endTerm()
		return
	}
	if err == nil {
		n.step(core.WritesFinished{Batch: sent, OK: true, Revision: applied.Revision})
		n.write()
		return
	}
	if errors.Is(err, statestore.ErrRejected) {
		n.step(core.WriteRejected{Write: sent[0]})
		return
	}
	n.reloadTargets(sent)
}

// reloadTargets reads the jobs and pages that failed writes may have changed, and passes them to the
// engine.
func (n *node) reloadTargets(sent []core.Write) {
	current := map[string]uint64{}
	for _, write := range sent {
		if ref := write.JobRef(); ref != "" {
			n.reloadJob(ref)
			continue
		}
		if version, err := n.jobs.PageVersion(context.Background(), write); err == nil {
			current[write.Target()] = version
		}
	}
	if n.engine != nil {
		n.step(core.WritesFinished{Batch: sent, CurrentVersions: current})
	}
}

// reloadJob reads a job from the state service and passes it to the engine.
func (n *node) reloadJob(ref string) {
	if st, err := n.jobs.Load(context.Background(), ref); err == nil && n.engine != nil {
		n.jobLoaded(st, ref)
	}
}

// jobLoaded passes a job as read from the state service to the engine, if the job exists.
func (n *node) jobLoaded(st jobstore.State, ref string) {
	switch {
	case !st.Found:
	case st.Over:
		n.step(core.JobFinished{Ref: ref, Final: st.Final})
	default:
		n.step(core.JobStored{Job: core.StoredJob{Record: st.Record, Version: st.Version}})
	}
}

// lookUpDependencies reads up to 3 jobs that others depend on, and that the engine doesn't know, from
// the state service. If a job isn't found within callTimeout, the engine is told that its lookup failed.
func (n *node) lookUpDependencies() {
	if !n.holdsLease() {
		return
	}
	engine, incarnation, jobs := n.engine, n.incarnation, n.jobs
	for _, ref := range engine.DependenciesToLookUp(3) {
		found := false
		var st jobstore.State
		err := statestore.ErrUnknownOutcome
		n.call(func() { st, err = jobs.LoadFinished(context.Background(), ref) }, func() {
			if err == nil && st.Found && n.engine == engine {
				found = true
				n.jobLoaded(st, ref)
			}
		})
		n.w.after(callTimeout, func() {
			n.run(incarnation, func() {
				if !found && n.engine == engine {
					n.step(core.DependencyLookupFailed{Ref: ref})
				}
			})
		})
	}
}

// notifyWatchers delivers a transaction's changes of jobs and drain plans to the watches of all
// leaders, each after a random delay, and passes the transaction to the checker of the invariants.
func (w *World) notifyWatchers(changes []statestore.Op) {
	for _, c := range changes {
		ref, ok := strings.CutPrefix(c.Key, jobPrefix)
		if !ok || c.Delete {
			continue
		}
		for _, n := range w.nodes {
			if n.engine != nil {
				w.deliverWatch(n, n.engine, w.between(time.Millisecond, 200*time.Millisecond), func() { n.reloadJob(ref) })
			}
		}
	}
	w.checker.observe(transactionCommitted{changes})
	w.notifyDrainWatchers(changes)
}

// deliverWatch has a leader handle a change after a delay. While the state service doesn't serve
// the leader, it tries again every second; once the engine's term is over, the change is dropped.
func (w *World) deliverWatch(n *node, engine *core.Engine, delay time.Duration, handle func()) {
	incarnation := n.incarnation
	w.after(delay, func() {
		n.run(incarnation, func() {
			switch {
			case n.engine != engine:
			case n.cutOffFromStore() || n.storeRefuses():
				w.deliverWatch(n, engine, time.Second, handle)
			default:
				handle()
			}
		})
	})
}
