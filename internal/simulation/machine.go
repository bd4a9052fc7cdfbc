package simulation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gingertally/internal/core/fleet"
)

// machine is an instance of the cloud with its worker.
type machine struct {
	w         *World
	name, typ string
	zone      string
	spot      bool
	createdAt time.Time
	clockRate float64 // of its steady clock

	machineFaults
	isUp, dead    bool
	workerProcess int // rises when its worker restarts
	workerState
	tasks  map[string]*task // by attempt
	images map[string]bool
}

// machineFaults are what goes wrong with a machine.
type machineFaults struct {
	hungUntil      time.Time
	faulty         bool           // its tasks fail
	failures       int            // how many tasks failed on it
	failedAt       time.Time      // the last of them
	inboundLost    bool           // its heartbeats arrive, but nothing that is sent to it does (one-way loss)
	outboundLost   bool           // it reaches no controller, while direct commands reach it (one-way loss)
	cut            map[*node]bool // controllers that it neither reaches nor is reached by
	interruptionAt time.Time      // when the cloud takes it back; zero: it hasn't given notice
}

// workerState is what a worker keeps of its connection to the controllers.
type workerState struct {
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64
	target         int       // the node that it sends its heartbeats to
	outstanding    uint64    // the heartbeat whose answer it waits for, 0: none
	lastHeartbeat  time.Time // when it sent one
	lastAnsweredAt time.Time // when the last heartbeat that was answered was sent, by its own clock
}

// local is the time by the machine's steady clock.
func (m *machine) local() time.Time {
	return m.w.start.Add(time.Duration(float64(m.w.elapsed()) * m.clockRate))
}

// later runs fn on the machine: not while it hangs, and not after its end.
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

// up starts the worker of a machine that has booted.
func (m *machine) up() {
	if m.dead {
		return
	}
	m.isUp, m.incarnation, m.lastAnsweredAt = true, 1, m.local()
	m.target = m.w.rng.IntN(len(m.w.nodes))
	m.cut = map[*node]bool{}
	m.leaseLoop()
	m.heartbeatLoop()
}

// leaseLoop ends the worker's tasks when its lease has expired without an answer, and begins a new incarnation. A
// machine that hangs may go on within its lease only, so this clock runs while it hangs.
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

// leaseCheckInterval is how often a worker looks at its lease.
const leaseCheckInterval = 250 * time.Millisecond

// sortedTasks are the machine's tasks in an order that doesn't depend on that of a map.
func (m *machine) sortedTasks() []*task {
	byKey := func(a, b *task) int { return strings.Compare(a.key(), b.key()) }
	return slices.SortedFunc(maps.Values(m.tasks), byKey)
}

// remove takes a task from the machine without a trace.
func (m *machine) remove(t *task) {
	t.timerGeneration++
	delete(m.tasks, t.key())
	if t.state != fleet.Exited {
		t.state = fleet.Exited
		t.leaveMachine()
	}
}

// reboot restarts the worker: all its tasks are gone, and it counts from one again.
func (m *machine) reboot() {
	for _, t := range m.sortedTasks() {
		m.remove(t)
	}
	m.workerProcess++
	m.workerState = workerState{incarnation: 1, target: m.target, lastAnsweredAt: m.local()}
	clear(m.images)
	m.later(m.w.between(10*time.Millisecond, time.Second), m.sendHeartbeat)
}

// die ends the machine and all on it.
func (m *machine) die() {
	if m.dead {
		return
	}
	for _, t := range m.sortedTasks() {
		m.remove(t)
	}
	m.dead = true
	delete(m.w.machines, m.name)
}
