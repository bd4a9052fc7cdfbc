package leadership

import (
	"context"
	"sync"
	"time"

	"gingertally/internal/wait"
)

// This file implements the extension of the leader lease by all peers.
//
// During an outage of the state service a leader can't renew its lease, and no node can tell
// whether the outage affects all nodes or only itself. So a leader whose lease isn't renewed asks
// every peer to extend it. A peer that grants an extension doesn't claim for ExtensionDuration. While
// the extensions of all peers are in force, no other node can claim, whether or not the lease still
// exists in the state service. An extension only prolongs a lease that is still valid: once the
// lease has lapsed, another node may have led in the meantime, and only the state service can tell.
//
// A node grants an extension only while the state service doesn't serve it either; the caller of
// GrantExtension checks that, and safety doesn't depend on it. A peer that can't be reached grants
// nothing. So a leader that is the only node cut off from the state service still loses its lease.
//
// The safety argument is in docs/design.md, "Lease extension"; it is tested by TestPeersExtendLease,
// TestExtensionBindsItsGrantors, TestNoExtensionWhileClaiming and TestStartedNodeWaits.

const (
	// ExtensionDuration is how long an extension lasts from when a peer grants it. A node that has just
	// started must not claim for the same time, since it may have granted one before its restart.
	ExtensionDuration = 1500 * time.Millisecond
	// extensionInterval is how often the leader asks for extensions while it needs them, and
	// extensionTimeout how long it waits for the answers.
	extensionInterval = 300 * time.Millisecond
	extensionTimeout  = 700 * time.Millisecond
)

// CountedExtensionDuration is how long an extension counts for the leader, from the time just before it
// sent the request. It is ExtensionDuration less the drift between two clocks and the granularity of
// timers.
const CountedExtensionDuration = ExtensionDuration - ExtensionDuration/driftDivisor - timerStep

// extendLease asks the peers to extend a term's lease, until ctx ends, whenever the state service
// doesn't renew it. It returns at once if extensions are disabled.
func (e *Elector) extendLease(ctx context.Context, lease *TermLease) {
	if !e.options.PeerExtensions {
		return
	}
	for wait.Sleep(ctx, extensionInterval) {
		if lease.NeedsExtension(time.Now()) {
			e.requestExtensions(ctx, lease)
		}
	}
}

// requestExtensions asks all peers in parallel to extend the lease, and records the extensions
// granted.
func (e *Elector) requestExtensions(ctx context.Context, lease *TermLease) {
	ctx, cancel := context.WithTimeout(ctx, extensionTimeout)
	defer cancel()
	requested := time.Now()
	var requests sync.WaitGroup
	for _, peer := range e.options.Others {
		requests.Go(func() {
			if e.node.RequestExtension(ctx, peer) {
				lease.RecordExtension(peer, time.Now(), requested.Add(CountedExtensionDuration))
			}
		})
	}
	requests.Wait()
}

// extensionGrants holds the lease extensions that this node has granted to leaders, during which it
// must not claim.
type extensionGrants struct {
	grantedUntil time.Time // end of the last extension that this process has granted
	startedAt    time.Time // start of this process; an earlier one may have granted an extension
}

// grant records an extension that begins now.
func (g *extensionGrants) grant(now time.Time) { g.grantedUntil = now.Add(ExtensionDuration) }

// inForce returns whether an extension that this process has granted is still in force.
func (g *extensionGrants) inForce(now time.Time) bool { return now.Before(g.grantedUntil) }

// earlierMayBeInForce returns whether an extension that this node granted before its process started
// may still be in force.
func (g *extensionGrants) earlierMayBeInForce(now time.Time) bool {
	return now.Sub(g.startedAt) < ExtensionDuration
}

// GrantExtension extends the leader's lease: this node doesn't claim for ExtensionDuration. It returns
// false, and grants nothing, if this node itself leads or is claiming.
func (e *Elector) GrantExtension() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leading || e.role == Claiming {
		return false
	}
	e.grants.grant(time.Now())
	return true
}

// mayClaim returns whether this node may claim now. If so, it makes the node Claiming, so that the
// node grants no extension from then on. A node that has just started may not claim until any
// extension from before its start has ended, unless there has never been a leader.
func (e *Elector) mayClaim(ctx context.Context) bool {
	if e.mayHaveExtendedBeforeStart() {
		if _, found, err := e.store.Get(ctx, TermKey); err != nil || found {
			return false
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.grants.inForce(time.Now()) {
		return false
	}
	e.setRoleLocked(Claiming)
	return true
}

// mayHaveExtendedBeforeStart returns whether peers extend leases in this deployment and an extension
// that this node granted before its process started may still be in force.
func (e *Elector) mayHaveExtendedBeforeStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.PeerExtensions && len(e.options.Others) > 0 && e.grants.earlierMayBeInForce(time.Now())
}
