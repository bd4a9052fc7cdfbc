// Package health judges whether a controller can serve users: itself, or by forwarding their
// calls. It owns the times of the last contacts with the state service and with the other
// controllers; its callers are the clients of both, from any goroutine, and the health endpoint.
package health

import (
	"sync"
	"time"
)

const (
	// contactTimeout is how long a contact counts.
	contactTimeout = 4 * time.Second
	// outageTimeout is for how long a controller to which the state service answers only that
	// it can't serve, and that reaches no peer, still counts as one of many in an outage
	// rather than one that is cut off alone.
	outageTimeout = 30 * time.Second
)

// Tracker keeps the times of the last contacts.
type Tracker struct {
	mu           sync.Mutex
	storeServed  time.Time // when the state service last served a request
	storeRefused time.Time // when it last answered that it can't
	peerAnswered time.Time // when another controller last answered
}

// New makes the tracker of a controller that starts now: it has contactTimeout to make contact.
func New(now time.Time) *Tracker { return &Tracker{storeServed: now} }

// note moves the time of a last contact on, never back.
func (t *Tracker) note(last *time.Time, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(*last) {
		*last = now
	}
}

// StoreServed notes that the state service served a request.
func (t *Tracker) StoreServed(now time.Time) { t.note(&t.storeServed, now) }

// StoreRefused notes that the state service answered, but only that it can't serve.
func (t *Tracker) StoreRefused(now time.Time) { t.note(&t.storeRefused, now) }

// PeerAnswered notes that another controller answered.
func (t *Tracker) PeerAnswered(now time.Time) { t.note(&t.peerAnswered, now) }

// StoreFresh tells whether the state service has served this controller within the time.
func (t *Tracker) StoreFresh(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.storeServed) < within
}

// Serves tells whether users are well served here. An outage of the state service, which all
// controllers see, doesn't take one out of service: it reaches its peers, or is refused rather
// than left without an answer. A controller that reaches nobody is out (docs/design.md, "Safety
// arguments" 13; TestServes).
func (t *Tracker) Serves(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.storeServed) < contactTimeout || now.Sub(t.peerAnswered) < contactTimeout {
		return true
	}
	return now.Sub(t.storeRefused) < contactTimeout && now.Sub(t.storeServed) < outageTimeout
}
