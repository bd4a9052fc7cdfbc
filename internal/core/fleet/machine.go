// Package fleet holds what is known of the machines: their states, their leases, their
// images, and where each attempt may still be.
package fleet

import "time"

// MachineState is the state of a machine.
type MachineState uint8

// States of a machine.
const (
	Booting           MachineState = iota // rented or listed, never heard of
	AwaitingHeartbeat                     // the records say that tasks may be on it; not heard under this term
	Live                                  // reports
	Unresponsive                          // has stopped reporting
	ScalingIn                             // a release is under way
	Removed                               // proven gone

	MachineStates = iota // how many there are
)

var machineStateNames = [...]string{"booting", "unheard", "live", "silent", "releasing", "gone"}

// String returns the state's name, as operators see it.
func (s MachineState) String() string { return machineStateNames[s] }

// Machine is one machine.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	state                  MachineState

	// Reports and answers.
	Incarnation, Sequence, FencingToken uint64          // of its newest heartbeat, see Epoch
	HeartbeatExpected                   bool            // not heard of under this term, but the leader before was, shortly before its end
	FencingTokenSent                    bool            // was sent this term's fencing token
	TermConfirmed                       bool            // has reported with this term's fencing token, or never held anything of an earlier term
	LastHeartbeat                       time.Time       // when its newest heartbeat arrived
	LeaseRenewedAt                      time.Time       // no 200 was sent to it after this
	ResponseHeld                        bool            // what is placed now goes with the answer to its last heartbeat
	OneWayLoss                          OneWayLoss      // whether it receives answers
	StaleHeartbeats                     StaleHeartbeats // reports that aren't newer than the newest one

	// Its life.
	FirstSeen         time.Time
	ListedAt          time.Time // when the cloud last listed it
	ListedRunning     bool      // the cloud's last list with it said that it is up
	ExistenceVerified bool      // listed by the cloud, rented, or heard under this term's fencing token: not just an old copy's word
	InterruptionAt    time.Time // when the cloud takes it, zero without a notice
	ScaleInAttempts   int       // releases that failed
	NextCheckAt       time.Time // when its present timer expires

	// Whether it gets starts.
	Draining          bool            // it gets no more
	Quarantined       bool            // it gets no more: too much has failed on it
	Cordoned          bool            // it gets no more, at the operators' request
	CordonPlanned     bool            // it is about to be cordoned, and used only if nothing else has room
	StartsPausedUntil time.Time       // it gets none until then
	FailedJobs        map[string]bool // jobs that failed on it since something last succeeded
	Failures          int             // how often any did

	// What is on it.
	Attempts       map[TaskID]*Attempt
	Images         []Image   // most recently used last
	IdleSince      time.Time // since when it has been idle, if it is
	used           Amount
	serviceUsage   Amount // the part of it that replicas of services take
	activeAttempts int
}

// Amount is a sum of what tasks take of machines.
type Amount struct{ CPUs, GPUs, MemGB float64 }

// Add adds two amounts.
func (a Amount) Add(o Amount) Amount {
	return Amount{CPUs: a.CPUs + o.CPUs, GPUs: a.GPUs + o.GPUs, MemGB: a.MemGB + o.MemGB}
}

// Plus adds what an attempt takes.
func (a Amount) Plus(t *Attempt) Amount {
	return Amount{CPUs: a.CPUs + t.CPUs, GPUs: a.GPUs + t.GPUs, MemGB: a.MemGB + t.MemGB}
}

// Minus takes off what an attempt takes.
func (a Amount) Minus(t *Attempt) Amount {
	return Amount{CPUs: a.CPUs - t.CPUs, GPUs: a.GPUs - t.GPUs, MemGB: a.MemGB - t.MemGB}
}

// PoolKey is what distinguishes machines before they are rented.
type PoolKey struct {
	Type, Zone string
	Spot       bool
}

// NewMachine makes a machine in its first state.
func NewMachine(now time.Time, name string, k PoolKey, state MachineState) *Machine {
	return &Machine{Name: name, Type: k.Type, Zone: k.Zone, Spot: k.Spot, state: state, FirstSeen: now, IdleSince: now,
		Attempts: map[TaskID]*Attempt{}}
}

// PoolKey returns the pool that the machine belongs to.
func (m *Machine) PoolKey() PoolKey { return PoolKey{Type: m.Type, Zone: m.Zone, Spot: m.Spot} }

// State returns the machine's state.
func (m *Machine) State() MachineState { return m.state }

// Move is the one place where a machine changes state; Gone is final.
func (m *Machine) Move(to MachineState) bool {
	if m.state == to || m.state == Removed {
		return false
	}
	m.state = to
	return true
}

// NextResponseIn is after how long the machine's next heartbeat is expected, whose answer
// can start something there.
func (m *Machine) NextResponseIn(now time.Time, every time.Duration) time.Duration {
	if m.ResponseHeld {
		return 0
	}
	return max(0, every-now.Sub(m.LastHeartbeat))
}

// Newer tells whether a heartbeat is newer than all that have been taken in.
func (m *Machine) Newer(r *Heartbeat) bool { return r.Version().After(m.HeartbeatVersion()) }

// LeaseExpired tells whether the worker's lease has certainly ended: nobody can have
// answered it after LeaseRenewedAt, and the drift of the two clocks is allowed for
// (docs/design.md, safety argument 5; TestInheritedAttemptUntilLeaseOver).
func (m *Machine) LeaseExpired(now time.Time, lease time.Duration) bool {
	return !m.LeaseRenewedAt.IsZero() && now.Sub(m.LeaseRenewedAt) > LeaseBound(lease)
}

// Used returns what all that may be on the machine takes of it. Exited tasks
// take nothing.
func (m *Machine) Used() Amount { return m.used }

// ServiceUsage returns what replicas of services take of the machine.
func (m *Machine) ServiceUsage() Amount { return m.serviceUsage }

// ActiveAttempts counts the attempts that may be on the machine.
func (m *Machine) ActiveAttempts() int { return m.activeAttempts }

// AddAttempt notes an attempt that is, or may be, on the machine.
func (m *Machine) AddAttempt(now time.Time, a *Attempt, st TaskState) {
	a.Machine, a.state, a.StateSince = m, st, now
	if st == Running {
		a.RunStart = now
	}
	m.Attempts[a.TaskID] = a
	if st != Exited {
		m.activeAttempts++
		m.used = m.used.Plus(a)
		if a.ServiceReplica {
			m.serviceUsage = m.serviceUsage.Plus(a)
		}
	}
}

// MoveAttempt takes an attempt to another state; it returns false if nothing changes.
func (m *Machine) MoveAttempt(now time.Time, a *Attempt, to TaskState) bool {
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
func (m *Machine) RemoveAttempt(now time.Time, k TaskID) {
	delete(m.Attempts, k)
	if len(m.Attempts) == 0 {
		m.IdleSince = now
	}
}

// RecordFailure counts an exit of a job with an error against the machine.
func (m *Machine) RecordFailure(ref string) {
	if m.FailedJobs == nil {
		m.FailedJobs = map[string]bool{}
	}
	m.Failures++
	m.FailedJobs[ref] = true
}

// ClearFailures forgets the exits with errors on the machine.
func (m *Machine) ClearFailures() { m.Failures, m.FailedJobs = 0, nil }
