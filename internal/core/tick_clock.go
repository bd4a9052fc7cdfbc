package core

import "time"

// tickClock follows whether this node's ticks come in time: answers that are given late are
// dropped by workers, and then say nothing about the machines.
type tickClock struct {
	last     time.Time // when the last tick came; zero: none has
	laggedAt time.Time // when a tick last came too late
}

// answerTimeout is after how long a worker drops an answer (PROTOCOL). A node whose ticks
// come lateTick late may be answering so late.
const (
	answerTimeout = 4 * time.Second
	lateTick      = 500 * time.Millisecond
)

// tick notes a tick.
func (c *tickClock) tick(now time.Time) {
	if !c.last.IsZero() && now.Sub(c.last) > lateTick {
		c.laggedAt = now
	}
	c.last = now
}

// sinceLast is how long ago the last tick came.
func (c *tickClock) sinceLast(now time.Time) time.Duration { return now.Sub(c.last) }

// answersLate reports whether this node has been slow of late: answers that workers drop for
// being late, or that meet heartbeats held back and delivered together, are no sign that a
// machine receives nothing (TestSlowLeaderReleasesNone, TestHeartbeatsDeliveredTogether).
func (c *tickClock) answersLate(now time.Time, heartbeatInterval time.Duration) bool {
	return now.Sub(c.last) > lateTick || now.Sub(c.laggedAt) < answerTimeout+heartbeatInterval
}
