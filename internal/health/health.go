// Package health judges whether a node can serve users: itself, or by passing
// their calls on.
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
	mu      sync.Mutex
	store   time.Time // the state service served a request
	refused time.Time // it answered that it can't
	peer    time.Time // another node answered
}

// New makes the tracker of a node that starts now.
func New(now time.Time) *Tracker { return &Tracker{store: now} }

func (t *Tracker) note(at *time.Time, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(*at) {
		*at = now
	}
}

// StoreServed notes that the state service served a request.
func (t *Tracker) StoreServed(now time.Time) { t.note(&t.store, now) }

// StoreRefused notes that the state service answered, but only that it can't serve.
func (t *Tracker) StoreRefused(now time.Time) { t.note(&t.refused, now) }

// PeerAnswered notes that another node answered.
func (t *Tracker) PeerAnswered(now time.Time) { t.note(&t.peer, now) }

// StoreFresh tells whether the state service has served this node of late.
func (t *Tracker) StoreFresh(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.store) < within
}

// Serves tells whether users are well served here. An outage of the state
// service, which all nodes see, doesn't take a node out: it reaches its peers, or
// is refused rather than unheard. A node that reaches nobody is out.
func (t *Tracker) Serves(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.store) < contactHolds || now.Sub(t.peer) < contactHolds {
		return true
	}
	return now.Sub(t.refused) < contactHolds && now.Sub(t.store) < outageHolds
}
