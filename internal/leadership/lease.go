package leadership

import "time"

// Two monotonic clocks drift by at most 0.05% each; 1/driftDivisor, 0.2%, is more than both together.
// timerStep allows for the coarse granularity of timers.
const (
	driftDivisor = 500
	timerStep    = 100 * time.Millisecond
)

// clockMargin returns how much earlier than the state service the holder treats a lease as expired.
func clockMargin(length time.Duration) time.Duration { return length/driftDivisor + timerStep }

// Lease is the leader lease as its holder sees it: the time until which the holder may act. The
// state service renews the lease; while it doesn't, all peers together may extend it. All times are
// passed in and come from the holder's own monotonic clock: a Lease reads no clock and does no I/O.
// It isn't safe for concurrent use.
//
// The safety argument is in docs/design.md, "Who may act", "Lease extension" and safety argument 1.
type Lease struct {
	length     time.Duration
	peers      []string // an extension counts only if all of them have granted one
	validUntil time.Time
	extensions map[string]time.Time // end of each peer's extension
	extended   bool                 // whether the peers have extended the lease since its last renewal
}

// NewLease returns a lease that isn't valid until RecordRenewal is called.
func NewLease(length time.Duration, peers []string) *Lease {
	return &Lease{length: length, peers: peers, extensions: map[string]time.Time{}}
}

// Valid returns whether the lease is valid at now, so that the holder may act.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.validUntil) }

// RecordRenewal records that the state service has granted or renewed the lease. Requested is when
// the holder asked for that; the state service keeps the lease for at least its full length from
// then on. A renewal that would shorten the lease has no effect.
func (l *Lease) RecordRenewal(requested time.Time) {
	until := requested.Add(l.length - clockMargin(l.length))
	if until.After(l.validUntil) {
		l.validUntil, l.extended = until, false
	}
}

// NeedsExtension returns whether the time left shows that renewals have failed: it is less than 5/8
// of the length, although the lease is renewed every quarter of its length.
func (l *Lease) NeedsExtension(now time.Time) bool { return l.validUntil.Sub(now) < l.length*5/8 }

// RecordExtension records that a peer extends the lease until a given time, and prolongs the lease to
// the earliest end of all peers' extensions. A lease that has lapsed stays invalid: another node may
// have led in the meantime, and only the state service can tell. First is true if this is the first
// time since the last renewal that the peers' extensions prolong the lease.
func (l *Lease) RecordExtension(peer string, now, until time.Time) (first bool) {
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

// Invalidate ends the lease at once and drops the peers' extensions.
func (l *Lease) Invalidate() {
	l.validUntil = time.Time{}
	clear(l.extensions)
}
