// Package health judges whether a node can serve users: itself, or by forwarding
// their calls.
package health

import (
	"sync"
	"time"
)

// How long a sign of contact holds, and for how long a node that the state
// service answers only with refusals, and that reaches no peer, still counts as
// one of many in an outage rather than one that is cut off alone.
const (
	contactHolds = 4 * time.Second
	outageHolds  = 30 * time.Second
)

// Tracker keeps the last signs of contact. A new node has a moment to make some.
type Tracker struct {
	mu           sync.Mutex
	storeServed  time.Time // when the state service last served a request
	storeRefused time.Time // when it last answered that it can't
	peerAnswered time.Time // when another node last answered
}

// New makes the tracker of a node that starts now.
func New(now time.Time) *Tracker { return &Tracker{storeServed: now} }

// note moves one of the last signs of contact on.
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

// PeerAnswered notes that another node answered.
func (t *Tracker) PeerAnswered(now time.Time) { t.note(&t.peerAnswered, now) }

// StoreFresh tells whether the state service has served this node of late.
func (t *Tracker) StoreFresh(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.storeServed) < within
}

// Serves tells whether users are well served here. An outage of the state
// service, which all nodes see, doesn't take a node out: it reaches its peers, or
// is refused rather than unheard. A node that reaches nobody is out (docs/design.md, "Safety
// arguments" 13; TestServes).
func (t *Tracker) Serves(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.storeServed) < contactHolds || now.Sub(t.peerAnswered) < contactHolds {
		return true
	}
	return now.Sub(t.storeRefused) < contactHolds && now.Sub(t.storeServed) < outageHolds
}
