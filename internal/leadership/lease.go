package leadership

import "time"

// Two steady clocks drift by 0.05% each, rounded up to 0.2% together, and timers have coarse steps.
const (
	driftDivisor = 500
	timerStep    = 100 * time.Millisecond
)

// clockMargin is how much shorter than its length the holder of a lease counts it.
func clockMargin(length time.Duration) time.Duration { return length/driftDivisor + timerStep }

// Lease is the leader's lease as its holder sees it: until when it may act. The state service renews
// it; while the state service renews nothing, all peers together may extend it. All times are those
// of the holder's own steady clock, and are passed in: a Lease reads no clock and does no input or
// output. It isn't safe for concurrent use.
//
// The safety argument is in docs/design.md, "Who may act", "Lease extension" and safety argument 1.
type Lease struct {
	length     time.Duration
	peers      []string // all of them have to extend the lease for an extension to count
	validUntil time.Time
	extensions map[string]time.Time // until when each peer extends it
	extended   bool                 // by the peers, since it was last renewed
}

// NewLease makes a lease that isn't valid yet.
func NewLease(length time.Duration, peers []string) *Lease {
	return &Lease{length: length, peers: peers, extensions: map[string]time.Time{}}
}

// Valid tells whether the holder may act.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.validUntil) }

// Renewed notes that the state service has renewed the lease. Requested is when the holder asked for
// that: the lease is valid for its full length from then on at the least.
func (l *Lease) Renewed(requested time.Time) {
	until := requested.Add(l.length - clockMargin(l.length))
	if until.After(l.validUntil) {
		l.validUntil, l.extended = until, false
	}
}

// NeedsExtension tells whether so little is left that renewals must have failed: less than 5/8 of
// the length, while the lease is renewed every quarter of it.
func (l *Lease) NeedsExtension(now time.Time) bool { return l.validUntil.Sub(now) < l.length*5/8 }

// Extended notes that a peer extends the lease until some time, and prolongs it to where all peers
// extend it. A lease that isn't valid any more stays so: another node may have led meanwhile, and
// only the state service can tell. First says that the peers have now extended the lease for the first
// time since it was last renewed.
func (l *Lease) Extended(peer string, now, until time.Time) (first bool) {
	if !l.Valid(now) {
		return false
	}
	l.extensions[peer] = until
	for _, other := range l.peers {
		if extension := l.extensions[other]; extension.Before(until) {
			until = extension
		}
	}
	if !until.After(l.validUntil) {
		return false
	}
	l.validUntil = until
	first = !l.extended
	l.extended = true
	return first
}

// Invalidate ends the lease at once.
func (l *Lease) Invalidate() {
	l.validUntil = time.Time{}
	clear(l.extensions)
}
