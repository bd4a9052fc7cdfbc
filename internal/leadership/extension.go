package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Extension of the leader's lease by all peers.
//
// While the state service is out for all, a leader can't renew its lease, and a node
// can't tell an outage from a refusal that it alone gets. So a leader whose lease isn't
// renewed asks every peer to extend it: a peer that does claims nothing itself for
// ExtensionFor. While every one of them does, nobody else can claim, whether or not the
// lease still stands in the state service. An extension only prolongs a valid lease:
// once that has lapsed, another node may have led meanwhile, and only the state service
// can tell. A node extends only while the state service doesn't serve it either (the
// daemon sees to that; safety doesn't rest on it), and a node that can't be reached
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

// extendedMessage is the log's line when the peers first extend a lease. Operators know
// it (docs/operating.md), so its words stay as an earlier version had them.
const extendedMessage = "the state service doesn't renew the lease; going on by the others' promises"

// needsExtension tells whether so little of a lease is left that renewals have failed:
// less than 5/8 of its length, while it is renewed every quarter.
func needsExtension(left, length time.Duration) bool { return left < length*5/8 }

// extendLease has the peers extend the lease, while this node leads and the state
// service doesn't renew it.
func (e *Elector) extendLease(ctx context.Context) {
	if e.options.Hooks.RequestExtension == nil {
		return
	}
	for ctx.Err() == nil {
		pause(ctx, extensionEvery)
		e.mu.Lock()
		needed := e.role == Leading && !e.resigning && needsExtension(time.Until(e.validUntil), e.options.TTL)
		e.mu.Unlock()
		if needed {
			e.requestExtensions(ctx)
		}
	}
}

// requestExtensions asks all peers at once.
func (e *Elector) requestExtensions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, extensionTimeout)
	defer cancel()
	sent := time.Now()
	var requests sync.WaitGroup
	for _, peer := range e.options.Others {
		requests.Go(func() {
			if e.options.Hooks.RequestExtension(ctx, peer) {
				e.extensionGranted(peer, time.Now(), sent.Add(ExtensionCounted))
			}
		})
	}
	requests.Wait()
}

// extensionGranted notes one peer's extension, and prolongs the lease to where all
// peers extend it, unless it has lapsed.
func (e *Elector) extensionGranted(peer string, now, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != Leading || e.resigning || !now.Before(e.validUntil) {
		return
	}
	e.extensions[peer] = until
	for _, other := range e.options.Others {
		if granted := e.extensions[other]; granted.Before(until) {
			until = granted
		}
	}
	if !until.After(e.validUntil) {
		return
	}
	e.validUntil = until
	if !e.extended {
		slog.Warn(extendedMessage, "term", e.term.Number)
	}
	e.extended = true
}

// GrantExtension has this node extend the leader's lease: it claims nothing for
// ExtensionFor. False if it leads itself or is about to.
func (e *Elector) GrantExtension() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leading || e.role == Claiming {
		return false
	}
	e.yieldsUntil = time.Now().Add(ExtensionFor)
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
	if time.Now().Before(e.yieldsUntil) {
		return false
	}
	e.moveLocked(Claiming)
	return true
}

// mayHaveExtendedBeforeStart tells whether an extension that this node granted before
// its process started may still hold.
func (e *Elector) mayHaveExtendedBeforeStart() bool {
	return time.Since(e.startedAt) < ExtensionFor && e.options.Hooks.RequestExtension != nil && len(e.options.Others) > 0
}
