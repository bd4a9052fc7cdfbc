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
	Booting           MachineState = iota // requested, or listed by the cloud; no heartbeat yet
	AwaitingHeartbeat                     // in an earlier leader's records; no heartbeat in this term yet
	Live                                  // sends heartbeats
	Unresponsive                          // has stopped sending heartbeats
	ScalingIn                             // its release was requested from the cloud
	Removed                               // proven gone

	MachineStates = iota // number of states
)

var machineStateNames = [...]string{"booting", "unheard", "live", "silent", "releasing", "gone"}

// String returns the state's name, as operators see it.
func (s MachineState) String() string { return machineStateNames[s] }

// Machine holds what a leader knows of one machine. Only its methods change the unexported fields;
// each method keeps the fields that belong together consistent. The engine decides when a change is
// due, and Machine what the change consists of.
type Machine struct {
	Name    string
	PoolKey // the pool that it belongs to

	heartbeats // heartbeats and their answers, see machine_heartbeats.go
	lifecycle  // its state, and what the cloud says of it
	condition  // whether it may be sent starts, see machine_condition.go

	// OneWayLoss detects whether the answers to its heartbeats get lost.
	OneWayLoss OneWayLoss
	// StaleHeartbeats detects a restart of its worker by the heartbeats that aren't newer than the
	// newest one.
	StaleHeartbeats StaleHeartbeats

	attempts       map[TaskID]*Attempt
	images         []Image // most recently used last
	used           Amount  // resources of the attempts that haven't exited
	serviceUsage   Amount  // the part of used that belongs to replicas of services
	activeAttempts int     // attempts that haven't exited
}

// lifecycle holds a machine's state, and what the cloud says of the machine.
type lifecycle struct {
	state             MachineState
	firstSeen         time.Time // since when it has existed, as far as is known
	idleSince         time.Time // since when it has been idle, if it is
	listedAt          time.Time // when the cloud last listed it
	listedRunning     bool      // the cloud's last list with it said that it is running
	existenceVerified bool      // listed by the cloud, requested from it, or heard under this term's fencing token
	interruptionAt    time.Time // when the cloud takes it back; zero without a notice
	failedScaleIns    int       // failed release requests since ScaleInRequested
}

// NewMachine returns a machine that may still be booting. The start log doesn't name it, so it
// never held a task of an earlier term, and this term may use it from its first heartbeat on.
func NewMachine(now time.Time, name string, k PoolKey) *Machine {
	m := newMachine(now, name, k, Booting)
	m.termConfirmed = true
	return m
}

// NewInheritedMachine returns a machine that an earlier leader's records name. Until its first
// heartbeat in this term, its worker's lease counts as renewed at the given time.
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

// Move changes the machine's state; no other method does. It returns false if nothing changes.
// Removed is final. Any change ends the expectation of a heartbeat, see ExpectHeartbeat. A machine
// that becomes live after it booted or was unresponsive counts as idle only from now on.
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

// FirstSeen returns since when the machine has existed, as far as is known.
func (m *Machine) FirstSeen() time.Time { return m.firstSeen }

// SetAge sets how long the machine has existed, as the cloud reports it.
func (m *Machine) SetAge(now time.Time, age time.Duration) { m.firstSeen = now.Add(-age) }

// IdleSince returns since when the machine has been idle, if it is.
func (m *Machine) IdleSince() time.Time { return m.idleSince }

// Listed records that the cloud lists the machine, and whether as running. It returns true if that
// verifies the machine's existence for the first time.
func (m *Machine) Listed(now time.Time, addr string, running bool) (newlyVerified bool) {
	m.listedAt, m.listedRunning = now, running
	if m.addr == "" {
		m.addr = addr
	}
	return m.VerifyExistence()
}

// ListedAt returns when the cloud last listed the machine; zero if it never has.
func (m *Machine) ListedAt() time.Time { return m.listedAt }

// ListedRunning reports whether the cloud's last list with the machine said that it is running.
func (m *Machine) ListedRunning() bool { return m.listedRunning }

// VerifyExistence records evidence of the machine's existence other than a record that may be
// outdated. It returns true if the existence wasn't verified before.
func (m *Machine) VerifyExistence() bool {
	if m.existenceVerified {
		return false
	}
	m.existenceVerified = true
	return true
}

// ExistenceVerified reports whether the machine is known to exist, see VerifyExistence.
func (m *Machine) ExistenceVerified() bool { return m.existenceVerified }

// AnnounceInterruption records when the cloud will take the machine back. It reports whether this
// is the first notice.
func (m *Machine) AnnounceInterruption(at time.Time) (first bool) {
	first = m.interruptionAt.IsZero()
	m.interruptionAt = at
	return first
}

// InterruptionAnnounced reports whether the cloud will take the machine back.
func (m *Machine) InterruptionAnnounced() bool { return !m.interruptionAt.IsZero() }

// Used returns the resources of all attempts that may be on the machine and haven't exited.
func (m *Machine) Used() Amount { return m.used }

// ServiceUsage returns the part of Used that belongs to replicas of services.
func (m *Machine) ServiceUsage() Amount { return m.serviceUsage }

// ActiveAttempts returns how many attempts may be on the machine and haven't exited.
func (m *Machine) ActiveAttempts() int { return m.activeAttempts }

// Attempt returns the attempt of a task that is on the machine, perhaps exited; nil if there
// is none.
func (m *Machine) Attempt(id TaskID) *Attempt { return m.attempts[id] }

// Empty reports whether no attempt is on the machine, not even an exited one that its worker still
// lists.
func (m *Machine) Empty() bool { return len(m.attempts) == 0 }

// Attempts iterates over all attempts on the machine, exited ones too, in no particular order.
func (m *Machine) Attempts() iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for _, a := range m.attempts {
			if !yield(a) {
				return
			}
		}
	}
}

// SortedAttempts lists all attempts on the machine, exited ones too, sorted by job and task.
func (m *Machine) SortedAttempts() []*Attempt {
	out := make([]*Attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *Attempt) int { return a.TaskID.Compare(b.TaskID) })
	return out
}

// HasUnwanted reports whether an attempt that should not run there, see Attempt.Unwanted, may
// still be on the machine.
func (m *Machine) HasUnwanted() bool {
	for _, a := range m.attempts {
		if a.Unwanted && a.state != Exited {
			return true
		}
	}
	return false
}

// HasUnhandledExits reports whether an attempt on the machine has exited and its exit hasn't been
// processed yet, so that a result may not be stored yet.
func (m *Machine) HasUnhandledExits() bool {
	for _, a := range m.attempts {
		if a.state == Exited && !a.ExitHandled {
			return true
		}
	}
	return false
}

// AddAttempt adds an attempt that is, or may be, on the machine, in the given state.
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

// MoveAttempt changes the state of an attempt on the machine. It returns false if nothing changes.
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
			m.used, m.serviceUsage = Amount{}, Amount{} // discards accumulated rounding errors
		}
	}
	return true
}

// RemoveAttempt removes an attempt that is proven gone or was forgotten by its worker. With the last
// one the machine becomes idle.
func (m *Machine) RemoveAttempt(now time.Time, id TaskID) {
	delete(m.attempts, id)
	if len(m.attempts) == 0 {
		m.idleSince = now
	}
}
