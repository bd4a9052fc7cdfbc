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

// admissionControl is a node's part in admission control. All of it is nil where that is off.
type admissionControl struct {
	gate         *admission.Gate
	planner      *admission.Planner // of the term that the node leads in
	plannerTerm  uint64
	latestPolicy admission.Policy // that is stored
}

// bootAdmission gives a process that has just started a gate without a policy.
func (n *node) bootAdmission() {
	n.gate, n.planner = nil, nil
	if n.w.admission == nil || n.runsProduction {
		return
	}
	n.gate = admission.NewGate(n.local(), admission.GateOptions{
		Teams: slices.Sorted(maps.Keys(n.w.teams)), JobsPerSecond: 4, PolicyAge: simulatedPolicyAge,
	})
	n.loop(n.incarnation, simulatedPolicyEvery, n.planAdmission)
	n.loop(n.incarnation, simulatedPolicyAge/3, n.keepPolicy)
}

// admits tells whether a node takes a job now, or after which time its user may come again. A known job is never
// refused.
func (n *node) admits(j *userJob) (again time.Duration, ok bool) {
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

// takePolicy offers a node a policy, which it takes if the policy is newer than its own.
func (n *node) takePolicy(p admission.Policy) {
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

// storedPolicy is the policy that the state service holds, as a node reads it.
func (n *node) storedPolicy() (p admission.Policy, ok bool) {
	item, found, err := n.storeView().Get(context.Background(), policyKey)
	if err != nil {
		return p, false
	}
	if found && codec.Unmarshal(item.Value, &p) != nil {
		n.w.checker.fail("the policy can't be read")
	}
	return p, true
}

// keepPolicy has a node that hears no leader read the policy from the state service.
func (n *node) keepPolicy() {
	if n.holdsLease() || n.cutOff() || n.local().Sub(n.gate.ConfirmedAt()) < simulatedPolicyAge/2 {
		return
	}
	if p, ok := n.storedPolicy(); ok {
		n.takePolicy(p)
	}
}

// planAdmission is the leader's round: it gathers what the gates have counted, plans a policy, stores it and sends it
// to all nodes.
func (n *node) planAdmission() {
	if !n.holdsLease() || n.cutOff() {
		return
	}
	if n.planner == nil || n.plannerTerm != n.term.Number {
		stored, ok := n.storedPolicy()
		if !ok {
			return
		}
		n.planner = admission.NewPlanner(n.local(), admission.PlannerOptions{
			Quotas: n.w.teams, Floor: simulatedFloor, EnterBacklog: simulatedEnter, ExitBacklog: simulatedExit,
			Interval: simulatedPolicyEvery,
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
			n.takePolicy(policy)
			n.step(core.FairOrderChanged{On: policy.Overloaded()})
			n.sendPolicy()
		}
	})
}

// sendPolicy sends the stored policy to all nodes, some late and some twice.
func (n *node) sendPolicy() {
	a, p := n.w.admission, n.latestPolicy
	for _, o := range n.w.nodes {
		if o == n || o.gate == nil || !n.reaches(o) {
			continue
		}
		incarnation := o.incarnation
		deliver := func(delay time.Duration) {
			n.w.after(delay, func() { o.run(incarnation, func() { o.takePolicy(p) }) })
		}
		deliver(a.between(time.Millisecond, 30*time.Millisecond))
		if n.w.unreliable() && a.rng.IntN(10) == 0 {
			deliver(a.between(time.Second, 10*time.Second))
		}
	}
}
