package core

import (
	"container/heap"
	"time"

	"gingertally/internal/core/fleet"
)

// watchList says when which machine is to be looked at next, so that a tick
// costs nothing for machines about which there is nothing to decide. Each
// machine has one valid entry, the one at its CheckAt.
type watchList []watchEntry

type watchEntry struct {
	at time.Time
	m  *fleet.Machine
}

func (w watchList) Len() int { return len(w) }
func (w watchList) Less(i, k int) bool {
	if !w[i].at.Equal(w[k].at) {
		return w[i].at.Before(w[k].at)
	}
	return w[i].m.Name < w[k].m.Name
}
func (w watchList) Swap(i, k int) { w[i], w[k] = w[k], w[i] }

// Push and Pop are container/heap's.
func (w *watchList) Push(x any) { *w = append(*w, x.(watchEntry)) }

// Pop removes the last entry.
func (w *watchList) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}

// set has a machine looked at, at the given time or earlier.
func (w *watchList) set(m *fleet.Machine, at time.Time) {
	if m.CheckAt.IsZero() || at.Before(m.CheckAt) {
		m.CheckAt = at
		heap.Push(w, watchEntry{at, m})
	}
}

// due returns a machine that is to be looked at by now, or nil.
func (w *watchList) due(now time.Time) *fleet.Machine {
	for len(*w) > 0 && !(*w)[0].at.After(now) {
		e := heap.Pop(w).(watchEntry)
		if e.m.CheckAt.Equal(e.at) && e.m.State() != fleet.Gone {
			e.m.CheckAt = time.Time{}
			return e.m
		}
	}
	return nil
}
