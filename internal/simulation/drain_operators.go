package simulation

import (
	"context"
	"fmt"
	"time"

	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
)

// drainOperators are the operators of a world, who have machines drained while teams have disruption budgets. Nil
// ones do nothing.
type drainOperators struct {
	w *World
	random
	policy *drain.Policy
	plans  []string
	fault  deliberateDrainFault
	counts eventCounts // what came about, and how often

	// what scripts have called when something happens
	onCordon, onCharge, onScaleIn []func()
}

// call calls what scripts have waiting for an event.
func (d *drainOperators) call(waiting []func()) {
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

// start plans the operators' requests.
func (d *drainOperators) start() {
	if d == nil {
		return
	}
	d.planJobs()
	for range 2 + d.rng.IntN(3) {
		d.w.after(d.between(5*time.Second, d.w.options.Length*2/3), d.request)
	}
	for range 3 {
		d.w.after(d.between(20*time.Second, d.w.options.Length), d.interfere)
	}
	d.w.after(d.w.options.Length+30*time.Second, func() {
		for _, id := range d.plans {
			d.cancel(id)
		}
	})
}

// planJobs submits work of the teams with budgets that doesn't end while drains go on. It is cancelled when the faults
// are over.
func (d *drainOperators) planJobs() {
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

// request has an operator request a new drain, half of the time at two controllers at once.
func (d *drainOperators) request() {
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
	d.create(p)
	if d.rng.IntN(2) == 0 {
		d.create(p)
	}
}

// create sends a request to some controller until it is answered.
func (d *drainOperators) create(p drain.Plan) {
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
			d.create(p)
		}
	})
}

// interfere has an operator pause, resume or cancel a plan.
func (d *drainOperators) interfere() {
	if len(d.plans) == 0 {
		return
	}
	id := d.plans[d.rng.IntN(len(d.plans))]
	if d.rng.IntN(3) == 0 {
		d.change(id, drain.Cancelled)
		return
	}
	d.change(id, drain.Paused)
	d.w.after(d.between(2*time.Second, 20*time.Second), func() { d.change(id, drain.Running) })
}

// change has an operator change a plan's phase at some controller, if that can be reached.
func (d *drainOperators) change(id string, to drain.Phase) {
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

// cancel has an operator cancel a plan, again and again until it is over.
func (d *drainOperators) cancel(id string) {
	d.change(id, drain.Cancelled)
	d.w.after(5*time.Second, func() {
		stored, err := d.w.nodes[0].jobs.DrainPlan(context.Background(), id)
		if err != nil || stored.Plan.Phase != drain.Cancelled && stored.Plan.Phase != drain.Completed {
			d.cancel(id)
		}
	})
}

func (d *drainOperators) anyNode() *node { return d.w.nodes[d.rng.IntN(len(d.w.nodes))] }
