package simulation

import (
	"context"
	"strings"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// drainsOn reports whether drains are on in this world and the node runs a version that supports
// them.
func (n *node) drainsOn() bool { return n.w.drains != nil && !n.runsProduction }

// readDrains adds what is stored about drains to the snapshot of a new leader.
func (n *node) readDrains(snap *core.Snapshot) error {
	if !n.drainsOn() {
		return nil
	}
	var err error
	snap.Drains, err = n.jobs.Drains(context.Background())
	if fault := n.w.drains.fault.stored; fault != nil {
		fault(&snap.Drains)
	}
	return err
}

// writeDrainPlan writes a plan's record for the leader, and passes the outcome to its engine.
func (n *node) writeDrainPlan(w drain.PlanWrite) {
	engine, term, jobs := n.engine, n.term, n.jobs
	ok := false
	n.callOnce(func() {
		ok = jobs.WriteDrainPlan(context.Background(), term, w) == nil
	}, func(bool) {
		if n.engine == engine && engine != nil {
			n.step(core.DrainPlanWritten{Write: w, OK: ok})
		}
	})
}

// notifyDrainWatchers delivers changed drain plans to the watches of all leaders, each after a
// random delay, and triggers what scripts have waiting for a cordon or a charge to a disruption
// budget.
func (w *World) notifyDrainWatchers(changes []statestore.Op) {
	if w.drains == nil {
		return
	}
	for _, c := range changes {
		switch {
		case c.Delete:
			continue
		case strings.HasPrefix(c.Key, cordonPrefix):
			w.drains.runCallbacks(w.drains.onCordon)
		case strings.HasPrefix(c.Key, chargePrefix):
			w.drains.runCallbacks(w.drains.onCharge)
		}
		id, ok := strings.CutPrefix(c.Key, jobstore.DrainPlanPrefix)
		if !ok {
			continue
		}
		for _, n := range w.nodes {
			if n.engine != nil && n.drainsOn() {
				w.deliverWatch(n, n.engine, w.between(time.Millisecond, 200*time.Millisecond), func() { n.loadDrainPlan(id) })
			}
		}
	}
}

// loadDrainPlan reads a plan from the state service and passes it to the engine.
func (n *node) loadDrainPlan(id string) {
	if stored, err := n.jobs.DrainPlan(context.Background(), id); err == nil {
		n.step(core.DrainPlanStored{Stored: stored})
	}
}
