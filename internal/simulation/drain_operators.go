package simulation

import (
	"context"
	"fmt"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// drainOperators are the operators of a world, who have machines drained while teams have
// disruption budgets. Nil operators do nothing.
type drainOperators struct {
	w *World
	random
	policy *drain.Policy
	plans  []string // ids of the plans requested so far
	fault  deliberateDrainFault
	counts eventCounts // events of each kind so far

	// Callbacks of scripts: cordons have been written to the state service, charges have been
	// written, and the cloud is deleting machines.
	onCordon, onCharge, onScaleIn []func()
}

// runCallbacks schedules callbacks to run right after the current event.
func (d *drainOperators) runCallbacks(waiting []func()) {
	for _, fn := range waiting {
		d.w.after(0, fn)
	}
}

func newDrainOperators(w *World) *drainOperators {
	d := &drainOperators{
		w: w, random: newRandom(w.options.Seed, drainStream), counts: eventCounts{}, fault: w.options.DrainFault,
	}
	d.policy = d.randomPolicy()
	return d
}

func (d *drainOperators) count(what string) { d.counts[what]++ }

// start submits jobs and schedules the operators' requests. Once the faults have been over for 30
// seconds, it has all plans cancelled.
func (d *drainOperators) start() {
	if d == nil {
		return
	}
	d.submitJobs()
	for range 2 + d.rng.IntN(3) {
		d.w.after(d.between(5*time.Second, d.w.options.Length*2/3), d.requestDrain)
	}
	for range 3 {
		d.w.after(d.between(20*time.Second, d.w.options.Length), d.changeRandomPlan)
	}
	d.w.after(d.w.options.Length+30*time.Second, func() {
		for _, id := range d.plans {
			d.cancelPlan(id)
		}
	})
}

// submitJobs submits jobs of the teams with budgets that don't end while drains run. They are
// cancelled within 20 seconds after the faults are over.
func (d *drainOperators) submitJobs() {
	for i, shape := range []pipeline.Shape{pipeline.Array, pipeline.Service, pipeline.Array, pipeline.Gang} {
		s := pipeline.Spec{
			Ref: drainJobRefs.ref(i), Class: []string{"c", "long"}[d.rng.IntN(2)], Team: []string{"red", "blue"}[i%2],
			Shape: shape, Tasks: 2 + d.rng.IntN(2), CPUs: 1, MemGB: 1, Image: "img-0", ImageGB: 1, Estimate: endless,
			Priority: pipeline.High,
		}
		if d.rng.IntN(3) > 0 {
			s.CheckpointInterval, s.CheckpointTime = 3*time.Second, 2*time.Second
		}
		j := d.w.submitAfter(d.between(0, 15*time.Second), s, endless)
		d.w.after(d.w.options.Length+d.between(0, 20*time.Second), j.cancel)
	}
}

// requestDrain has an operator request a random new drain, half of the time twice, so that two
// controllers may create the same plan.
func (d *drainOperators) requestDrain() {
	p := drain.Plan{
		ID: fmt.Sprintf("plan-%d", len(d.plans)), MaxAtOnce: 1 + d.rng.IntN(3), Surge: d.rng.IntN(3),
		KeepCordoned: d.rng.IntN(3) == 0,
	}
	switch d.rng.IntN(4) {
	case 0:
		p.Selector.Zone = d.w.zones[d.rng.IntN(len(d.w.zones))]
	case 1:
		p.Selector.Type = []string{"small", "large"}[d.rng.IntN(2)]
	default:
		p.Selector.All = true
	}
	if d.rng.IntN(4) == 0 {
		p.Deadline = d.between(20*time.Second, 90*time.Second)
	}
	d.plans = append(d.plans, p.ID)
	d.createPlan(p)
	if d.rng.IntN(2) == 0 {
		d.createPlan(p)
	}
}

// createPlan asks a random controller to store a drain plan, and tries again every three seconds
// until a call has succeeded.
func (d *drainOperators) createPlan(p drain.Plan) {
	n := d.anyNode()
	answered := false
	if !n.down && !n.paused() {
		n.call(func() {
			if _, err := n.jobs.CreateDrainPlan(context.Background(), p, n.local()); err == nil {
				d.count("plans accepted")
				answered = true
			}
		}, func() {})
	}
	d.w.after(3*time.Second, func() {
		if !answered {
			d.createPlan(p)
		}
	})
}

// changeRandomPlan has an operator cancel a random plan, or pause it and resume it later.
func (d *drainOperators) changeRandomPlan() {
	if len(d.plans) == 0 {
		return
	}
	id := d.plans[d.rng.IntN(len(d.plans))]
	if d.rng.IntN(3) == 0 {
		d.changePhase(id, drain.Cancelled)
		return
	}
	d.changePhase(id, drain.Paused)
	d.w.after(d.between(2*time.Second, 20*time.Second), func() { d.changePhase(id, drain.Running) })
}

// changePhase has an operator change a plan's phase through a random controller. It does nothing if
// that controller is down or paused.
func (d *drainOperators) changePhase(id string, to drain.Phase) {
	n := d.anyNode()
	if n.down || n.paused() {
		return
	}
	n.call(func() {
		if _, err := n.jobs.ChangeDrainPlan(context.Background(), id, to); err == nil {
			d.count(to.String())
		}
	}, func() {})
}

// cancelPlan has an operator cancel a plan, repeatedly until it is cancelled or completed.
func (d *drainOperators) cancelPlan(id string) {
	d.changePhase(id, drain.Cancelled)
	d.w.after(5*time.Second, func() {
		stored, err := d.w.nodes[0].jobs.DrainPlan(context.Background(), id)
		if err != nil || stored.Plan.Phase != drain.Cancelled && stored.Plan.Phase != drain.Completed {
			d.cancelPlan(id)
		}
	})
}

func (d *drainOperators) anyNode() *node { return d.w.nodes[d.rng.IntN(len(d.w.nodes))] }
