package fleet

import (
	"testing"
	"time"
)

// For each condition of a machine, StartBlock names the first reason that applies, and only some of
// the reasons take the machine out of placement. Guards against starts on a machine that may not
// have them, as when a caller checks conditions one by one and misses one.
func TestStartBlock(t *testing.T) {
	unreachable := func(m *Machine) {
		m.OneWayLoss.NoteUndelivered(at(0))
		m.OneWayLoss.NoteUndelivered(at(1))
	}
	unresponsiveDraining := func(m *Machine) {
		m.Move(at(0), Unresponsive)
		m.StartDraining()
	}
	for _, c := range []struct {
		name      string
		change    func(m *Machine)
		want      StartBlock
		withdraws bool
	}{
		{"live and confirmed", func(*Machine) {}, NotBlocked, false},
		{"starts paused", func(m *Machine) { m.PauseStarts(at(9)) }, NotBlocked, false},
		{"cordon planned", func(m *Machine) { m.SetCordon(false, true) }, NotBlocked, false},
		{"one answer lost", func(m *Machine) { m.OneWayLoss.NoteUndelivered(at(0)) }, NotBlocked, false},
		{"draining", (*Machine).StartDraining, BlockedDraining, true},
		{"drain given up", func(m *Machine) { m.StartDraining(); m.StopDraining() }, NotBlocked, false},
		{"release asked for", (*Machine).ScaleInRequested, BlockedDraining, true},
		{"quarantined", (*Machine).Quarantine, BlockedQuarantined, true},
		{"cordoned", func(m *Machine) { m.SetCordon(true, false) }, BlockedCordoned, true},
		{"cordoned in quarantine", func(m *Machine) { m.SetCordon(true, false); m.Quarantine() }, BlockedQuarantined, true},
		{"unreachable", unreachable, BlockedUnreachable, true},
		{"unresponsive", func(m *Machine) { m.Move(at(0), Unresponsive) }, BlockedNotLive, false},
		{"unresponsive and draining", unresponsiveDraining, BlockedDraining, true},
		{"not confirmed", func(m *Machine) { m.termConfirmed = false }, BlockedUnconfirmedTerm, false},
	} {
		m := NewMachine(at(0), "m-1", PoolKey{Type: "cpu", Zone: "a"})
		m.Move(at(0), Live)
		c.change(m)
		if got := m.StartBlock(); got != c.want || got.Withdraws() != c.withdraws {
			t.Errorf("%s: blocked by %q, withdraws %v", c.name, got, got.Withdraws())
		}
	}
}

// A release request that failed is repeated after a pause; one in flight isn't. Guards against
// repeated requests, and against machines that are never released after a failed one.
func TestScaleInRetry(t *testing.T) {
	m := NewMachine(at(0), "m-1", PoolKey{Type: "cpu", Zone: "a"})
	if m.ScaleInPending(at(0)) {
		t.Fatal("pending before it is requested")
	}
	m.Move(at(0), ScalingIn)
	m.ScaleInRequested()
	if !m.ScaleInPending(at(9)) || m.ScaleInToRetry() {
		t.Fatal("to be requested a second time without an answer")
	}
	m.ScaleInFailed(at(10))
	if !m.ScaleInPending(at(9)) || m.ScaleInPending(at(10)) || !m.ScaleInToRetry() {
		t.Fatal("a failed release isn't requested again after the pause, or is before its end")
	}
}

// A machine counts as idle only from when it can be used. Guards against the release of a machine
// that booted slowly as soon as it is live: its idle time was counted from its request.
func TestIdleFromFirstUse(t *testing.T) {
	expected := map[MachineState]time.Time{Booting: at(5), Unresponsive: at(5), AwaitingHeartbeat: at(0)}
	for from, idleSince := range expected {
		m := newMachine(at(0), "m-1", PoolKey{}, from)
		if !m.Move(at(5), Live) || !m.IdleSince().Equal(idleSince) {
			t.Errorf("from %s: idle since %s", from, m.IdleSince())
		}
	}
}

// The next leader starts with the machine's history as the previous leader passed it on. Guards
// against a change of leader that clears failures or a quarantine.
func TestHistoryIsHandedOn(t *testing.T) {
	m := NewMachine(at(0), "m-1", PoolKey{Type: "cpu", Zone: "a"})
	m.RecordFailure("j-2")
	m.RecordFailure("j-1")
	m.RecordFailure("j-2")
	m.Quarantine()
	m.Listed(at(3), "addr", true)
	next := NewInheritedMachine(at(60), "m-1", m.PoolKey)
	next.RestoreHistory(m.History())
	if !next.Quarantined() || next.Draining() || !next.ListedRunning() || next.Failures() != 3 ||
		len(next.FailedJobs()) != 2 || !next.FirstSeen().Equal(at(0)) || !next.IdleSince().Equal(at(0)) {
		t.Fatalf("restored history: %+v", next.History())
	}
}

// The next heartbeat shows whether the worker has ignored an eviction, and a stop replaces an
// eviction. Guards against an attempt that goes on running because an eviction is taken back after
// the stop.
func TestStopReplacesEviction(t *testing.T) {
	m := NewMachine(at(0), "m-1", PoolKey{Type: "cpu", Zone: "a"})
	a := &Attempt{TaskID: TaskID{Ref: "j-1"}, Number: 1}
	m.HeartbeatReceived(at(0), &Heartbeat{Incarnation: 1, Sequence: 1})
	m.AddAttempt(at(0), a, Running)
	a.ApproveEviction()
	a.SendEviction(at(1), time.Second)
	if a.EvictionIgnored() || !a.Leaving() {
		t.Fatal("an eviction counts as ignored before the next heartbeat")
	}
	a.WithdrawEviction()
	if a.Eviction() != EvictionSent {
		t.Fatal("an eviction that was sent is taken back")
	}
	m.HeartbeatReceived(at(4), &Heartbeat{Incarnation: 1, Sequence: 2})
	if !a.EvictionIgnored() {
		t.Fatal("an ignored eviction isn't detected")
	}
	a.RequestStop(at(4), 0)
	if a.EvictionIgnored() || a.Eviction() != NotEvicted || !a.Stopping() || a.Grace() != 0 || a.CommandSequence() != 0 {
		t.Fatal("a stop doesn't replace an eviction")
	}
}
