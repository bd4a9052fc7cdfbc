package fleet

import (
	"iter"
	"slices"
	"time"
)

// MachineState is the state of a machine.
type MachineState uint8

// States of a machine.
const (
	Booting           MachineState = iota // requested or listed, never heard of
	AwaitingHeartbeat                     // the records say that tasks may be on it; not heard under this term
	Live                                  // sends heartbeats
	Unresponsive                          // has stopped sending heartbeats
	ScalingIn                             // its release is under way
	Removed                               // proven gone

	MachineStates = iota // how many there are
)

var machineStateNames = [...]string{"booting", "unheard", "live", "silent", "releasing", "gone"}

// String returns the state's name, as operators see it.
func (s MachineState) String() string { return machineStateNames[s] }

// Machine is what a leader knows of one machine. Its methods are the only places that change
// it; each keeps together the facts that belong together. The engine decides when a change
// is due, the machine how the change looks.
type Machine struct {
	Name    string
	PoolKey // what distinguishes it from machines of other pools

	heartbeats // heartbeats and their answers, see machine_heartbeats.go
	lifecycle  // its state and what the cloud says of it
	condition  // whether it takes starts, see machine_condition.go

	// OneWayLoss follows whether the answers to its heartbeats arrive.
	OneWayLoss OneWayLoss
	// StaleHeartbeats follows the heartbeats that aren't newer than the newest one.
	StaleHeartbeats StaleHeartbeats

	attempts       map[TaskID]*Attempt
	images         []Image // most recently used last
	used           Amount
	serviceUsage   Amount // the part of used that replicas of services take
	activeAttempts int
}

// lifecycle is a machine's state with what bears on it from outside.
type lifecycle struct {
	state             MachineState
	firstSeen         time.Time
	idleSince         time.Time // since when it has been idle, if it is
	listedAt          time.Time // when the cloud last listed it
	listedRunning     bool      // the cloud's last list with it said that it is up
	existenceVerified bool      // listed by the cloud, requested from it, or heard under this term's fencing token
	interruptionAt    time.Time // when the cloud takes it back; zero without a notice
	failedScaleIns    int       // releases without a known outcome since the last one was asked for
}

// NewMachine makes a machine that may still be booting. The start log doesn't name it, so it
// never held a task of an earlier term, and this term may use it as soon as it is heard of.
func NewMachine(now time.Time, name string, k PoolKey) *Machine {
	m := newMachine(now, name, k, Booting)
	m.termConfirmed = true
	return m
}

// NewInheritedMachine makes a machine that an earlier leader's records name. Until a heartbeat
// tells more it counts as if its worker's lease had been renewed just now.
func NewInheritedMachine(now time.Time, name string, k PoolKey) *Machine {
	m := newMachine(now, name, k, AwaitingHeartbeat)
	m.lastHeartbeat, m.leaseRenewedAt = now, now
	return m
}

func newMachine(now time.Time, name string, k PoolKey, state MachineState) *Machine {
	return &Machine{
		Name: name, PoolKey: k,
		lifecycle: lifecycle{state: state, firstSeen: now, idleSince: now},
		attempts:  map[TaskID]*Attempt{},
	}
}

// State returns the machine's state.
func (m *Machine) State() MachineState { return m.state }

// Move is the one place where a machine changes state; Removed is final. It returns false if
// nothing changes. Whatever the new state is, a heartbeat is no longer expected on the word of
// the warm state, and a machine that could not be used before is idle only from now on.
func (m *Machine) Move(now time.Time, to MachineState) bool {
	if m.state == to || m.state == Removed {
		return false
	}
	if to == Live && (m.state == Booting || m.state == Unresponsive) {
		m.idleSince = now
	}
	m.state = to
	m.heartbeatExpected = false
	return true
}

// FirstSeen is since when the machine has existed, as far as is known.
func (m *Machine) FirstSeen() time.Time { return m.firstSeen }

// SetAge takes over how long the machine has existed according to the cloud.
func (m *Machine) SetAge(now time.Time, age time.Duration) { m.firstSeen = now.Add(-age) }

// IdleSince is since when the machine has been idle, if it is.
func (m *Machine) IdleSince() time.Time { return m.idleSince }

