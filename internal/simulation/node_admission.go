package simulation

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
	"gingertally/internal/userapi"
)

// admissionControl is a node's state of admission control. The gate and the planner are nil if
// admission control is off.
type admissionControl struct {
	gate         *admission.Gate
	planner      *admission.Planner // of the last term in which the node led and planned
	plannerTerm  uint64
	latestPolicy admission.Policy // the newest stored one that the node knows as leader
}

// bootAdmission gives a process that has just started a new gate, which has no policy yet. Nodes of
// the version in production get none.
func (n *node) bootAdmission() {
	n.gate, n.planner = nil, nil
	if n.w.admission == nil || n.runsProduction {
		return
	}
	n.gate = admission.NewGate(n.local(), admission.GateOptions{
		Teams: slices.Sorted(maps.Keys(n.w.teams)), JobsPerSecond: 4, PolicyAge: simulatedPolicyAge,
	})
	n.loop(n.incarnation, simulatedPolicyInterval, n.planAdmission)
	n.loop(n.incarnation, simulatedPolicyAge/3, n.refreshPolicy)
}

// admits reports whether the node admits a submission; if not, it returns how long the user has to
// wait before the next attempt. A job that is already stored is never refused.
func (n *node) admits(j *userJob) (retryAfter time.Duration, ok bool) {
	if n.gate == nil || n.w.store.holdsJob(j.spec.Ref) {
		return 0, true
	}
	d := n.gate.Decide(n.local(), admission.Submission{Job: j.spec.Ref, Spec: &j.spec})
	if d.Admitted {
		n.w.admission.counts["admitted"]++
		return 0, true
	}
	n.w.admission.counts["refused: "+d.Reason.String()]++
	n.w.output.userAnswer(n, j.spec.Ref, userapi.Answer{
		Status: http.StatusTooManyRequests, Body: d.Reason.String(), RetryAfter: d.RetryAfter,
	})
	n.w.checker.observe(submissionRefused{d.RetryAfter})
	return d.RetryAfter, false
}

// applyPolicy makes a policy the node's own if it is newer, or confirms it if it is the current
// one.
func (n *node) applyPolicy(p admission.Policy) {
	a, before := n.w.admission, *n.gate.Policy()
	if n.gate.Apply(n.local(), p) {
		a.counts["policies taken"]++
	} else {
		a.counts["policies not taken"]++
	}
	n.w.checker.observe(policyOffered{n, before, p})
	if n.gate.InFallback(n.local()) {
		a.counts["fallbacks"]++
	}
}

// storedPolicy reads the policy from the state service; without a stored one it returns the zero
// policy. It returns false if the read fails.
func (n *node) storedPolicy() (p admission.Policy, ok bool) {
	item, found, err := n.storeView().Get(context.Background(), policyKey)
	if err != nil {
		return p, false
	}
	if found && codec.Unmarshal(item.Value, &p) != nil {
		n.w.checker.fail("the stored admission policy can't be decoded")
	}
	return p, true
}

// refreshPolicy reads the policy from the state service if the node doesn't lead and its policy
// hasn't been confirmed for a while.
func (n *node) refreshPolicy() {
	if n.holdsLease() || n.cutOffFromStore() || n.local().Sub(n.gate.ConfirmedAt()) < simulatedPolicyAge/2 {
		return
	}
	if p, ok := n.storedPolicy(); ok {
		n.applyPolicy(p)
	}
}

// planAdmission is the leader's periodic planning of admission control: it collects the counts of
// all gates and plans a policy. A new policy is stored first and then sent to all nodes; an
// unchanged one is only sent again.
func (n *node) planAdmission() {
	if !n.holdsLease() || n.cutOffFromStore() {
		return
	}
	if n.planner == nil || n.plannerTerm != n.term.Number {
		stored, ok := n.storedPolicy()
		if !ok {
			return
		}
		n.planner = admission.NewPlanner(n.local(), admission.PlannerOptions{
			Quotas: n.w.teams, Floor: simulatedFloor, EnterBacklog: simulatedEnterBacklog, ExitBacklog: simulatedExitBacklog,
			Interval: simulatedPolicyInterval,
		}, n.term.Number, stored)
		n.plannerTerm, n.latestPolicy = n.term.Number, stored
	}
	load := n.engine.Load(n.local())
	batches := []admission.Batch{n.gate.CollectCounts(n.local())}
	for _, o := range n.w.nodes {
		if o != n && o.gate != nil && n.reaches(o) {
			batches = append(batches, o.gate.CollectCounts(o.local()))
		}
	}
	if !load.Settled {
		return
	}
	policy, changed := n.planner.Plan(n.local(), admission.Load{Backlog: load.Backlog, Batches: batches,
		Capacity: admission.Capacity{CPUs: load.Capacity.CPUs, GPUs: load.Capacity.GPUs, MemGB: load.Capacity.MemGB, JobsPerSecond: 20}})
	if !changed {
		n.sendPolicy()
		return
	}
	engine, term, view := n.engine, n.term, n.storeView()
	stored := false
	n.call(func() {
		_, err := view.Commit(context.Background(), []statestore.Compare{jobstore.UnderTerm(term)},
			[]statestore.Op{statestore.Put(policyKey, codec.MustMarshal(policy))})
		stored = err == nil
	}, func() {
		if stored && n.engine == engine && n.holdsLease() {
			n.w.admission.counts["policies stored"]++
			n.latestPolicy = policy
			n.applyPolicy(policy)
			n.step(core.FairOrderChanged{On: policy.Overloaded()})
			n.sendPolicy()
		}
	})
}

// sendPolicy sends the stored policy to all other nodes that can be reached. In an unreliable
// network some get it a second time, late.
func (n *node) sendPolicy() {
	a, p := n.w.admission, n.latestPolicy
	for _, o := range n.w.nodes {
		if o == n || o.gate == nil || !n.reaches(o) {
			continue
		}
		incarnation := o.incarnation
		deliver := func(delay time.Duration) {
			n.w.after(delay, func() { o.run(incarnation, func() { o.applyPolicy(p) }) })
		}
		deliver(a.between(time.Millisecond, 30*time.Millisecond))
		if n.w.unreliable() && a.rng.IntN(10) == 0 {
			deliver(a.between(time.Second, 10*time.Second))
		}
	}
}
