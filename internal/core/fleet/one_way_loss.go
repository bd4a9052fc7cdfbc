package fleet

import "time"

// OneWayLoss detects one-way loss of connectivity: a machine's heartbeats arrive, but the
// answers to them don't. The signs are commands of which the next heartbeat shows no
// trace, and a worker's lease that ends although its heartbeats were answered. It only
// withholds starts; it never proves an attempt gone (docs/design.md, safety argument
// 6; TestOneWayLoss, TestOneWayLossEnds).
type OneWayLoss struct {
	Expecting        bool      // the last answer asked for something that the next heartbeat must show
	FirstUndelivered time.Time // when the present run of undelivered answers was first noticed; zero: none
	LastUndelivered  time.Time // when the latest of them was noticed
	Undelivered      int       // answers in a row that were not delivered
}

// NoteDelivered resets the detection: an answer has shown its effect.
func (l *OneWayLoss) NoteDelivered() {
	l.FirstUndelivered, l.Undelivered, l.Expecting = time.Time{}, 0, false
}

// NoteUndelivered counts an answer that has shown no effect.
func (l *OneWayLoss) NoteUndelivered(now time.Time) {
	if l.FirstUndelivered.IsZero() {
		l.FirstUndelivered = now
	}
	l.LastUndelivered = now
	l.Undelivered++
	l.Expecting = false
}

// MustHaveDelivered tells whether a worker that is still in the same incarnation must have
// received an answer since the last undelivered one: its lease would have ended
// otherwise.
func (l *OneWayLoss) MustHaveDelivered(now time.Time, lease time.Duration) bool {
	return l.Undelivered > 0 && now.Sub(l.LastUndelivered) > LeaseBound(lease)+timerSlack
}
