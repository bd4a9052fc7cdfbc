package simulation

import (
	"time"

	"gingertally/internal/leadership"
)

// This file simulates the lease extension of package leadership: while the state service doesn't
// renew the leader's lease, the lease lasts for as long as all peers have agreed not to claim.

// extensionGranted records an extension that a peer has granted until a time by this node's clock.
func (n *node) extensionGranted(peer *node, until time.Time) {
	if n.holdsLease() && n.termLease.RecordExtension(peer.name, n.local(), until) {
		n.w.leaseExtensions++
	}
}

// mayClaim reports whether no extension that this node has granted can still be in force. A node
// that has just booted doesn't know what it granted before, so it waits as long as an extension
// lasts, unless there was no term yet. The version in production grants none and doesn't wait.
func (n *node) mayClaim() bool {
	if n.local().Before(n.candidacy.grantedUntil) {
		return false
	}
	led := n.w.store.items[leadership.TermKey] != nil
	return n.runsProduction || !led || n.local().Sub(n.bootedAt) >= leadership.ExtensionDuration
}

// requestExtensions asks all peers to extend the lease if the state service hasn't renewed it for a
// while. Nodes of the version in production don't support lease extensions.
func (n *node) requestExtensions() {
	if n.runsProduction || !n.termLease.NeedsExtension(n.local()) {
		return
	}
	for _, peer := range n.w.nodes {
		if peer != n && n.reaches(peer) {
			n.requestExtension(peer)
		}
	}
}

// requestExtension asks one peer for an extension. Since the request may be delayed, the extension
// counts from when the request was sent.
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

// grantExtension has this node agree not to claim for a while, and reports whether it agrees. It
// refuses if it leads, is claiming, or runs the version in production. If the state service serves
// it, it refuses most of the time, but not always, since safety doesn't depend on this refusal.
func (n *node) grantExtension() bool {
	if n.runsProduction || n.engine != nil || n.takeover != nil || n.candidacy.pendingClaim != 0 {
		return false
	}
	if served := !n.storeRefuses() && !n.cutOffFromStore(); served && !n.w.script.grantsWhileServed() && !n.w.chance(0.2) {
		return false
	}
	n.candidacy.grantedUntil = n.local().Add(leadership.ExtensionDuration)
	return true
}
