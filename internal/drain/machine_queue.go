package drain

import (
	"slices"
	"time"
)

// queueRetryInterval is the pause after all machines of a queue were proposed and none could be
// cordoned, or none of them could be proposed.
const queueRetryInterval = 2 * time.Second

// machineQueue holds the machines that a plan has yet to cordon, in the order in which they are
// proposed: by name, followed by those that were deferred.
type machineQueue struct {
	names         []string
	queued        map[string]bool
	deferredFor   map[string]Verdict // why a machine was last deferred
	deferredInRow int                // deferrals since one was last cordoned, or since the last pause
	retryAt       time.Time          // nothing is proposed before that
	plansQueuing  map[string]int     // by machine, the number of queues that hold it; shared by all queues
}

func newMachineQueue(plansQueuing map[string]int) machineQueue {
	return machineQueue{queued: map[string]bool{}, deferredFor: map[string]Verdict{}, plansQueuing: plansQueuing}
}

// insert puts a machine into the queue, in the order of names. The deferred machines at the end aren't
// in that order, so the position is only approximate while there are any.
func (q *machineQueue) insert(name string) {
	at, _ := slices.BinarySearch(q.names, name)
	q.names = slices.Insert(q.names, at, name)
	q.markQueued(name)
}

// deferMachine puts a machine at the end. After as many deferrals in a row as the queue has machines,
// nothing is proposed for queueRetryInterval.
func (q *machineQueue) deferMachine(now time.Time, name string, reason Verdict) {
	q.names = append(q.without(name), name)
	q.markQueued(name)
	q.deferredFor[name] = reason
	if q.deferredInRow++; q.deferredInRow >= len(q.names) {
		q.deferredInRow, q.retryAt = 0, now.Add(queueRetryInterval)
	}
}

// remove takes a machine out of the queue, if it is in it.
func (q *machineQueue) remove(name string) {
	if q.queued[name] {
		q.names = q.without(name)
		q.markRemoved(name)
	}
}

// clear empties the queue.
func (q *machineQueue) clear() {
	for _, name := range q.names {
		q.markRemoved(name)
	}
	q.names = nil
}

func (q *machineQueue) without(name string) []string {
	return slices.DeleteFunc(q.names, func(o string) bool { return o == name })
}

func (q *machineQueue) markQueued(name string) {
	if !q.queued[name] {
		q.queued[name] = true
		q.plansQueuing[name]++
	}
}

func (q *machineQueue) markRemoved(name string) {
	delete(q.queued, name)
	delete(q.deferredFor, name)
	if q.plansQueuing[name]--; q.plansQueuing[name] == 0 {
		delete(q.plansQueuing, name)
	}
}
