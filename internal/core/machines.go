package core

import (
	"time"

	"gingertally/internal/core/fleet"
)

// addMachine adds a machine that wasn't known.
func (e *Engine) addMachine(now time.Time, m *fleet.Machine) {
	e.machines.add(now, m)
	m.SetImages(e.images.takeInherited(m.Name))
	e.recovery.AddUnrecordedMachine(m.Name)
	e.capacityChanged(m)
	e.drainMachineAdded(now, m)
}

// moveMachine changes the state of a known machine. No other function does. It returns false if
// nothing changes.
func (e *Engine) moveMachine(now time.Time, m *fleet.Machine, to fleet.MachineState) bool {
	if !e.machines.move(now, m, to) {
		return false
	}
	if to == fleet.Unresponsive || to == fleet.ScalingIn {
		e.recovery.MachineGivenUp(m.Name)
	}
	e.capacityChanged(m)
	return true
}

// removeMachine removes a machine that is proven gone. Attempts on it that haven't exited are lost.
func (e *Engine) removeMachine(now time.Time, m *fleet.Machine) {
	e.moveMachine(now, m, fleet.Removed)
	for _, a := range m.SortedAttempts() {
		if a.State() == fleet.Exited {
			e.removeAttempt(now, m, a)
			e.exitNoLongerListed(a)
			continue
		}
		e.attemptLost(now, m, a, lostMachineRemoved)
	}
	e.machines.remove(now, m)
	e.recovery.MachineRemoved(m.Name)
	e.images.machineRemoved(m.Name)
	e.drainMachineRemoved(m)
	e.warm.noteMachine(m.Name)
	e.log(LogMachineRemoved, logMachine(m))
}

// checkMachines runs the checks of machines that are due: for unresponsiveness, expired leases and
// boots that take too long.
func (e *Engine) checkMachines(now time.Time) {
	for m := e.machines.nextDue(now); m != nil; m = e.machines.nextDue(now) {
		next := e.checkMachine(now, m)
		if m.State() != fleet.Removed {
			e.machines.checkAt(m, next)
		}
	}
	e.machines.pruneRemoved(now)
}

// recheckEvery is how soon a machine is checked again while it needs attention.
const recheckEvery = 200 * time.Millisecond

// checkMachine checks one machine and returns when to check it again.
func (e *Engine) checkMachine(now time.Time, m *fleet.Machine) time.Time {
	next := now.Add(recheckEvery)
	switch m.State() {
	case fleet.ScalingIn:
		if m.ScaleInToRetry() {
			e.scaleIn(now, m, ScaleInRetry)
		}
		next = now.Add(time.Second)
	case fleet.Booting:
		if now.Sub(m.FirstSeen()) > e.bootTimeout(e.bootTime(m)) && now.Sub(e.started) > e.firstHeartbeatTimeout(m) {
			e.scaleIn(now, m, ScaleInNeverLive)
		}
		next = now.Add(time.Second)
	case fleet.Live, fleet.Unresponsive, fleet.AwaitingHeartbeat:
		e.checkResponsiveness(now, m)
		e.scaleInUnreachable(now, m)
		if m.HeartbeatExpected() && now.Sub(m.LastHeartbeat()) > e.unresponsiveAfter() {
			e.stopExpectingHeartbeat(now, m)
		}
		switch {
		case m.State() == fleet.Live && !m.ToBeReleased() && !m.OneWayLoss.Unreachable():
			next = m.LastHeartbeat().Add(e.unresponsiveAfter() + time.Millisecond)
		case m.State() == fleet.Unresponsive && m.Empty():
			next = now.Add(time.Second)
		}
	}
	if m.ToBeReleased() || m.OneWayLoss.Unreachable() || m.State() == fleet.Unresponsive {
		e.withdrawUnsentStarts(now, m)
	}
	if m.State() == fleet.Live && m.ToBeReleased() && m.ActiveAttempts() == 0 && !m.HasUnhandledExits() {
		e.scaleIn(now, m, ScaleInDrained)
	}
	if !next.After(now) {
		next = now.Add(recheckEvery)
	}
	return next
}

// startDraining ends starts on a machine, which is then released once it is empty.
func (e *Engine) startDraining(now time.Time, m *fleet.Machine) {
	m.StartDraining()
	e.machines.checkAt(m, now)
	e.capacityChanged(m)
}

