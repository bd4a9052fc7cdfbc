package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/drain"
)

const (
	// drainsPerRound is how many machines that are being drained one round checks; the next round
	// continues after them.
	drainsPerRound = 64
	// proposalsPerRound is how many machines one round considers to cordon next.
	proposalsPerRound = 16
	// drainCheckInterval is the least time between two checks of one machine.
	drainCheckInterval = 400 * time.Millisecond
	// maxLostDivisor bounds how much of the fleet may send no heartbeats: one machine in
	// maxLostDivisor, and at least one. While more do, nothing is disrupted.
	maxLostDivisor = 10
	// maxCordonLead is how long before the end of the closed windows of its tasks a machine may be
	// cordoned.
	maxCordonLead = 5 * time.Minute
)

// drainRound advances the drain plans.
func (e *Engine) drainRound(now time.Time) {
	d := e.drains
	if d == nil {
		return
	}
	complete := e.machinesComplete(now)
	e.out.Drains = append(e.out.Drains, d.coordinator.PlanWrites(now, d.lastMachine, complete)...)
	d.moving.forgetPlaced()
	e.withdrawUnusedCharges(now)
	booking := e.newCapacityBooking(now)
	e.evictForConsolidation(now, booking)
	if e.mayDisrupt(now) {
		e.cordonNext(now)
	}
	for _, m := range d.coordinator.NextActive(drainsPerRound) {
		if now.Sub(m.CheckedAt) >= drainCheckInterval {
			m.CheckedAt = now
			e.drainMachine(now, m, booking, complete)
		}
	}
}

// machinesComplete reports whether all existing machines are known: the takeover is over, and the
// cloud's list was read so long after the start of this term that even the newest machine is on it.
func (e *Engine) machinesComplete(now time.Time) bool {
	wait := 2*e.cfg.InstanceListLag + e.cfg.HeartbeatInterval
	return e.machines.everListed() && e.machines.lastListed().Sub(e.started) > wait && e.settled(now)
}

// mayDisrupt reports whether the leader knows enough, and enough of the fleet sends heartbeats, for
// voluntary interruptions. While the store takes no writes, no charge can be made.
func (e *Engine) mayDisrupt(now time.Time) bool {
	if len(e.catalog) == 0 || !e.settled(now) || e.batches.failing || e.ticks.answersLate(now, e.cfg.HeartbeatInterval) {
		return false
	}
	lost := e.machines.inState(fleet.Unresponsive) + e.machines.inState(fleet.AwaitingHeartbeat) +
		e.machines.unreachableCount()
	return lost <= max(1, e.machines.count()/maxLostDivisor)
}

// cordonNext cordons further machines, as far as the plans' limits allow.
func (e *Engine) cordonNext(now time.Time) {
	c := e.drains.coordinator
	for range proposalsPerRound {
		name, plan := c.NextToCordon(now)
		if name == "" {
			return
		}
		m := e.machines.get(name)
		if m == nil {
			c.MachineRemoved(name)
			continue
		}
		if why := e.mayCordon(now, m, c.PlanDeadline(plan)); why.Kind != drain.Allowed {
			c.DeferMachine(now, name, plan, why)
			continue
		}
		c.Cordon(now, name, plan)
		e.applyCordon(m)
		e.withdrawUnsentStarts(now, m)
		e.log(LogMachineCordoned, logMachine(m), slog.String(logKeyPlan, plan), logActive(m))
	}
}

// mayCordon returns whether a machine may be cordoned now and, if not, why. The machine must be live
// and not draining already, and no gang may be starting there. All its tasks must be able to leave
// by the plan's deadline, and none may have to wait longer than maxCordonLead for a closed window to
// end.
func (e *Engine) mayCordon(now time.Time, m *fleet.Machine, deadline time.Time) drain.Verdict {
	if m.State() != fleet.Live || m.Draining() {
		return drain.Verdict{Kind: drain.NotYet, Cause: drain.CauseAwaitingHeartbeat}
	}
	work := e.workOn(now, m)
	if work.gangStarting {
		return drain.Verdict{Kind: drain.NotYet, Cause: drain.CauseLeaving}
	}
	if v := e.judgeAll(now, work, deadline); v.Kind == drain.Never {
		return v
	}
	for _, group := range work.groups {
		if v := group.verdict; v.Kind == drain.NotYet && v.Cause == drain.CauseClosed && v.Until.Sub(now) > maxCordonLead {
			return v
		}
	}
	return drain.Verdict{}
}

