package fleet

import "time"

// OneWayLoss detects one-way loss of connectivity: a machine's heartbeats arrive, but the
// answers to them don't. The signs are commands of which the next heartbeat shows no
// trace, and a worker's lease that ends although its heartbeats were answered. It only
// withholds starts; it never proves an attempt gone (docs/design.md, safety argument
// 6; TestOneWayLoss, TestOneWayLossEnds).
type OneWayLoss struct {
	expecting        bool      // the last answer asked for something that the next heartbeat must show
	firstUndelivered time.Time // when the present run of undelivered answers was first noticed; zero: none
	lastUndelivered  time.Time // when the latest of them was noticed
	undelivered      int       // answers in a row that were not delivered
}

// unreachableAfter is how many answers in a row must be lost for a machine to count as
// unreachable: one may be lost by chance.
const unreachableAfter = 2

// Expect notes whether the answer that is being sent must show an effect in the next heartbeat.
func (l *OneWayLoss) Expect(effect bool) { l.expecting = effect }

// Expecting reports whether the next heartbeat must show an effect of the last answer.
func (l *OneWayLoss) Expecting() bool { return l.expecting }

// Unreachable reports whether answers to the machine's heartbeats are taken to be lost.
func (l *OneWayLoss) Unreachable() bool { return l.undelivered >= unreachableAfter }

// FirstUndelivered is when the present run of undelivered answers was noticed; zero without one.
func (l *OneWayLoss) FirstUndelivered() time.Time { return l.firstUndelivered }

// LastUndelivered is when an undelivered answer was last noticed.
func (l *OneWayLoss) LastUndelivered() time.Time { return l.lastUndelivered }

// Undelivered counts the answers in a row that were not delivered.
func (l *OneWayLoss) Undelivered() int { return l.undelivered }

// NoteDelivered resets the detection: an answer has shown its effect.
func (l *OneWayLoss) NoteDelivered() {
	l.firstUndelivered, l.undelivered, l.expecting = time.Time{}, 0, false
}

// NoteUndelivered counts an answer that has shown no effect.
func (l *OneWayLoss) NoteUndelivered(now time.Time) {
	if l.firstUndelivered.IsZero() {
		l.firstUndelivered = now
	}
	l.lastUndelivered = now
	l.undelivered++
	l.expecting = false
}

// MustHaveDelivered reports whether a worker that is still in the same incarnation must have
// received an answer since the last undelivered one: its lease would have ended
// otherwise.
func (l *OneWayLoss) MustHaveDelivered(now time.Time, lease time.Duration) bool {
	return l.undelivered > 0 && now.Sub(l.lastUndelivered) > LeaseBound(lease)+timerSlack
}
