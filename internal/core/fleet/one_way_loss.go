package fleet

import "time"

// OneWayLoss detects one-way loss of connectivity: a machine's heartbeats arrive, but the
// answers to them don't. The signs are commands that have no effect in the next heartbeat, and a
// worker's lease that ends although its heartbeats were answered. The loss only withholds starts
// from the machine; it never proves an attempt gone (docs/design.md, safety argument 6;
// TestOneWayLoss, TestOneWayLossEnds).
type OneWayLoss struct {
	expecting        bool      // the next heartbeat must show an effect of the last answer
	firstUndelivered time.Time // when the first of the present run of lost answers was detected; zero: none
	lastUndelivered  time.Time // when the last of them was detected
	undelivered      int       // consecutive answers that weren't delivered
}

// unreachableAfter is the number of consecutive lost answers after which a machine counts as
// unreachable. A single one may be lost by chance.
const unreachableAfter = 2

// Expect sets whether the next heartbeat must show an effect of the answer that is being sent.
func (l *OneWayLoss) Expect(effect bool) { l.expecting = effect }

// Expecting reports whether the next heartbeat must show an effect of the last answer.
func (l *OneWayLoss) Expecting() bool { return l.expecting }

// Unreachable reports whether the answers to the machine's heartbeats are considered lost.
func (l *OneWayLoss) Unreachable() bool { return l.undelivered >= unreachableAfter }

// FirstUndelivered returns when the first of the present run of undelivered answers was detected;
// zero if there is none.
func (l *OneWayLoss) FirstUndelivered() time.Time { return l.firstUndelivered }

// LastUndelivered returns when an undelivered answer was last detected.
func (l *OneWayLoss) LastUndelivered() time.Time { return l.lastUndelivered }

// Undelivered returns the number of consecutive answers that weren't delivered.
func (l *OneWayLoss) Undelivered() int { return l.undelivered }

// NoteDelivered resets the detection, since an answer is known to have arrived.
func (l *OneWayLoss) NoteDelivered() {
	l.firstUndelivered, l.undelivered, l.expecting = time.Time{}, 0, false
}

// NoteUndelivered counts an answer that is taken to be lost.
func (l *OneWayLoss) NoteUndelivered(now time.Time) {
	if l.firstUndelivered.IsZero() {
		l.firstUndelivered = now
	}
	l.lastUndelivered = now
	l.undelivered++
	l.expecting = false
}

// MustHaveDelivered reports whether a worker that is still in the same incarnation must have
// received an answer after the last undelivered one, since its lease would have ended otherwise.
func (l *OneWayLoss) MustHaveDelivered(now time.Time, lease time.Duration) bool {
	return l.undelivered > 0 && now.Sub(l.lastUndelivered) > LeaseBound(lease)+timerSlack
}
