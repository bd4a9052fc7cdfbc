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

// callTimeout is when a node takes a call for unanswered.
const callTimeout = 1500 * time.Millisecond

// call sends a request to the state service, and answer gets what comes back. In a world with faults the request
// may be lost on the way or carried out late, and its answer may be lost.
func (n *node) call(request func(), answer func()) { n.send(request, answer, false) }

// callOnce is a call that ends exactly once, with its answer or without one after callTimeout, unless the process
// ends before.
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

// send is call. In worlds with a script, a request that is under way for longer than callTimeout is a transaction
// whose conditions were read in time, and whose answer nobody waits for. Requests that read nothing before they
// are sent travel whole instead.
func (n *node) send(request func(), answer func(), whole bool) {
	w, incarnation := n.w, n.incarnation
	if n.cutOff() {
		if w.chance(0.3) { // held back, and delivered when the cut is over
			w.after(w.between(time.Second, 20*time.Second), request)
		}
		return
	}
	there := w.between(time.Millisecond, 30*time.Millisecond)
	back := w.between(time.Millisecond, 30*time.Millisecond)
	lost := false
	if w.unreliable() {
		if w.chance(0.01) {
			there += w.between(0, 10*time.Second)
		}
		lost = w.chance(0.01)
	}
	there += w.script.randomStoreDelay()
	back += w.script.randomStoreDelay()
	var commitDelay time.Duration
	if w.script != nil && !whole && there > callTimeout {
		there, commitDelay, lost = 30*time.Millisecond, there, true
	}
	w.after(there, func() {
		n.request = storeRequest{commitDelay: commitDelay}
		request()
		n.request.commitDelay = 0
		if !lost && !n.request.answerLost {
			w.after(back, func() { n.run(incarnation, answer) })
		}
	})
}

// write sends the next batch of the leader's writes, one at a time.
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

// batchFinished brings the engine the outcome of a batch, of which a first part was sent.
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
	n.readAgain(sent)
}

// readAgain reads what writes with an unknown outcome were to change, and brings it to the engine.
func (n *node) readAgain(sent []core.Write) {
	current := map[string]uint64{}
	for _, write := range sent {
		if ref := write.JobRef(); ref != "" {
			n.refresh(ref)
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

// refresh reads a job, and brings it to the engine.
func (n *node) refresh(ref string) {
	if st, err := n.jobs.Load(context.Background(), ref); err == nil && n.engine != nil {
		n.jobLoaded(st, ref)
	}
}

// jobLoaded brings the engine what the state service held of a job.
func (n *node) jobLoaded(st jobstore.State, ref string) {
	switch {
	case !st.Found:
	case st.Over:
		n.step(core.JobFinished{Ref: ref, Final: st.Final})
	default:
		n.step(core.JobStored{Job: core.StoredJob{Record: st.Record, Version: st.Version}})
	}
}

// lookUpDependencies reads jobs from the state service that others depend on, and that the engine doesn't know.
func (n *node) lookUpDependencies() {
	if !n.holdsLease() {
		return
	}
	engine, incarnation, jobs := n.engine, n.incarnation, n.jobs
	for _, ref := range engine.DependenciesToLookUp(3) {
		answered := false
		var st jobstore.State
		err := statestore.ErrUnknownOutcome
		n.call(func() { st, err = jobs.LoadFinished(context.Background(), ref) }, func() {
			if err == nil && st.Found && n.engine == engine {
				answered = true
				n.jobLoaded(st, ref)
			}
		})
		n.w.after(callTimeout, func() {
			n.run(incarnation, func() {
				if !answered && n.engine == engine {
					n.step(core.DependencyLookupFailed{Ref: ref})
				}
			})
		})
	}
}

// notifyWatchers has the leader's watch see changes of jobs, each after a while.
func (w *World) notifyWatchers(changes []statestore.Op) {
	for _, c := range changes {
		ref, ok := strings.CutPrefix(c.Key, jobPrefix)
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

// deliverWatch has a leader take a change in, once it reaches the state service.
func (w *World) deliverWatch(n *node, engine *core.Engine, delay time.Duration, take func()) {
	incarnation := n.incarnation
	w.after(delay, func() {
		n.run(incarnation, func() {
			switch {
			case n.engine != engine:
			case n.cutOff() || n.storeDown():
				w.deliverWatch(n, engine, time.Second, take)
			default:
				take()
			}
		})
	})
}