// Listed takes in that the cloud lists the machine. It reports whether its existence had not
// been verified before.
func (m *Machine) Listed(now time.Time, addr string, running bool) (newlyVerified bool) {
	m.listedAt, m.listedRunning = now, running
	if m.addr == "" {
		m.addr = addr
	}
	return m.VerifyExistence()
}

// ListedAt is when the cloud last listed the machine; zero if it never has.
func (m *Machine) ListedAt() time.Time { return m.listedAt }

// ListedRunning reports whether the cloud's last list with the machine said that it is up.
func (m *Machine) ListedRunning() bool { return m.listedRunning }

// VerifyExistence notes that more than an old copy of a record names the machine. It reports
// whether that is news.
func (m *Machine) VerifyExistence() bool {
	if m.existenceVerified {
		return false
	}
	m.existenceVerified = true
	return true
}

// ExistenceVerified reports whether the machine is known to exist, see VerifyExistence.
func (m *Machine) ExistenceVerified() bool { return m.existenceVerified }

// AnnounceInterruption takes in when the cloud will take the machine back. It reports whether
// this is the first notice.
func (m *Machine) AnnounceInterruption(at time.Time) (first bool) {
	first = m.interruptionAt.IsZero()
	m.interruptionAt = at
	return first
}

// InterruptionAnnounced reports whether the cloud will take the machine back.
func (m *Machine) InterruptionAnnounced() bool { return !m.interruptionAt.IsZero() }

// Used returns what all that may be on the machine takes of it. Exited tasks
// take nothing.
func (m *Machine) Used() Amount { return m.used }

// ServiceUsage returns what replicas of services take of the machine.
func (m *Machine) ServiceUsage() Amount { return m.serviceUsage }

// ActiveAttempts counts the attempts that may be on the machine.
func (m *Machine) ActiveAttempts() int { return m.activeAttempts }

// Attempt returns the attempt of a task that is on the machine, perhaps exited; nil if there
// is none.
func (m *Machine) Attempt(id TaskID) *Attempt { return m.attempts[id] }

// Empty reports whether nothing at all is on the machine, not even an exited attempt that its
// worker still lists.
func (m *Machine) Empty() bool { return len(m.attempts) == 0 }

// Attempts goes through all attempts on the machine, in no particular order.
func (m *Machine) Attempts() iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for _, a := range m.attempts {
			if !yield(a) {
				return
			}
		}
	}
}

// SortedAttempts lists all attempts on the machine by job and task.
func (m *Machine) SortedAttempts() []*Attempt {
	out := make([]*Attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *Attempt) int { return a.TaskID.Compare(b.TaskID) })
	return out
}

// HasUnrecorded reports whether something runs on the machine that no record names.
func (m *Machine) HasUnrecorded() bool {
	for _, a := range m.attempts {
		if a.Unrecorded && a.state != Exited {
			return true
		}
	}
	return false
}

// HasUnstoredResults reports whether results on the machine are not yet written.
func (m *Machine) HasUnstoredResults() bool {
	for _, a := range m.attempts {
		if a.state == Exited && !a.ExitHandled {
			return true
		}
	}
	return false
}

// AddAttempt notes an attempt that is, or may be, on the machine.
func (m *Machine) AddAttempt(now time.Time, a *Attempt, st AttemptState) {
	a.Machine, a.state, a.StateSince = m, st, now
	if st == Running {
		a.RunStart = now
	}
	m.attempts[a.TaskID] = a
	if st != Exited {
		m.activeAttempts++
		m.used = m.used.Plus(a)
		if a.ServiceReplica {
			m.serviceUsage = m.serviceUsage.Plus(a)
		}
	}
}

// MoveAttempt takes an attempt to another state; it returns false if nothing changes.
func (m *Machine) MoveAttempt(now time.Time, a *Attempt, to AttemptState) bool {
	if !a.move(now, to) {
		return false
	}
	if to == Exited {
		m.activeAttempts--
		m.used = m.used.Minus(a)
		if a.ServiceReplica {
			m.serviceUsage = m.serviceUsage.Minus(a)
		}
		if m.activeAttempts == 0 {
			m.used, m.serviceUsage = Amount{}, Amount{} // no rounding is carried on
		}
	}
	return true
}

// RemoveAttempt removes an attempt that is proven gone, or forgotten by its worker.
func (m *Machine) RemoveAttempt(now time.Time, id TaskID) {
	delete(m.attempts, id)
	if len(m.attempts) == 0 {
		m.idleSince = now
	}
}
