package simulation

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gingertally/internal/statestore"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
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

// deliberateDrainFault breaks a rule of drains, so that tests see its invariant fail. What isn't set works as it
// should.
type deliberateDrainFault struct {
	policy func(drain.Policy) drain.Policy                // that the controllers go by
	stored func(*drain.Stored)                            // that a new leader reads
	commit func([]statestore.Op) []statestore.Op          // that the state service is sent
	batch  func(n *node, batch []core.Write) []core.Write // that a leader writes
}

// drainSkew bounds how far the controllers' clocks are off in these worlds.
const drainSkew = 250 * time.Millisecond

func newDrainOperators(w *World) *drainOperators {
	d := &drainOperators{
		w: w, random: newRandom(w.options.Seed, drainStream), counts: eventCounts{}, fault: w.options.DrainFault,
	}
	d.policy = d.randomPolicy()
	return d
}

func (d *drainOperators) count(what string) { d.counts[what]++ }

// randomPolicy gives the teams budgets of every kind.
func (d *drainOperators) randomPolicy() *drain.Policy {
	p := &drain.Policy{
		Budgets:    map[drain.Scope]drain.Budget{},
		FinishWait: d.between(2*time.Second, 20*time.Second),
		Skew:       drainSkew,
	}
	for _, team := range []string{"red", "blue", "amber"} {
		b := drain.NewBudget()
		switch d.rng.IntN(4) {
		case 0:
			b.TaskInterruptions = d.rng.IntN(2)
		case 1:
			b.WindowInterruptions, b.Window = 1+d.rng.IntN(5), d.between(20*time.Second, 60*time.Second)
		case 2:
			b.TaskInterruptions, b.MaxUnavailable = 1, 1+d.rng.IntN(2)
		}
		if d.rng.IntN(2) == 0 {
			b.Closed = d.randomWindows()
		}
		p.Budgets[drain.Scope{Team: team}] = b
	}
	if d.rng.IntN(3) == 0 {
		b := drain.NewBudget()
		b.WindowInterruptions, b.Window = 2, 30*time.Second
		p.Budgets[drain.Scope{Team: "red", Class: "c"}] = b
	}
	return p
}

// randomWindows are closed windows that come and go within the world.
func (d *drainOperators) randomWindows() []drain.ClosedWindow {
	var out []drain.ClosedWindow
	for at := d.between(0, 40*time.Second); at < d.w.options.Length; at += d.between(30*time.Second, 60*time.Second) {
		from := d.w.start.Add(at).In(time.UTC)
		day := time.Date(from.Year(), from.Month(), from.Day(), 0, 0, 0, 0, time.UTC)
		begin := from.Sub(day).Truncate(time.Second)
		length := d.between(10*time.Second, 25*time.Second).Truncate(time.Second)
		w := drain.ClosedWindow{From: begin, To: begin + length, Location: time.UTC}
		for i := range w.Days {
			w.Days[i] = true
		}
		out = append(out, w)
	}
	return out
}

// nodePolicy is the policy that the controllers go by.
func (d *drainOperators) nodePolicy() *drain.Policy {
	if d.fault.policy == nil {
		return d.policy
	}
	p := d.fault.policy(*d.policy)
	return &p
}

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

// drainsOn tells whether a node runs a version that knows of drains.
func (n *node) drainsOn() bool { return n.w.drains != nil && !n.runsProduction }

// readDrains reads what is stored of drains for a new leader.
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

// writePlan writes a leader's change of a plan's record.
func (n *node) writePlan(w drain.PlanWrite) {
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

// drainChanged has the leader's watch see changes of drain plans, each after a while.
func (w *World) drainChanged(changes []statestore.Op) {
	if w.drains == nil {
		return
	}
	for _, c := range changes {
		switch {
		case c.Delete:
			continue
		case strings.HasPrefix(c.Key, cordonPrefix):
			w.drains.call(w.drains.onCordon)
		case strings.HasPrefix(c.Key, chargePrefix):
			w.drains.call(w.drains.onCharge)
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

// loadDrainPlan brings a leader a plan as it is stored.
func (n *node) loadDrainPlan(id string) {
	if stored, err := n.jobs.DrainPlan(context.Background(), id); err == nil {
		n.step(core.DrainPlanStored{Stored: stored})
	}
}

// spoilCommit applies a deliberate fault to what the state service is sent.
func (d *drainOperators) spoilCommit(changes []statestore.Op) []statestore.Op {
	if d == nil || d.fault.commit == nil {
		return changes
	}
	return d.fault.commit(changes)
}

// spoilBatch applies a deliberate fault to what a leader writes.
func (n *node) spoilBatch(batch []core.Write) []core.Write {
	if n.w.drains == nil || n.w.drains.fault.batch == nil {
		return batch
	}
	return n.w.drains.fault.batch(n, batch)
}
