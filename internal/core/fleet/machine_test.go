package fleet

import (
	"testing"
	"time"
)

// Whatever is wrong with a machine, the reason named is the strongest one, and only those that
// don't pass by themselves take it out of placement. A place that looks at the facts one by
// one would be the one that forgets the next fact.
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

// A release that failed is asked for again only after a pause; one that is under way isn't.
func TestScaleInRetry(t *testing.T) {
	m := NewMachine(at(0), "m-1", PoolKey{Type: "cpu", Zone: "a"})
	if m.ScaleInPending(at(0)) {
		t.Fatal("pending before it is asked for")
	}
	m.Move(at(0), ScalingIn)
	m.ScaleInRequested()
	if !m.ScaleInPending(at(9)) || m.ScaleInToRetry() {
		t.Fatal("asked for a second time without an answer")
	}
	m.ScaleInFailed(at(10))
	if !m.ScaleInPending(at(9)) || m.ScaleInPending(at(10)) || !m.ScaleInToRetry() {
		t.Fatal("a failed release isn't asked for again after the pause, or is before")
	}
}

// A machine is idle from when it can be used: counted from its request, one that boots slowly
// would be released as idle as soon as it comes up.
func TestIdleFromFirstUse(t *testing.T) {
	expected := map[MachineState]time.Time{Booting: at(5), Unresponsive: at(5), AwaitingHeartbeat: at(0)}
	for from, idleSince := range expected {
		m := newMachine(at(0), "m-1", PoolKey{}, from)
		if !m.Move(at(5), Live) || !m.IdleSince().Equal(idleSince) {
			t.Errorf("from %s: idle since %s", from, m.IdleSince())
		}
	}
}

// What a leader hands on of a machine is what the next one starts from.
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
		t.Fatalf("handed on: %+v", next.History())
	}
}

// An eviction that the worker ignores is noticed by the next heartbeat, and a stop takes its place
// for good: an eviction that could be taken back after a stop would let the attempt run on.
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
		t.Fatal("an eviction that has gone out is taken back")
	}
	m.HeartbeatReceived(at(4), &Heartbeat{Incarnation: 1, Sequence: 2})
	if !a.EvictionIgnored() {
		t.Fatal("an ignored eviction isn't noticed")
	}
	a.RequestStop(at(4), 0)
	if a.EvictionIgnored() || a.Eviction() != NotEvicted || !a.Stopping() || a.Grace() != 0 || a.CommandSequence() != 0 {
		t.Fatal("a stop doesn't take the place of an eviction")
	}
}
