package simulation

import (
	"context"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// engineConfig is the engine's part of a node's settings.
func (n *node) engineConfig() core.Config {
	o := &n.w.options
	config := core.Config{
		Teams:             n.w.teams,
		Debug:             n.w.Trace != nil,
		HeartbeatInterval: o.HeartbeatInterval,
		Lease:             o.Lease,
		CancelWithin:      o.CancelWithin,
		GangWait:          gangWait,
		InstanceListLag:   2 * time.Second,
		RestartLimit:      3,
		ProgressInterval:  2 * time.Second,
		MaxValueBytes:     n.limits().ValueBytes,
		RoundBudget:       200,
		Weights:           core.DefaultWeights(),
		WarmState:         n.standbyOn(),
		Pace:              o.Pace,
		Admission:         o.Admission,
	}
	if n.drainsOn() {
		config.Drain = n.w.drains.nodePolicy()
	}
	return config
}

// step brings the engine an event, and carries out what it decides.
func (n *node) step(ev core.Event) core.Effects {
	effects := n.engine.Step(n.local(), ev)
	n.w.digest.addStep(n, ev, effects)
	n.w.checker.observe(engineStepped{n, effects})
	n.compute(ev)
	if n.w.Trace != nil {
		for _, line := range effects.Log {
			n.w.Trace(n.w.elapsed(), n.name, line)
		}
	}
	if effects.Deposed() {
		n.noteRestored(effects.HigherFencingToken)
	}
	if effects.Deposed() || effects.AttemptNumbersExhausted {
		n.endTerm()
		return core.Effects{}
	}
	n.carryOut(effects)
	return effects
}

// carryOut sends out what an engine wants done.
func (n *node) carryOut(effects core.Effects) {
	for _, d := range effects.DirectCommands {
		n.w.output.directCommands(n, d)
		n.w.sendDirectCommands(n, d)
	}
	for _, p := range effects.Drains {
		n.writePlan(p)
	}
	for _, r := range effects.ScaleOut {
		n.w.output.scaleOut(n, r)
		n.scaleOut(r)
	}
	for _, names := range effects.ScaleIn {
		n.w.output.scaleIn(n, names)
		n.scaleIn(names)
	}
}

// noteRestored notes in the state service that it was restored from an older copy, if this node's term is the
// newest that the state service knows.
func (n *node) noteRestored(token uint64) {
	term, view := n.term, n.storeView()
	n.call(func() {
		// If this fails the next leader finds it out again.
		_, _ = view.Commit(context.Background(), []statestore.Compare{jobstore.UnderTerm(term)},
			[]statestore.Op{statestore.Put(leadership.RestoredKey, leadership.RestoredValue(token))})
	}, func() {})
}

// tick has the leader decide, write and replicate.
func (n *node) tick() {
	if !n.holdsLease() {
		return
	}
	n.step(core.Tick{})
	if n.restoreSettled() {
		_ = n.jobs.Delete(context.Background(), n.term, leadership.RestoredKey) // else with the next tick
	}
	n.write()
	n.replicate()
}

// restoreSettled tells whether the note that the state service was restored can be dropped now.
func (n *node) restoreSettled() bool {
	return n.term.Restored && n.engine != nil && n.engine.RestoreSettled(n.local()) &&
		n.w.store.items[leadership.RestoredKey] != nil && !n.storeDown() && !n.cutOff()
}
