package fleet

import "time"

// heartbeats holds what is known of a machine's heartbeats and of the answers to them.
type heartbeats struct {
	addr              string           // of its worker
	newest            HeartbeatVersion // of its newest heartbeat
	lastHeartbeat     time.Time        // when the newest heartbeat arrived, see also ExcuseMissingHeartbeats
	leaseRenewedAt    time.Time        // no heartbeat was answered with 200 after this time
	responseHeld      bool             // the answer to its newest heartbeat is held, for starts decided now
	fencingTokenSent  bool             // was sent this term's fencing token
	termConfirmed     bool             // see TermConfirmed
	heartbeatExpected bool             // see ExpectHeartbeat
}

// Addr returns the address at which the machine's worker takes commands; empty if unknown.
func (m *Machine) Addr() string { return m.addr }

// Incarnation returns the worker's incarnation in the newest heartbeat; 0 before the first one.
func (m *Machine) Incarnation() uint64 { return m.newest.Incarnation }

// Sequence returns the sequence number of the newest heartbeat; 0 before the first one.
func (m *Machine) Sequence() uint64 { return m.newest.Sequence }

// FencingToken returns the fencing token that the newest heartbeat carried.
func (m *Machine) FencingToken() uint64 { return m.newest.FencingToken }

// HeartbeatVersion returns the version of the newest heartbeat.
func (m *Machine) HeartbeatVersion() HeartbeatVersion { return m.newest }

// LastHeartbeat returns when the newest heartbeat arrived. ExcuseMissingHeartbeats sets it to a later
// time.
func (m *Machine) LastHeartbeat() time.Time { return m.lastHeartbeat }

// Newer reports whether a heartbeat is newer than all that were received before.
func (m *Machine) Newer(r *Heartbeat) bool { return r.Version().After(m.newest) }

// HeartbeatReceived records the arrival, address and version of a heartbeat that is newer than all
// before it.
func (m *Machine) HeartbeatReceived(now time.Time, r *Heartbeat) {
	m.addr, m.lastHeartbeat, m.newest = r.Addr, now, r.Version()
}

// ExcuseMissingHeartbeats lets the time without heartbeats count from now on only. That none arrived
// before says nothing about the machine, since this node could not receive heartbeats then.
func (m *Machine) ExcuseMissingHeartbeats(now time.Time) { m.lastHeartbeat = now }

// ConfirmTerm records that the worker has this term's fencing token, which also verifies that the
// machine exists. It returns true if either wasn't known before.
func (m *Machine) ConfirmTerm() bool {
	if m.termConfirmed && m.existenceVerified {
		return false
	}
	m.termConfirmed, m.existenceVerified = true, true
	return true
}

// TermConfirmed reports whether no start of an earlier term can take effect on the machine any more:
// its worker has this term's fencing token, or it never held a task of an earlier term.
func (m *Machine) TermConfirmed() bool { return m.termConfirmed }

// HeartbeatAnswered records that the newest heartbeat is answered with 200: at once or, if the answer
// is held, once the starts that are being decided now are in the state service.
func (m *Machine) HeartbeatAnswered(held bool) { m.responseHeld, m.fencingTokenSent = held, true }

// RenewLease records that the worker's lease may have been renewed at the given time.
func (m *Machine) RenewLease(now time.Time) { m.leaseRenewedAt = now }

// NoteFencingTokenSent records that the worker was sent this term's fencing token with a command
// outside the answers to its heartbeats.
func (m *Machine) NoteFencingTokenSent() { m.fencingTokenSent = true }

// FencingTokenSent reports whether this leader has sent the worker this term's fencing token.
func (m *Machine) FencingTokenSent() bool { return m.fencingTokenSent }

// NextResponseIn returns how long it is expected to take until the machine can be sent a start in the
// answer to a heartbeat: none if an answer is being held, else until its next heartbeat. Every is
// the heartbeat interval.
func (m *Machine) NextResponseIn(now time.Time, every time.Duration) time.Duration {
	if m.responseHeld {
		return 0
	}
	return max(0, every-now.Sub(m.lastHeartbeat))
}

// LeaseExpired reports whether the worker's lease has certainly ended: LeaseBound, which allows for
// clock drift, has passed since the last answer that can have renewed it. It is false if no such
// answer is known (docs/design.md, safety argument 5; TestInheritedAttemptUntilLeaseOver).
func (m *Machine) LeaseExpired(now time.Time, lease time.Duration) bool {
	return !m.leaseRenewedAt.IsZero() && now.Sub(m.leaseRenewedAt) > LeaseBound(lease)
}

// ExpectHeartbeat lets work be placed on an inherited machine before its first heartbeat in this
// term, because the previous leader received one shortly before its term ended. It returns false
// if nothing changes.
func (m *Machine) ExpectHeartbeat() bool {
	if m.state != AwaitingHeartbeat || m.heartbeatExpected {
		return false
	}
	m.heartbeatExpected = true
	return true
}

// HeartbeatExpected reports whether work may be placed on the machine before its first heartbeat in
// this term.
func (m *Machine) HeartbeatExpected() bool { return m.heartbeatExpected }

// HeartbeatOverdue undoes ExpectHeartbeat, since the heartbeat didn't arrive in time.
func (m *Machine) HeartbeatOverdue() { m.heartbeatExpected = false }
