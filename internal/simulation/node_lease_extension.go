package simulation

import (
	"time"

	"gingertally/internal/leadership"
)

// Lease extension as in package leadership: while the state service doesn't renew the leader's lease, the lease lasts
// for as long as all peers have agreed not to claim.

// extensionGranted records a peer's extension. A lease that is still valid is extended to the earliest time that all
// peers have granted. One that has lapsed stays lapsed.
func (n *node) extensionGranted(peer *node, until time.Time) {
	if !n.holdsLease() {
		return
	}
	n.extensions[peer] = until
	for _, other := range n.w.nodes {
		if granted := n.extensions[other]; other != n && granted.Before(until) {
			until = granted
		}
	}
	if until.After(n.leaseUntil) {
		n.leaseUntil = until
		n.w.leaseExtensions++
	}
}

// mayClaim tells whether no extension that this node has granted can be in force any more, not even one from before it
// booted, of which it knows nothing.
func (n *node) mayClaim() bool {
	if n.local().Before(n.candidacy.grantedUntil) {
		return false
	}
	led := n.w.store.items[leadership.TermKey] != nil
	return n.runsProduction || !led || n.local().Sub(n.bootedAt) >= leadership.ExtensionDuration
}

// requestExtensions asks all peers to extend the lease if the state service doesn't renew it. Nodes of the version in
// production know of no lease extensions.
func (n *node) requestExtensions() {
	if n.runsProduction || n.leaseUntil.Sub(n.local()) >= n.w.options.LeaseTTL*5/8 {
		return
	}
	for _, peer := range n.w.nodes {
		if peer != n && n.reaches(peer) {
			n.requestExtension(peer)
		}
	}
}

// requestExtension asks one peer. The request may be delayed, so the extension counts from the time at which it was
// sent.
func (n *node) requestExtension(peer *node) {
	w, engine, incarnation, sent := n.w, n.engine, n.incarnation, n.local()
	there, back := w.between(time.Millisecond, 30*time.Millisecond), w.between(time.Millisecond, 30*time.Millisecond)
	if w.unreliable() && w.chance(0.05) {
		there += w.between(0, 5*time.Second) // delayed in the network
	}
	granted := func() {
		if n.engine == engine {
			n.extensionGranted(peer, sent.Add(leadership.CountedExtensionDuration))
		}
	}
	w.after(there, func() {
		peer.run(peer.incarnation, func() {
			if peer.grantExtension() && n.reaches(peer) {
				w.after(back, func() { n.run(incarnation, granted) })
			}
		})
	})
}

// grantExtension has this node agree not to claim for a while. Now and then it does so although the state service
// serves it, since safety doesn't depend on its refusal.
func (n *node) grantExtension() bool {
	if n.runsProduction || n.engine != nil || n.candidacy.pendingClaim != 0 {
		return false
	}
	if served := !n.storeDown() && !n.cutOff(); served && !n.w.script.grantsWhileServed() && !n.w.chance(0.2) {
		return false
	}
	n.candidacy.grantedUntil = n.local().Add(leadership.ExtensionDuration)
	return true
}
