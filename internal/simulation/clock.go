package simulation

import (
	"container/heap"
	"time"
)

// clock is a world's simulated time and its queue of events. An event that runs may schedule
// others. Events of the same time run in the order in which they were scheduled, so a run depends
// on nothing but the seed.
type clock struct {
	start     time.Time
	now       time.Time
	queue     eventQueue
	scheduled int // number of events scheduled so far
}

// startTime is the simulated time at which every world begins.
var startTime = time.Unix(1_800_000_000, 0)

func newClock() clock { return clock{start: startTime, now: startTime} }

// after schedules fn to run when d has passed; a negative d counts as 0.
func (c *clock) after(d time.Duration, fn func()) {
	c.scheduled++
	heap.Push(&c.queue, event{c.now.Add(max(d, 0)), c.scheduled, fn})
}

// next removes the earliest event from the queue and advances the time to it. It returns false if
// the queue is empty or the earliest event is after the end; such an event is dropped.
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

// elapsed returns the time since the world began.
func (c *clock) elapsed() time.Duration { return c.now.Sub(c.start) }

// event is a function that runs at a given simulated time.
type event struct {
	at     time.Time
	number int // in the order in which events were scheduled
	fn     func()
}

// eventQueue is a heap of events with the earliest first. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, k int) bool {
	if !q[i].at.Equal(q[k].at) {
		return q[i].at.Before(q[k].at)
	}
	return q[i].number < q[k].number
}

func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event and returns it.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
