package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/recovery"
)

// HeartbeatReceived brings a worker's heartbeat; its Response is in the effects.
type HeartbeatReceived struct{ Heartbeat fleet.Heartbeat }

func (r HeartbeatReceived) apply(e *Engine, now time.Time) {
	heartbeat := r.Heartbeat
	e.out.Response = &HeartbeatResponse{}
	if heartbeat.FencingToken > e.numbers.term {
		e.out.HigherFencingToken = heartbeat.FencingToken
		return
	}
	if e.machines.wasRemoved(heartbeat.Machine) {
		return // sent before the machine was released
	}
	m := e.machines.get(heartbeat.Machine)
	if m == nil {
		pool := fleet.PoolKey{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
		m = fleet.NewMachine(now, heartbeat.Machine, pool)
		e.addMachine(now, m)
		e.log(LogMachineDiscovered, logMachine(m), slog.String("type", m.Type), slog.String("zone", m.Zone))
	}
	if heartbeat.FencingToken == e.numbers.term && !m.FencingTokenSent() {
		// It has this fencing token from a leader that the state service has forgotten.
		e.out.HigherFencingToken = heartbeat.FencingToken
		return
	}
	if !m.Newer(&heartbeat) {
		e.staleHeartbeat(now, m, &heartbeat)
		return // a stale copy proves nothing and must not renew the lease
	}
	active := m.ActiveAttempts()
	e.applyHeartbeat(now, m, &heartbeat)
	// Room has become free, or a new leader is about to place: a start decided now
	// would otherwise wait for the worker's next heartbeat.
	startExpected := m.ActiveAttempts() < active || e.emptyUnderNewLeader(now, m)
	e.respond(now, m, startExpected && m.StartBlock() == fleet.NotBlocked)
	m.RenewLease(now)
}

// respond answers the newest heartbeat of a machine with 200, at once or after a hold.
func (e *Engine) respond(now time.Time, m *fleet.Machine, hold bool) {
	m.HeartbeatAnswered(hold)
	e.out.Response = &HeartbeatResponse{OK: true, FencingToken: e.numbers.term, Held: hold}
	if !hold {
		e.out.Response.Commands = e.commands(now, m)
	}
}

// staleHeartbeat handles a heartbeat that isn't newer than all known ones. Mostly it is a
// late or duplicate copy. If such heartbeats rise steadily while nothing newer comes, the
// machine's worker has restarted and counts from one again: all that was there is
// lost, and since nothing tells its heartbeats from copies, the machine is released.
func (e *Engine) staleHeartbeat(now time.Time, m *fleet.Machine, r *fleet.Heartbeat) {
	restarted := m.StaleHeartbeats.NoteStale(now, r, e.cfg.HeartbeatInterval)
	if restarted && now.Sub(m.LastHeartbeat()) > e.unresponsiveAfter() {
		e.scaleIn(now, m, ScaleInWorkerRestarted)
	}
}

// emptyUnderNewLeader reports whether a machine is empty in the first heartbeat interval of a
// leader, which then has much to place at once, and which doesn't lag (docs/design.md,
// "Safety arguments", last paragraph; TestNewLeaderHoldsAnswers).
func (e *Engine) emptyUnderNewLeader(now time.Time, m *fleet.Machine) bool {
	return m.Empty() && now.Sub(e.started) < e.cfg.HeartbeatInterval && e.ticks.sinceLast(now) < maxTickLag
}

// maxResponseHold is how long a reply may be held in all, maxTickLag how late a tick may be
// while replies are held.
const (
	maxResponseHold = 2 * time.Second
	maxTickLag      = 300 * time.Millisecond
)

// keepHeld reports whether a reply that was held had better be held once more: the
// machine is still empty, or what was placed there isn't written yet.
func (e *Engine) keepHeld(now time.Time, m *fleet.Machine) bool {
	if m.StartBlock() != fleet.NotBlocked || now.Sub(m.LastHeartbeat()) > maxResponseHold {
		return false
	}
	for a := range m.Attempts() {
		if a.State() == fleet.Intended {
			return true
		}
	}
	return e.emptyUnderNewLeader(now, m)
}

// HeldResponseDue completes the reply to a heartbeat that was held for a moment.
type HeldResponseDue struct{ Heartbeat fleet.Heartbeat }

func (c HeldResponseDue) apply(e *Engine, now time.Time) {
	e.out.Response = &HeartbeatResponse{}
	m := e.machines.get(c.Heartbeat.Machine)
	if m == nil || m.Incarnation() != c.Heartbeat.Incarnation || m.Sequence() != c.Heartbeat.Sequence {
		return // a newer heartbeat has come; only its answer may start anything
	}
	e.respond(now, m, e.keepHeld(now, m))
}

// applyHeartbeat takes in a heartbeat that is newer than all before it.
func (e *Engine) applyHeartbeat(now time.Time, m *fleet.Machine, r *fleet.Heartbeat) {
	newIncarnation := r.Incarnation > m.Incarnation() || r.Version().Restarted(m.HeartbeatVersion())
	was, quiet := m.State(), now.Sub(m.LastHeartbeat())
	leaseEnded := newIncarnation && was == fleet.Live && quiet < e.cfg.Lease/2
	if was != fleet.ScalingIn && e.moveMachine(now, m, fleet.Live) {
		e.log(LogMachineLive, append(logPool(m.PoolKey), logMachine(m),
			slog.String("previous_state", was.String()),
			logSince("since_first_seen", now, m.FirstSeen()))...)
	}
	e.detectOneWayLoss(now, m, r, leaseEnded)
	m.HeartbeatReceived(now, r)
	if r.FencingToken == e.numbers.term && m.ConfirmTerm() {
		e.capacityChanged(m)
	}
	if newIncarnation {
		e.incarnationEnded(now, m, r)
	}
	for i := range r.Tasks {
		e.applyTaskStatus(now, m, r.FencingToken, r.Tasks[i])
	}
	if !m.Empty() {
		e.applyUnlisted(now, m, r)
	}
	if r.FencingToken > 0 {
		e.recovery.ConfirmPreviousTerm()
	}
	e.recovery.HeartbeatReceived(m.Name, recovery.ObservedHeartbeat{
		TermConfirmed: r.FencingToken == e.numbers.term,
		HasUnrecorded: m.HasUnrecorded(),
	})
	e.interruptionAnnounced(now, m, r.InterruptionIn)
}

// incarnationEnded takes in that a worker's incarnation has ended: it killed and forgot all that
// earlier incarnations held, also what earlier terms had started. Whatever is there now is in
// the heartbeat's list; of earlier terms' late starts only a confirmed heartbeat can speak
// (docs/design.md, safety argument 5; TestInheritedAttemptNeedsConfirmedHeartbeat).
func (e *Engine) incarnationEnded(now time.Time, m *fleet.Machine, r *fleet.Heartbeat) {
	for _, a := range m.SortedAttempts() {
		if a.State() <= fleet.Recorded && !a.Inherited {
			continue // its start hasn't left, so it belongs to no incarnation yet
		}
		if !listsAttempt(r, a) && (!a.Inherited || m.TermConfirmed()) {
			e.attemptLost(now, m, a, lostIncarnationEnded)
		}
	}
}

// listsAttempt reports whether a heartbeat names an attempt.
func listsAttempt(r *fleet.Heartbeat, a *fleet.Attempt) bool {
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.Attempt == a.Number && t.Task == a.Task && t.Ref == a.Ref {
			return true
		}
	}
	return false
}

