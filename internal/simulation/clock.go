package simulation

import (
	"container/heap"
	"time"
)

// clock is a world's simulated time: a queue of events, each of which happens at its time and may plan others.
// Events of the same time happen in the order in which they were planned, so a run depends on nothing but the
// seed.
type clock struct {
	start   time.Time
	now     time.Time
	queue   eventQueue
	planned int // events so far
}

// startTime is when all worlds begin.
var startTime = time.Unix(1_800_000_000, 0)

func newClock() clock { return clock{start: startTime, now: startTime} }

// after runs fn once some time has passed.
func (c *clock) after(d time.Duration, fn func()) {
	c.planned++
	heap.Push(&c.queue, event{c.now.Add(max(d, 0)), c.planned, fn})
}

// next takes the next event out of the queue and sets the time to it. It returns false if there is none until
// the end.
func (c *clock) next(end time.Time) (event, bool) {
	if len(c.queue) == 0 {
		return event{}, false
	}
	e := heap.Pop(&c.queue).(event)
	if e.at.After(end) {
		return event{}, false
	}
	c.now = e.at
	return e, true
}

// elapsed is the time since the world began.
func (c *clock) elapsed() time.Duration { return c.now.Sub(c.start) }

// event is something that happens in a world at some time.
type event struct {
	at     time.Time
	number int // in the order in which events were planned
	fn     func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, k int) bool {
	if !q[i].at.Equal(q[k].at) {
		return q[i].at.Before(q[k].at)
	}
	return q[i].number < q[k].number
}

func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push adds an event at the end.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event out.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
