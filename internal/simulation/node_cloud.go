package simulation

import (
	"time"

	"gingertally/internal/core"
)

// listInstances has the leader list the cloud's machines.
func (n *node) listInstances() {
	if !n.holdsLease() {
		return
	}
	engine := n.engine
	list, ok := n.w.cloud.list()
	ok = ok && n.w.network.reachable("", n.zone)
	incarnation := n.incarnation
	n.w.after(n.w.between(50*time.Millisecond, 300*time.Millisecond), func() {
		n.run(incarnation, func() {
			if ok && n.engine == engine && n.holdsLease() {
				n.step(core.InstancesListed{Instances: list})
			}
		})
	})
}

// scaleOut sends a request for machines to the cloud. Its answer may be lost.
func (n *node) scaleOut(r core.ScaleOut) {
	answer := n.cloudAnswer()
	n.w.after(n.w.between(50*time.Millisecond, 300*time.Millisecond), func() {
		if !n.w.network.reachable("", n.zone) {
			n.w.after(4*time.Second, func() { answer(core.ScaleOutAnswered{Request: r, OutcomeUnknown: true}) })
			return
		}
		names, refused, ok := n.w.cloud.scaleOut(r)
		lost := n.w.unreliable() && n.w.chance(0.1)
		answer(core.ScaleOutAnswered{Request: r, Machines: names, NoCapacity: refused, OutcomeUnknown: !ok || lost})
	})
}

// scaleIn has the cloud delete machines.
func (n *node) scaleIn(names []string) {
	answer := n.cloudAnswer()
	delay := n.w.between(50*time.Millisecond, 300*time.Millisecond)
	if n.w.unreliable() && (n.w.chance(0.05) || !n.w.network.reachable("", n.zone)) {
		// The answer is lost, and the deletion happens at some later time.
		n.w.after(n.w.between(time.Second, 20*time.Second), func() { n.w.cloud.scaleIn(names) })
		n.w.after(4*time.Second, func() { answer(core.ScaleInAnswered{Machines: names}) })
		return
	}
	n.w.after(delay, func() { answer(core.ScaleInAnswered{Machines: names, OK: n.w.cloud.scaleIn(names)}) })
}

// cloudAnswer returns a function that brings an answer of the cloud to the engine that has asked, if that still leads.
func (n *node) cloudAnswer() func(core.Event) {
	engine, incarnation := n.engine, n.incarnation
	return func(ev core.Event) {
		n.run(incarnation, func() {
			if n.engine == engine && n.engine != nil {
				n.step(ev)
			}
		})
	}
}
