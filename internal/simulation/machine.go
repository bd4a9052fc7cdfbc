package simulation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gingertally/internal/core/fleet"
)

// machine is a cloud instance and the worker on it.
type machine struct {
	w         *World
	name, typ string
	zone      string
	spot      bool
	createdAt time.Time
	clockRate float64 // of its monotonic clock

	machineFaults
	isUp, dead    bool
	workerProcess int // incremented when its worker restarts
	workerState
	tasks  map[string]*task // by attempt
	images map[string]bool
}

// machineFaults holds the faults of a machine.
type machineFaults struct {
	hungUntil       time.Time
	faulty          bool           // tasks that run on it fail
	failures        int            // how many tasks have failed on it
	failedAt        time.Time      // when a task last failed on it
	inboundLost     bool           // its heartbeats arrive, but messages to it are lost
	outboundLost    bool           // its heartbeats are lost, but direct commands reach it
	partitionedFrom map[*node]bool // controllers that it can't exchange messages with
	interruptionAt  time.Time      // when the cloud reclaims it; zero: no notice so far
}

// workerState is a worker's state towards the controllers.
type workerState struct {
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64
	target         int       // index of the node that it sends its heartbeats to
	outstanding    uint64    // sequence of the heartbeat whose answer it waits for, 0: none
	lastHeartbeat  time.Time // when it sent the last one
	lastAnsweredAt time.Time // when the last answered heartbeat was sent, by its own clock
}

// local returns the time of the machine's monotonic clock.
func (m *machine) local() time.Time {
	return m.w.start.Add(time.Duration(float64(m.w.elapsed()) * m.clockRate))
}

// later runs fn on the machine after a delay. While the machine hangs, fn waits until it resumes;
// once the machine is gone, fn doesn't run.
func (m *machine) later(d time.Duration, fn func()) {
	m.w.after(d, func() {
		if m.dead {
			return
		}
		if m.w.now.Before(m.hungUntil) {
			m.later(m.hungUntil.Sub(m.w.now)+m.w.between(0, 100*time.Millisecond), fn)
			return
		}
		fn()
	})
}

// startWorker starts the worker of a machine that has booted.
func (m *machine) startWorker() {
	if m.dead {
		return
	}
	m.isUp, m.incarnation, m.lastAnsweredAt = true, 1, m.local()
	m.target = m.w.rng.IntN(len(m.w.nodes))
	m.partitionedFrom = map[*node]bool{}
	m.leaseLoop()
	m.heartbeatLoop()
}

// leaseLoop ends the worker's tasks and begins a new incarnation when no heartbeat was answered
// within the lease. A task must not outlive its lease even on a hung machine, so this check also
// runs while the machine hangs.
func (m *machine) leaseLoop() {
	if m.dead {
		return
	}
	if m.local().Sub(m.lastAnsweredAt) > m.w.options.Lease {
		for _, t := range m.sortedTasks() {
			m.remove(t)
		}
		m.incarnation++
		m.outstanding = 0
		m.lastAnsweredAt = m.local()
		m.sendHeartbeat()
	}
	m.w.after(leaseCheckInterval, m.leaseLoop)
}

// leaseCheckInterval is how often a worker checks its lease.
const leaseCheckInterval = 250 * time.Millisecond

// sortedTasks returns the machine's tasks, sorted by key.
func (m *machine) sortedTasks() []*task {
	byKey := func(a, b *task) int { return strings.Compare(a.key(), b.key()) }
	return slices.SortedFunc(maps.Values(m.tasks), byKey)
}

// remove deletes a task from the machine without keeping its status.
func (m *machine) remove(t *task) {
	t.timerGeneration++
	delete(m.tasks, t.key())
	if t.state != fleet.Exited {
		t.state = fleet.Exited
		t.leaveMachine()
	}
}

// reboot restarts the worker: its tasks and cached images are gone, and its incarnation and
// sequence start anew.
func (m *machine) reboot() {
	for _, t := range m.sortedTasks() {
		m.remove(t)
	}
	m.workerProcess++
	m.workerState = workerState{incarnation: 1, target: m.target, lastAnsweredAt: m.local()}
	clear(m.images)
	m.later(m.w.between(10*time.Millisecond, time.Second), m.sendHeartbeat)
}

// terminate removes the machine and all tasks on it from the world.
func (m *machine) terminate() {
	if m.dead {
		return
	}
	for _, t := range m.sortedTasks() {
		m.remove(t)
	}
	m.dead = true
	delete(m.w.machines, m.name)
}
