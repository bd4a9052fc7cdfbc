package core

import (
	"iter"
	"maps"
	"slices"
	"time"

	"gingertally/internal/core/fleet"
)

// machineRegistry holds the machines of this term: those that may exist, by name, and the names of
// those that are proven gone. It maintains counts that are needed often and schedules the next
// check of each machine. The engine applies the consequences of a change for jobs, capacity and
// drains (addMachine, moveMachine, removeMachine).
type machineRegistry struct {
	byName      map[string]*fleet.Machine
	removed     map[string]time.Time     // when machines were proven gone, by name
	prunedAt    time.Time                // when removed was last pruned
	states      [fleet.MachineStates]int // number of machines in each state
	unreachable int                      // number of machines that seem to receive no answers
	timers      timerQueue               // when machines are to be checked
	listedAt    time.Time                // when the cloud last listed its machines; zero if it hasn't yet
}

// keepRemovedNames is how long the names of removed machines are kept, so that late heartbeats and
// lists don't add the machines again.
const keepRemovedNames = 15 * time.Minute

// pruneEvery is how often outdated names of removed machines are dropped.
const pruneEvery = time.Minute

func newMachineRegistry() machineRegistry {
	return machineRegistry{byName: map[string]*fleet.Machine{}, removed: map[string]time.Time{}}
}

// get returns a machine by name, or nil if none of that name is known or it is proven gone.
func (r *machineRegistry) get(name string) *fleet.Machine { return r.byName[name] }

// count returns the number of machines that may exist.
func (r *machineRegistry) count() int { return len(r.byName) }

// all iterates over the machines in no particular order.
func (r *machineRegistry) all() iter.Seq[*fleet.Machine] { return maps.Values(r.byName) }

// names returns the machines' names in order.
func (r *machineRegistry) names() []string { return slices.Sorted(maps.Keys(r.byName)) }

// inState returns the number of machines in a state.
func (r *machineRegistry) inState(s fleet.MachineState) int { return r.states[s] }

// wasRemoved reports whether a machine is proven gone: messages that still name it are late.
func (r *machineRegistry) wasRemoved(name string) bool {
	_, removed := r.removed[name]
	return removed
}

// add adds a machine and schedules an immediate check.
func (r *machineRegistry) add(now time.Time, m *fleet.Machine) {
	r.byName[m.Name] = m
	r.states[m.State()]++
	r.checkAt(m, now)
}

// move changes a machine's state and schedules an immediate check. It returns false if nothing
// changes.
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

// remove removes a machine that is proven gone and keeps its name for keepRemovedNames.
func (r *machineRegistry) remove(now time.Time, m *fleet.Machine) {
	delete(r.byName, m.Name)
	r.states[m.State()]--
	if m.OneWayLoss.Unreachable() {
		r.unreachable--
	}
	r.removed[m.Name] = now
}

// pruneRemoved drops the names that have been kept for longer than keepRemovedNames, at most once
// per pruneEvery.
func (r *machineRegistry) pruneRemoved(now time.Time) {
	if now.Sub(r.prunedAt) < pruneEvery {
		return
	}
	r.prunedAt = now
	maps.DeleteFunc(r.removed, func(_ string, at time.Time) bool { return now.Sub(at) > keepRemovedNames })
}

// answerDelivered records that an answer to a machine's heartbeat has had an effect. It reports
// whether the machine seemed unreachable until now.
func (r *machineRegistry) answerDelivered(m *fleet.Machine) (regained bool) {
	regained = m.OneWayLoss.Unreachable()
	if regained {
		r.unreachable--
	}
	m.OneWayLoss.NoteDelivered()
	return regained
}

// answerUndelivered records that an answer to a machine's heartbeat has had no effect.
func (r *machineRegistry) answerUndelivered(now time.Time, m *fleet.Machine) {
	was := m.OneWayLoss.Unreachable()
	m.OneWayLoss.NoteUndelivered(now)
	if m.OneWayLoss.Unreachable() && !was {
		r.unreachable++
	}
}

// unreachableCount returns the number of machines that seem to receive no answers.
func (r *machineRegistry) unreachableCount() int { return r.unreachable }

// checkAt schedules the next check of a machine, unless an earlier one is scheduled.
func (r *machineRegistry) checkAt(m *fleet.Machine, at time.Time) { r.timers.schedule(m, at) }

// nextDue returns a machine whose check is due and removes the check from the schedule; nil if
// there is none.
func (r *machineRegistry) nextDue(now time.Time) *fleet.Machine { return r.timers.expired(now) }

// listed records that the cloud has listed its machines.
func (r *machineRegistry) listed(now time.Time) { r.listedAt = now }

// lastListed returns when the cloud last listed its machines; zero if it hasn't in this term.
func (r *machineRegistry) lastListed() time.Time { return r.listedAt }

// everListed reports whether the cloud has listed its machines in this term.
func (r *machineRegistry) everListed() bool { return !r.listedAt.IsZero() }
