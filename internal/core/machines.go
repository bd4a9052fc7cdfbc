package core

import (
	"time"

	"gingertally/internal/core/fleet"
)

// addMachine takes in a machine that is new here.
func (e *Engine) addMachine(now time.Time, m *fleet.Machine) {
	e.machines.add(now, m)
	m.SetImages(e.images.takeInherited(m.Name))
	e.recovery.AddUnrecordedMachine(m.Name)
	e.capacityChanged(m)
	e.drainMachineAdded(now, m)
}

// moveMachine is the one place where a machine that is known here changes state. It returns
// false if nothing changes.
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

// removeMachine forgets a machine that is proven gone with all on it.
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

// checkMachines looks at the machines for which it is time: unresponsiveness, ended
// leases, boots that take too long.
func (e *Engine) checkMachines(now time.Time) {
	for m := e.machines.nextDue(now); m != nil; m = e.machines.nextDue(now) {
		next := e.checkMachine(now, m)
		if m.State() != fleet.Removed {
			e.machines.checkAt(m, next)
		}
	}
	e.machines.pruneRemoved(now)
}

// recheckEvery is how soon a machine is looked at again on which something is
// going on.
const recheckEvery = 200 * time.Millisecond

// checkMachine looks at one machine and says when to do so again.
func (e *Engine) checkMachine(now time.Time, m *fleet.Machine) time.Time {
	next := now.Add(recheckEvery)
	switch m.State() {
	case fleet.ScalingIn:
		if m.ScaleInToRetry() {
			e.scaleIn(now, m, ScaleInRetry)
		}
		next = now.Add(time.Second)
	case fleet.Booting:
		if now.Sub(m.FirstSeen()) > e.bootLimit(e.bootTime(m)) && now.Sub(e.started) > e.firstHeartbeatTimeout(m) {
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
	if m.State() == fleet.Live && m.ToBeReleased() && m.ActiveAttempts() == 0 && !m.HasUnstoredResults() {
		e.scaleIn(now, m, ScaleInDrained)
	}
	if !next.After(now) {
		next = now.Add(recheckEvery)
	}
	return next
}

// startDraining keeps a machine from getting more starts; it goes back once empty.
func (e *Engine) startDraining(now time.Time, m *fleet.Machine) {
	m.StartDraining()
	e.machines.checkAt(m, now)
	e.capacityChanged(m)
}

// withdrawUnsentStarts takes back starts that haven't left from a machine that gets
// no more of them; they would wait there for good.
func (e *Engine) withdrawUnsentStarts(now time.Time, m *fleet.Machine) {
	for _, a := range m.SortedAttempts() {
		if a.State() <= fleet.Recorded && !a.Inherited {
			e.stop(now, m, a, 0)
			e.stopBrokenGang(now, a)
		}
	}
}

// bootLimit is after how long a boot is given up: boots usually take up to one
// and a half times the nominal time, some several times as long.
func (e *Engine) bootLimit(boot time.Duration) time.Duration {
	return 4*boot + 2*e.cfg.InstanceListLag + 10*time.Second
}

// firstHeartbeatTimeout is how long after its claim a new leader waits for a machine that no
// record names. One that was up and idle under the last leader looks just like one that
// is still booting: it may take a lease's time to find the new leader. If the cloud lists
// it as running, it may be in a zone that is cut off, and is kept like an unresponsive one.
func (e *Engine) firstHeartbeatTimeout(m *fleet.Machine) time.Duration {
	if m.ListedRunning() {
		return e.unresponsiveLimit(m)
	}
	return e.cfg.Lease
}

// missingFromList reports whether the cloud no longer lists a machine that it did: hint
// enough to release it before its worker's lease has ended, which proves all on
// it gone. Machines that only hang stay listed, and are waited for.
func (e *Engine) missingFromList(m *fleet.Machine) bool {
	return !m.ListedAt().IsZero() && e.machines.lastListed().Sub(m.ListedAt()) > 2*e.cfg.InstanceListLag+4*time.Second
}

// unresponsiveAfter is when a machine that sends no heartbeats gets no more starts: two
// heartbeats have then failed to arrive, with a change of node between them.
func (e *Engine) unresponsiveAfter() time.Duration { return 2*e.cfg.HeartbeatInterval + 5*time.Second }

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
	e.moveMachine(now, m, fleet.Unresponsive) // whatever is placed on it now would be counted as gone at once
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

// unresponsiveLimit is how long a machine is kept that sends no heartbeats but stays listed:
// beyond its worker's lease, which ends all on it, for about as long as another
// would take to be of use. A zone that is cut off, or many machines that hang,
// mostly come back sooner, with their images; and while they are away, what waits
// is placed and requested elsewhere.
func (e *Engine) unresponsiveLimit(m *fleet.Machine) time.Duration {
	return e.cfg.Lease + 2*e.bootTime(m)
}

// unknownBoot is the boot time of machines of unknown type.
const unknownBoot = time.Minute

// bootTime is the nominal boot time of a machine.
func (e *Engine) bootTime(m *fleet.Machine) time.Duration {
	if t := e.catalog[m.Type]; t != nil {
		return t.Boot
	}
	return unknownBoot
}

// HasLiveMachines reports whether any machine is up as far as is known.
func (e *Engine) HasLiveMachines() bool {
	for m := range e.machines.all() {
		if s := m.State(); s == fleet.Live || s == fleet.Unresponsive {
			return true // mostly the first one looked at
		}
	}
	return false
}
