package simulation

import (
	"time"

	"gingertally/internal/core"
)

// listInstances has the leader request the cloud's list of machines and pass it to its engine.
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

// scaleOut sends a request for machines to the cloud. The request may fail to arrive, and its
// answer may be lost; the outcome is then unknown.
func (n *node) scaleOut(r core.ScaleOut) {
	answer := n.cloudAnswer()
	n.w.after(n.w.between(50*time.Millisecond, 300*time.Millisecond), func() {
		if !n.w.network.reachable("", n.zone) {
			n.w.after(4*time.Second, func() { answer(core.ScaleOutAnswered{Request: r, OutcomeUnknown: true}) })
			return
		}
		names, noCapacity, ok := n.w.cloud.scaleOut(r)
		lost := n.w.unreliable() && n.w.chance(0.1)
		answer(core.ScaleOutAnswered{Request: r, Machines: names, NoCapacity: noCapacity, OutcomeUnknown: !ok || lost})
	})
}

// scaleIn sends the cloud a request to delete machines.
func (n *node) scaleIn(names []string) {
	answer := n.cloudAnswer()
	delay := n.w.between(50*time.Millisecond, 300*time.Millisecond)
	if n.w.unreliable() && (n.w.chance(0.05) || !n.w.network.reachable("", n.zone)) {
		// The answer is lost, and the machines are deleted at some later time.
		n.w.after(n.w.between(time.Second, 20*time.Second), func() { n.w.cloud.scaleIn(names) })
		n.w.after(4*time.Second, func() { answer(core.ScaleInAnswered{Machines: names}) })
		return
	}
	n.w.after(delay, func() { answer(core.ScaleInAnswered{Machines: names, OK: n.w.cloud.scaleIn(names)}) })
}

// cloudAnswer returns a function that passes the cloud's answer to the engine that sent the
// request, or drops the answer if that engine's term has ended by then.
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