// drainMachine checks one machine that is being drained and takes the next step.
func (e *Engine) drainMachine(now time.Time, dm *drain.Machine, booking *capacityBooking, complete bool) {
	c := e.drains.coordinator
	m := e.machines.get(dm.Name)
	if m == nil {
		if complete {
			c.MachineRemoved(dm.Name) // neither the cloud's list nor any heartbeat has named it in time
		}
		return
	}
	if m.State() == fleet.ScalingIn || dm.State() == drain.Empty {
		dm.Verdict = drain.Verdict{}
		return
	}
	dm.Verdict = e.emptyMachine(now, dm, m, booking)
}

// emptyMachine takes the next step towards emptying a machine, and returns why it isn't empty yet.
func (e *Engine) emptyMachine(
	now time.Time, dm *drain.Machine, m *fleet.Machine, booking *capacityBooking,
) drain.Verdict {
	c := e.drains.coordinator
	notYet := func(cause drain.Cause) drain.Verdict { return drain.Verdict{Kind: drain.NotYet, Cause: cause} }
	switch {
	case m.State() != fleet.Live:
		return notYet(drain.CauseAwaitingHeartbeat)
	case !dm.CordonStored():
		return notYet(drain.CauseNotStored)
	case c.PlanPhase(dm) == drain.Paused:
		e.revokeEvictions(m.Name)
		return notYet(drain.CausePaused)
	case m.ActiveAttempts() == 0 && !m.HasUnhandledExits():
		e.machineEmptied(now, dm, m)
		return drain.Verdict{}
	case !e.mayDisrupt(now):
		return notYet(drain.CauseUnsettled)
	}
	if dm.State() == drain.Cordoned {
		c.Move(dm, drain.Emptying)
	}
	work := e.workOn(now, m)
	for _, group := range work.groups {
		group.candidate.CordonedAt = dm.CordonedAt
	}
	verdict := e.judgeAll(now, work, c.PlanDeadline(dm.Plan))
	if verdict.Kind == drain.Never {
		e.log(LogMachineDrainBlocked, logMachine(m), logReason(verdict.String()))
		c.DeferMachine(now, m.Name, dm.Plan, verdict)
		e.revokeEvictions(m.Name)
		e.applyCordon(m)
		return verdict
	}
	if blocked := e.evictAllowed(now, dm, work, booking); blocked.Kind != drain.Allowed {
		return blocked
	}
	if verdict.Kind == drain.Allowed {
		return notYet(drain.CauseLeaving)
	}
	return verdict
}

// machineEmptied starts the release of a machine that is empty.
func (e *Engine) machineEmptied(now time.Time, dm *drain.Machine, m *fleet.Machine) {
	if e.drains.coordinator.Move(dm, drain.Empty) {
		e.log(LogMachineDrained, logMachine(m), slog.String(logKeyPlan, dm.Plan), logSince("took", now, dm.CordonedAt))
		e.startDraining(now, m)
	}
}

// judgeAll sets the verdicts of all groups on a machine and returns the strictest one. A group that
// may leave only after the deadline gets the verdict Never.
func (e *Engine) judgeAll(now time.Time, work *machineWork, deadline time.Time) drain.Verdict {
	worst := drain.Verdict{}
	for _, group := range work.groups {
		v := e.judge(now, group)
		if v.Kind == drain.NotYet && !deadline.IsZero() && e.earliestLeave(now, group, v).After(deadline) {
			v.Kind, v.Cause = drain.Never, drain.CauseDeadline
		}
		group.verdict = v
		if v.Kind > worst.Kind || v.Kind == worst.Kind && v.Until.After(worst.Until) {
			worst = v
		}
	}
	return worst
}

// earliestLeave returns the earliest time at which a group may leave, as far as is known. A service
// leaves when its verdict allows it, a group that must finish when it is expected to, and any other
// at the earlier of the two times.
func (e *Engine) earliestLeave(now time.Time, g *evictionGroup, v drain.Verdict) time.Time {
	allowed, ends := v.Until, e.expectedEnd(now, g.attempts[0])
	switch {
	case g.candidate.Replicas > 0:
		return allowed
	case v.MustFinish || ends.Before(allowed):
		return ends
	}
	return allowed
}
