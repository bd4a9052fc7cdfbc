package core

import (
	"container/heap"
	"time"

	"gingertally/internal/core/fleet"
)

// timerQueue schedules the checks of machines, so that a tick costs nothing for machines whose
// check isn't due. Each machine has at most one valid timer, the one that expires at the time in
// valid; others stay in the queue and are ignored when they expire.
type timerQueue struct {
	timers timerHeap
	valid  map[*fleet.Machine]time.Time
}

type timer struct {
	at      time.Time
	machine *fleet.Machine
}

// schedule sets a machine's timer, unless its current timer expires no later.
func (q *timerQueue) schedule(m *fleet.Machine, at time.Time) {
	if present, scheduled := q.valid[m]; scheduled && !at.Before(present) {
		return
	}
	if q.valid == nil {
		q.valid = map[*fleet.Machine]time.Time{}
	}
	q.valid[m] = at
	heap.Push(&q.timers, timer{at, m})
}

// expired returns a machine whose timer has expired, and removes the timer. It returns nil if there
// is none.
func (q *timerQueue) expired(now time.Time) *fleet.Machine {
	for len(q.timers) > 0 && !q.timers[0].at.After(now) {
		t := heap.Pop(&q.timers).(timer)
		if at, scheduled := q.valid[t.machine]; !scheduled || !at.Equal(t.at) {
			continue
		}
		delete(q.valid, t.machine)
		if t.machine.State() != fleet.Removed {
			return t.machine
		}
	}
	return nil
}

// timerHeap orders timers by time, then by machine name. It implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, k int) bool {
	if !h[i].at.Equal(h[k].at) {
		return h[i].at.Before(h[k].at)
	}
	return h[i].machine.Name < h[k].machine.Name
}

func (h timerHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last timer.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
