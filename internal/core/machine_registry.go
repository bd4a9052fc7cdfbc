package core

import (
	"iter"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
)

// machineRegistry holds the machines of this term: those that may exist, by name, and the
// names of those that are proven gone. It counts what is asked for often and knows when each
// machine is to be looked at next. What a change means for jobs, capacity and drains is the
// engine's to draw from it (addMachine, moveMachine, removeMachine).
type machineRegistry struct {
	byName      map[string]*fleet.Machine
	removed     map[string]time.Time     // names of machines proven gone, and since when
	prunedAt    time.Time                // when removed was last pruned
	states      [fleet.MachineStates]int // how many machines are in each state
	unreachable int                      // how many machines seem to receive no answers
	timers      timerQueue               // when machines are to be checked
	listedAt    time.Time                // when the cloud last listed its machines; zero: not in this term
}

// keepRemovedNames is how long the names of removed machines are kept, for messages and lists
// that are late.
const keepRemovedNames = 15 * time.Minute

// pruneEvery is how often names that have been kept for long enough are looked for.
const pruneEvery = time.Minute

func newMachineRegistry() machineRegistry {
	return machineRegistry{byName: map[string]*fleet.Machine{}, removed: map[string]time.Time{}}
}

// get returns a machine, or nil if none of that name may exist as far as is known.
func (r *machineRegistry) get(name string) *fleet.Machine { return r.byName[name] }

// count is how many machines may exist.
func (r *machineRegistry) count() int { return len(r.byName) }

// all goes through the machines, in no particular order.
func (r *machineRegistry) all() iter.Seq[*fleet.Machine] { return maps.Values(r.byName) }

// names lists the machines' names in order.
func (r *machineRegistry) names() []string { return slices.Sorted(maps.Keys(r.byName)) }

// inState is how many machines are in a state.
func (r *machineRegistry) inState(s fleet.MachineState) int { return r.states[s] }

// wasRemoved reports whether a machine is proven gone: messages that still name it are late.
func (r *machineRegistry) wasRemoved(name string) bool {
	_, removed := r.removed[name]
	return removed
}

// add takes in a machine, which is to be checked at once.
func (r *machineRegistry) add(now time.Time, m *fleet.Machine) {
	r.byName[m.Name] = m
	r.states[m.State()]++
	r.checkAt(m, now)
}

// move takes a machine to another state and has it checked at once. It returns false if
// nothing changes.
func (r *machineRegistry) move(now time.Time, m *fleet.Machine, to fleet.MachineState) bool {
	was := m.State()
	if !m.Move(now, to) {
		return false
	}
	r.states[was]--
	r.states[to]++
	r.checkAt(m, now)
	return true
}

// remove forgets a machine that is proven gone, but for its name.
func (r *machineRegistry) remove(now time.Time, m *fleet.Machine) {
	delete(r.byName, m.Name)
	r.states[m.State()]--
	if m.OneWayLoss.Unreachable() {
		r.unreachable--
	}
	r.removed[m.Name] = now
}

// pruneRemoved forgets, once a minute, the names of machines that were removed long ago.
func (r *machineRegistry) pruneRemoved(now time.Time) {
	if now.Sub(r.prunedAt) < pruneEvery {
		return
	}
	r.prunedAt = now
	maps.DeleteFunc(r.removed, func(_ string, at time.Time) bool { return now.Sub(at) > keepRemovedNames })
}

// answerDelivered notes that an answer to a machine's heartbeat has shown its effect. It reports
// whether the machine seemed unreachable until now.
func (r *machineRegistry) answerDelivered(m *fleet.Machine) (regained bool) {
	regained = m.OneWayLoss.Unreachable()
	if regained {
		r.unreachable--
	}
	m.OneWayLoss.NoteDelivered()
	return regained
}

// answerUndelivered notes that an answer to a machine's heartbeat has shown no effect.
func (r *machineRegistry) answerUndelivered(now time.Time, m *fleet.Machine) {
	was := m.OneWayLoss.Unreachable()
	m.OneWayLoss.NoteUndelivered(now)
	if m.OneWayLoss.Unreachable() && !was {
		r.unreachable++
	}
}

// unreachableCount is how many machines seem to receive no answers.
func (r *machineRegistry) unreachableCount() int { return r.unreachable }

// checkAt schedules the next check of a machine. A check that is due earlier stays so.
func (r *machineRegistry) checkAt(m *fleet.Machine, at time.Time) { r.timers.schedule(m, at) }

// nextDue takes a machine that is to be checked now, or returns nil.
func (r *machineRegistry) nextDue(now time.Time) *fleet.Machine { return r.timers.expired(now) }

// listed notes that the cloud has listed its machines.
func (r *machineRegistry) listed(now time.Time) { r.listedAt = now }

// lastListed is when the cloud last listed its machines; zero if it hasn't in this term.
func (r *machineRegistry) lastListed() time.Time { return r.listedAt }

// everListed reports whether the cloud has listed its machines in this term.
func (r *machineRegistry) everListed() bool { return !r.listedAt.IsZero() }
