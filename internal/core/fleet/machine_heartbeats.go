package fleet

import "time"

// heartbeats is what is known of a machine's heartbeats and of the answers to them.
type heartbeats struct {
	addr              string           // of its worker
	newest            HeartbeatVersion // of its newest heartbeat
	lastHeartbeat     time.Time        // when that arrived
	leaseRenewedAt    time.Time        // no 200 was sent to it after this
	responseHeld      bool             // what is placed now goes with the answer to its newest heartbeat
	fencingTokenSent  bool             // was sent this term's fencing token
	termConfirmed     bool             // see TermConfirmed
	heartbeatExpected bool             // not heard of under this term, but by the leader before shortly before its end
}

// Addr is where the machine's worker takes commands; empty if that isn't known.
func (m *Machine) Addr() string { return m.addr }

// Incarnation is its worker's incarnation according to the newest heartbeat; 0 before the first.
func (m *Machine) Incarnation() uint64 { return m.newest.Incarnation }

// Sequence is the sequence number of the newest heartbeat; 0 before the first.
func (m *Machine) Sequence() uint64 { return m.newest.Sequence }

// FencingToken is the fencing token that the newest heartbeat carried.
func (m *Machine) FencingToken() uint64 { return m.newest.FencingToken }

// HeartbeatVersion returns the place of the newest heartbeat known of the machine.
func (m *Machine) HeartbeatVersion() HeartbeatVersion { return m.newest }

// LastHeartbeat is when the newest heartbeat arrived.
func (m *Machine) LastHeartbeat() time.Time { return m.lastHeartbeat }

// Newer reports whether a heartbeat is newer than all that have been taken in.
func (m *Machine) Newer(r *Heartbeat) bool { return r.Version().After(m.newest) }

// HeartbeatReceived takes in the head of a heartbeat that is newer than all before it.
func (m *Machine) HeartbeatReceived(now time.Time, r *Heartbeat) {
	m.addr, m.lastHeartbeat, m.newest = r.Addr, now, r.Version()
}

// ExcuseMissingHeartbeats counts the time without heartbeats from now on: what came before
// says nothing about the machine, since nobody was there to hear it.
func (m *Machine) ExcuseMissingHeartbeats(now time.Time) { m.lastHeartbeat = now }

// ConfirmTerm takes in that the worker has this term's fencing token, which also shows that
// the machine exists. It reports whether anything of that is news.
func (m *Machine) ConfirmTerm() bool {
	if m.termConfirmed && m.existenceVerified {
		return false
	}
	m.termConfirmed, m.existenceVerified = true, true
	return true
}

// TermConfirmed reports whether nothing of an earlier term can start on the machine any more: its
// worker has this term's fencing token, or never held a task of an earlier term.
func (m *Machine) TermConfirmed() bool { return m.termConfirmed }

// HeartbeatAnswered notes that the newest heartbeat is answered with 200, at once or, if the
// answer is held, after what is being placed now has been written.
func (m *Machine) HeartbeatAnswered(held bool) { m.responseHeld, m.fencingTokenSent = held, true }

// RenewLease notes that the worker's lease may last from now.
func (m *Machine) RenewLease(now time.Time) { m.leaseRenewedAt = now }

// NoteFencingTokenSent notes that a command was sent to the worker outside the answers to its heartbeats,
// and this term's fencing token with it.
func (m *Machine) NoteFencingTokenSent() { m.fencingTokenSent = true }

// FencingTokenSent reports whether the worker may know this term's fencing token from this leader.
func (m *Machine) FencingTokenSent() bool { return m.fencingTokenSent }

// NextResponseIn is after how long the machine's next heartbeat is expected, whose answer
// can start something there.
func (m *Machine) NextResponseIn(now time.Time, every time.Duration) time.Duration {
	if m.responseHeld {
		return 0
	}
	return max(0, every-now.Sub(m.lastHeartbeat))
}

// LeaseExpired reports whether the worker's lease has certainly ended: nobody can have
// answered it since the lease was last renewed, and the drift of the two clocks is allowed
// for (docs/design.md, safety argument 5; TestInheritedAttemptUntilLeaseOver).
func (m *Machine) LeaseExpired(now time.Time, lease time.Duration) bool {
	return !m.leaseRenewedAt.IsZero() && now.Sub(m.leaseRenewedAt) > LeaseBound(lease)
}

// ExpectHeartbeat lets work be placed on a machine ahead of its first heartbeat under this term,
// since the leader before heard from it shortly before its end. It reports whether that is news.
func (m *Machine) ExpectHeartbeat() bool {
	if m.state != AwaitingHeartbeat || m.heartbeatExpected {
		return false
	}
	m.heartbeatExpected = true
	return true
}

// HeartbeatExpected reports whether work may be placed on the machine ahead of its first
// heartbeat under this term.
func (m *Machine) HeartbeatExpected() bool { return m.heartbeatExpected }

// HeartbeatOverdue gives up an expected heartbeat.
func (m *Machine) HeartbeatOverdue() { m.heartbeatExpected = false }
