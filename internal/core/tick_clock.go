package core

import "time"

// tickClock detects that this node's ticks are late. Its answers to heartbeats may then be late
// too; workers drop late answers, so missing effects of answers prove nothing about the machines.
type tickClock struct {
	last     time.Time // when the last tick came; zero if there was none
	laggedAt time.Time // when the last late tick came
}

const (
	// answerTimeout is after how long a worker stops waiting for an answer (PROTOCOL).
	answerTimeout = 4 * time.Second
	// lateTick is the longest time between two ticks at which this node doesn't count as slow. The
	// answers of a slow node may take longer than answerTimeout.
	lateTick = 500 * time.Millisecond
)

// tick notes a tick, and whether it is late.
func (c *tickClock) tick(now time.Time) {
	if !c.last.IsZero() && now.Sub(c.last) > lateTick {
		c.laggedAt = now
	}
	c.last = now
}

// sinceLast returns how long ago the last tick came.
func (c *tickClock) sinceLast(now time.Time) time.Duration { return now.Sub(c.last) }

// answersLate reports whether this node has recently been slow. Answers that workers dropped for
// being late, or that were sent to heartbeats that had been held up and arrived together, don't
// show that a machine receives nothing (TestSlowLeaderReleasesNone,
// TestHeartbeatsDeliveredTogether).
func (c *tickClock) answersLate(now time.Time, heartbeatInterval time.Duration) bool {
	return now.Sub(c.last) > lateTick || now.Sub(c.laggedAt) < answerTimeout+heartbeatInterval
}
