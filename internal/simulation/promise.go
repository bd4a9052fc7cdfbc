package simulation

import (
	"time"

	"gingertally/internal/leadership"
)

// The promises of package leadership: while the state service doesn't renew a leader's
// lease, the others leave the place to it.

// promisedBy takes in a promise: the right is carried on, if it hasn't lapsed, to where all
// hold.
func (n *node) promisedBy(o *node, until time.Time) {
	if !n.entitled() {
		return
	}
	n.promises[o] = until
	for _, x := range n.w.nodes {
		if p := n.promises[x]; x != n && p.Before(until) {
			until = p
		}
	}
	if until.After(n.until) {
		n.until = until
		n.w.promised++
	}
}

// mayClaim tells whether this node has promised nothing, nor may have before its start.
func (n *node) mayClaim() bool {
	if n.local().Before(n.promised) {
		return false
	}
	led := n.w.store.items[leadership.TermKey] != nil
	return n.old || !led || n.local().Sub(n.booted) >= leadership.ExtensionFor
}

// askPromises asks all others, if the lease isn't renewed. Nodes of the version in
// production know nothing of promises.
func (n *node) askPromises() {
	if n.old || n.until.Sub(n.local()) >= n.w.o.LeaseTTL*5/8 {
		return
	}
	w, eng, life, sent := n.w, n.eng, n.life, n.local()
	for _, o := range w.nodes {
		if o == n || !n.reaches(o) {
			continue
		}
		there, back := w.between(time.Millisecond, 30*time.Millisecond), w.between(time.Millisecond, 30*time.Millisecond)
		if w.o.Faults && !w.noNet && w.chance(0.05) {
			there += w.between(0, 5*time.Second) // held up
		}
		w.after(there, func() {
			o.run(o.life, func() {
				if !o.promise() || !n.reaches(o) {
					return
				}
				w.after(back, func() {
					n.run(life, func() {
						if n.eng == eng {
							n.promisedBy(o, sent.Add(leadership.ExtensionCounted))
						}
					})
				})
			})
		})
	}
}

// promise has this node leave the place to the one that asks. Now and then it does so
// although the state service serves it: that nobody else leads doesn't rest on it.
func (n *node) promise() bool {
	if n.old || n.eng != nil || n.claiming != 0 {
		return false
	}
	if served := !n.storeDown() && !n.cutOff(); served && !n.w.script.promisesAnyway() && !n.w.chance(0.2) {
		return false
	}
	n.promised = n.local().Add(leadership.ExtensionFor)
	return true
}