// withdrawUnsentStarts withdraws the starts that haven't been sent to a machine that gets no more
// starts; they would wait there forever.
func (e *Engine) withdrawUnsentStarts(now time.Time, m *fleet.Machine) {
	for _, a := range m.SortedAttempts() {
		if a.State() <= fleet.Recorded && !a.Inherited {
			e.stop(now, m, a, 0)
			e.stopBrokenGang(now, a)
		}
	}
}

// bootTimeout returns how long a machine may boot before it is released. Boots usually take up to
// one and a half times the nominal time, some several times as long.
func (e *Engine) bootTimeout(boot time.Duration) time.Duration {
	return 4*boot + 2*e.cfg.InstanceListLag + 10*time.Second
}

// firstHeartbeatTimeout returns how long after its claim a new leader waits for the first heartbeat
// of a machine that no record names. A machine that was up and idle under the last leader looks
// just like one that is still booting, and may take a lease's time to find the new leader. If the
// cloud lists it as running, it may be in a zone that is cut off, and is kept like an unresponsive
// machine.
func (e *Engine) firstHeartbeatTimeout(m *fleet.Machine) time.Duration {
	if m.ListedRunning() {
		return e.unresponsiveLimit(m)
	}
	return e.cfg.Lease
}

// missingFromList reports whether the cloud no longer lists a machine that it listed before. That
// is enough to release the machine before its worker's lease has ended; the release proves the
// tasks on it gone. Machines that only hang stay listed and are waited for.
func (e *Engine) missingFromList(m *fleet.Machine) bool {
	return !m.ListedAt().IsZero() && e.machines.lastListed().Sub(m.ListedAt()) > 2*e.cfg.InstanceListLag+4*time.Second
}

// unresponsiveAfter returns after how long without heartbeats a machine counts as unresponsive and
// gets no more starts: two heartbeats are then missing, and the time that a worker needs to change
// to another node between them has passed.
func (e *Engine) unresponsiveAfter() time.Duration { return 2*e.cfg.HeartbeatInterval + 5*time.Second }

// checkResponsiveness handles a machine that sends no heartbeats: it becomes unresponsive, its
// attempts are lost once its worker's lease has ended, and it is released if the cloud no longer
// lists it or after unresponsiveLimit.
func (e *Engine) checkResponsiveness(now time.Time, m *fleet.Machine) {
	quiet := now.Sub(m.LastHeartbeat())
	if m.State() == fleet.Live && quiet > e.unresponsiveAfter() && e.moveMachine(now, m, fleet.Unresponsive) {
		e.log(LogMachineUnresponsive, logMachine(m), logActive(m))
	}
	if m.State() != fleet.Live && quiet > e.unresponsiveAfter() && e.missingFromList(m) {
		e.scaleIn(now, m, ScaleInUnresponsive)
		return
	}
	if !m.LeaseExpired(now, e.cfg.Lease) {
		return
	}
	e.moveMachine(now, m, fleet.Unresponsive) // a task placed on it now would count as lost at once
	if m.ActiveAttempts() > 0 {
		e.log(LogWorkerLeaseExpired, logMachine(m), logActive(m))
	}
	for _, a := range m.SortedAttempts() {
		if a.State() != fleet.Exited {
			e.attemptLost(now, m, a, lostLeaseExpired)
		}
	}
	if quiet > e.unresponsiveLimit(m) {
		e.scaleIn(now, m, ScaleInUnresponsive)
	}
}

// unresponsiveLimit returns how long a machine that sends no heartbeats but stays listed is kept:
// its worker's lease, after which its tasks are gone, plus about the time that a replacement would
// take to be ready. Machines in a zone that is cut off, or many machines that hang, mostly come
// back sooner, with their images. Until then, waiting tasks are placed on other machines, and more
// machines are requested.
func (e *Engine) unresponsiveLimit(m *fleet.Machine) time.Duration {
	return e.cfg.Lease + 2*e.bootTime(m)
}

// defaultBootTime is the assumed boot time of machines of unknown type.
const defaultBootTime = time.Minute

// bootTime returns the nominal boot time of a machine.
func (e *Engine) bootTime(m *fleet.Machine) time.Duration {
	if t := e.catalog[m.Type]; t != nil {
		return t.Boot
	}
	return defaultBootTime
}

// HasLiveMachines reports whether any machine is live or unresponsive, and so probably up.
func (e *Engine) HasLiveMachines() bool {
	for m := range e.machines.all() {
		if s := m.State(); s == fleet.Live || s == fleet.Unresponsive {
			return true // usually true of the first machine
		}
	}
	return false
}
