package simulation

import (
	"context"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// engineConfig returns the configuration of the node's engine.
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
		MaxRoundSteps:     200,
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

// step passes an event to the engine and applies the effects that it returns. The node's term ends
// if the effects show that it is deposed, or that its attempt numbers are exhausted.
func (n *node) step(ev core.Event) core.Effects {
	effects := n.engine.Step(n.local(), ev)
	n.w.digest.addStep(n, ev, effects)
	n.w.checker.observe(engineStepped{n, effects})
	n.addComputeTime(ev)
	if n.w.Trace != nil {
		for _, line := range effects.Log {
			n.w.Trace(n.w.elapsed(), n.name, line)
		}
	}
	if effects.Deposed() {
		n.recordRestore(effects.HigherFencingToken)
	}
	if effects.Deposed() || effects.AttemptNumbersExhausted {
		n.endTerm()
		return core.Effects{}
	}
	n.applyEffects(effects)
	return effects
}

// applyEffects sends the commands, writes of drain plans and cloud requests in an engine's effects.
func (n *node) applyEffects(effects core.Effects) {
	for _, d := range effects.DirectCommands {
		n.w.output.directCommands(n, d)
		n.w.sendDirectCommands(n, d)
	}
	for _, p := range effects.Drains {
		n.writeDrainPlan(p)
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

// recordRestore records in the state service that it was restored from an older copy, with the
// higher fencing token that shows this. The write fails unless this node's term is still the newest
// one there.
func (n *node) recordRestore(token uint64) {
	term, view := n.term, n.storeView()
	n.call(func() {
		// If the write fails, the next leader detects the restore again.
		_, _ = view.Commit(context.Background(), []statestore.Compare{jobstore.UnderTerm(term)},
			[]statestore.Op{statestore.Put(leadership.RestoredKey, leadership.RestoredValue(token))})
	}, func() {})
}

// tick has the leader decide, write its records, and replicate its warm state.
func (n *node) tick() {
	if !n.holdsLease() {
		return
	}
	n.step(core.Tick{})
	if n.restoreSettled() {
		_ = n.jobs.Delete(context.Background(), n.term, leadership.RestoredKey) // retried with the next tick
	}
	n.write()
	n.replicate()
}

// restoreSettled reports whether the record of a restore of the state service can be deleted now.
func (n *node) restoreSettled() bool {
	return n.term.Restored && n.engine != nil && n.engine.RestoreSettled(n.local()) &&
		n.w.store.items[leadership.RestoredKey] != nil && !n.storeRefuses() && !n.cutOffFromStore()
}