// applyUnlisted deals with attempts that a heartbeat doesn't list (docs/design.md, safety
// argument 5; TestDroppedStart, TestOldHeartbeatProvesNothing).
func (e *Engine) applyUnlisted(now time.Time, m *fleet.Machine, r *fleet.Heartbeat) {
	for _, a := range m.SortedAttempts() {
		if listsAttempt(r, a) {
			continue
		}
		if a.State() == fleet.Exited {
			e.removeAttempt(now, m, a)
			e.exitNoLongerListed(a)
			continue
		}
		finding := recovery.ClassifyUnreported(recovery.UnreportedAttempt{
			Inherited: a.Inherited, Confirmed: m.TermConfirmed(),
			// The response with the start was answered or dropped before this heartbeat was
			// sent; the worker never executes it later.
			Answered: a.State() == fleet.Sent && r.Sequence > a.CommandSequence(),
			Seen:     a.State() >= fleet.Fetching,
		})
		if finding.Action == recovery.MarkLost {
			e.recovery.AddFinding(m.Name, finding)
			e.attemptLost(now, m, a, lostReason(finding.Reason.String()))
		}
	}
}

// exitNoLongerListed handles an exit that left the heartbeats before it was dealt with
// (the worker's lease ended): a result was noted already, all else is handled.
func (e *Engine) exitNoLongerListed(a *fleet.Attempt) {
	if !a.ExitHandled && a.Cause != fleet.CauseDone {
		e.requeue(a)
	}
}

// applyTaskStatus takes in one task of a heartbeat that was sent under a fencing token. What it is, and
// what is done about it, is decided by recovery.Classify.
func (e *Engine) applyTaskStatus(now time.Time, m *fleet.Machine, token uint64, t fleet.TaskStatus) {
	k := fleet.TaskID{Ref: t.Ref, Task: t.Task}
	finding := recovery.Classify(e.observe(m, m.Attempt(k), token, t))
	e.recovery.AddFinding(m.Name, finding)
	switch finding.Action {
	case recovery.Ignore:
		return
	case recovery.MarkLost:
		e.attemptLost(now, m, m.Attempt(k), lostReason(finding.Reason.String()))
		e.applyTaskStatus(now, m, token, t)
		return
	case recovery.WithdrawFirst:
		if e.withdrawStart(now, m, k) {
			e.applyTaskStatus(now, m, token, t)
		}
		return
	case recovery.Adopt:
		e.adoptRunning(now, m, t)
	case recovery.Stop:
		e.adoptUnrecorded(now, m, t)
	default:
		if m.Attempt(k) == nil {
			e.adoptExited(now, m, t)
		}
	}
	e.updateAttempt(now, m, m.Attempt(k), t)
}

// updateAttempt takes over what a heartbeat says of an attempt.
func (e *Engine) updateAttempt(now time.Time, m *fleet.Machine, a *fleet.Attempt, t fleet.TaskStatus) {
	a.Inherited = false
	if t.State == fleet.Exited {
		e.taskExited(now, m, a, t)
		return
	}
	e.moveAttempt(now, m, a, t.State)
	if t.State != fleet.Fetching && a.Image != "" && m.ImageThere(now, a.Image, e.imageGB(a.Ref)) {
		e.imagesChanged(m)
	}
	if j := e.jobs.get(t.Ref); j != nil && t.State == fleet.Running {
		j.Started = true
	}
}
