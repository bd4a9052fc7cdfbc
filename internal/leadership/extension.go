package leadership

import (
	"context"
	"sync"
	"time"

	"gingertally/internal/wait"
)

// Extension of the leader's lease by all peers.
//
// While the state service is out for all, a leader can't renew its lease, and a node
// can't tell an outage from a refusal that it alone gets. So a leader whose lease isn't
// renewed asks every peer to extend it: a peer that does claims nothing itself for
// ExtensionFor. While every one of them does, nobody else can claim, whether or not the
// lease still stands in the state service. An extension only prolongs a valid lease:
// once that has lapsed, another node may have led meanwhile, and only the state service
// can tell. A node extends only while the state service doesn't serve it either (its caller
// sees to that; safety doesn't rest on it), and a node that can't be reached
// extends nothing, so a leader that is cut off alone loses its lease all the same.
//
// The argument is in docs/design.md, "Lease extension"; TestPeersExtendLease,
// TestExtensionBindsItsGrantors, TestNoExtensionWhileClaiming and TestStartedNodeWaits
// hold it.

const (
	// ExtensionFor is how long a peer extends the leader's lease, and how long a node
	// that has just started claims nothing, since it may have extended one before its
	// end.
	ExtensionFor = 1500 * time.Millisecond
	// extensionEvery is how often extensions are asked for anew, extensionTimeout how
	// long an answer is waited for.
	extensionEvery   = 300 * time.Millisecond
	extensionTimeout = 700 * time.Millisecond
)

// ExtensionCounted is how long the leader counts on an extension, from before it asked
// for it: what two clocks may drift is taken off.
const ExtensionCounted = ExtensionFor - ExtensionFor/driftDivisor - timerStep

// extendLease has the peers extend the lease while this node leads and the state
// service doesn't renew it.
func (e *Elector) extendLease(ctx context.Context) {
	if !e.options.PeerExtensions {
		return
	}
	for ctx.Err() == nil {
		wait.Sleep(ctx, extensionEvery)
		if e.needsExtension() {
			e.requestExtensions(ctx)
		}
	}
}

func (e *Elector) needsExtension() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role == Leading && !e.resigning && e.lease.NeedsExtension(time.Now())
}

// requestExtensions asks all peers at once.
func (e *Elector) requestExtensions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, extensionTimeout)
	defer cancel()
	requested := time.Now()
	var requests sync.WaitGroup
	for _, peer := range e.options.Others {
		requests.Go(func() {
			if e.node.RequestExtension(ctx, peer) {
				e.extended(peer, requested.Add(ExtensionCounted))
			}
		})
	}
	requests.Wait()
}

// extended notes one peer's extension of the lease.
func (e *Elector) extended(peer string, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != Leading || e.resigning {
		return
	}
	if first := e.lease.Extended(peer, time.Now(), until); first {
		e.log.Warn("leader lease extended by peers", "term", e.term.Number)
	}
}

// extensionGrants is until when a node has agreed to claim nothing.
type extensionGrants struct {
	grantedUntil time.Time // it has extended the leader's lease until then
	startedAt    time.Time // it may have extended one before its process started
}

// grant extends the leader's lease.
func (g *extensionGrants) grant(now time.Time) { g.grantedUntil = now.Add(ExtensionFor) }

// inForce tells whether an extension that this process has granted still holds.
func (g *extensionGrants) inForce(now time.Time) bool { return now.Before(g.grantedUntil) }

// maybeBeforeStart tells whether an extension that was granted before the process started may still
// hold.
func (g *extensionGrants) maybeBeforeStart(now time.Time) bool {
	return now.Sub(g.startedAt) < ExtensionFor
}

// GrantExtension has this node extend the leader's lease: it claims nothing for
// ExtensionFor. False if it leads itself or is about to.
func (e *Elector) GrantExtension() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leading || e.role == Claiming {
		return false
	}
	e.grants.grant(time.Now())
	return true
}

// mayClaim tells whether this node may claim now, and makes it Claiming if so: from
// then on it extends nobody's lease. One that has just started waits, unless nobody
// has ever led.
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
	e.moveLocked(Claiming)
	return true
}

// mayHaveExtendedBeforeStart tells whether an extension that this node granted before
// its process started may still hold.
func (e *Elector) mayHaveExtendedBeforeStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.PeerExtensions && len(e.options.Others) > 0 && e.grants.maybeBeforeStart(time.Now())
}
