// Package health decides whether a controller can serve users, either itself or by forwarding their
// calls. It tracks when the controller last had contact with the state service and with the other
// controllers. The clients of both record contacts, and the health endpoint reads the result; a
// Tracker is safe for concurrent use.
package health

import (
	"sync"
	"time"
)

const (
	// contactTimeout is how long a contact counts as recent.
	contactTimeout = 4 * time.Second
	// outageTimeout is how long after the state service last served it a controller still counts
	// as healthy if the state service answers only that it can't serve, and no peer answers. Until
	// then this is taken for an outage that affects all controllers, after it for a fault of this
	// controller alone.
	outageTimeout = 30 * time.Second
)

// Tracker holds the times of the last contacts.
type Tracker struct {
	mu           sync.Mutex
	storeServed  time.Time // when the state service last served a request
	storeRefused time.Time // when it last answered that it can't
	peerAnswered time.Time // when another controller last answered
}

// New returns the tracker of a controller that starts at now, which counts as a contact with the
// state service: the controller has contactTimeout to make a real one.
func New(now time.Time) *Tracker { return &Tracker{storeServed: now} }

// advance moves the time of a last contact forward to now. It never moves it back.
func (t *Tracker) advance(last *time.Time, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(*last) {
		*last = now
	}
}

// StoreServed records that the state service served a request.
func (t *Tracker) StoreServed(now time.Time) { t.advance(&t.storeServed, now) }

// StoreRefused records that the state service answered, but only that it can't serve.
func (t *Tracker) StoreRefused(now time.Time) { t.advance(&t.storeRefused, now) }

// PeerAnswered records that another controller answered.
func (t *Tracker) PeerAnswered(now time.Time) { t.advance(&t.peerAnswered, now) }

// StoreServedWithin returns whether the state service has served this controller less than within ago.
func (t *Tracker) StoreServedWithin(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.storeServed) < within
}

// CanServe returns whether this controller can serve users. An outage of the state service, which
// affects all controllers, takes none of them out of service: a controller then still reaches its
// peers, or at least gets refusals from the state service rather than no answers, which counts for
// up to outageTimeout. A controller that reaches neither is out of service (docs/design.md, "Safety
// arguments" 13; TestServes).
func (t *Tracker) CanServe(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.storeServed) < contactTimeout || now.Sub(t.peerAnswered) < contactTimeout {
		return true
	}
	return now.Sub(t.storeRefused) < contactTimeout && now.Sub(t.storeServed) < outageTimeout
}
