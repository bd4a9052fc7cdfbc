package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/recovery"
)

// HeartbeatReceived carries a worker's heartbeat. The answer to it is in Effects.Response.
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
		// The worker has this fencing token from a leader whose claim of this term the state
		// service has lost in a restore.
		e.out.HigherFencingToken = heartbeat.FencingToken
		return
	}
	if !m.Newer(&heartbeat) {
		e.staleHeartbeat(now, m, &heartbeat)
		return // it proves nothing and must not renew the lease
	}
	active := m.ActiveAttempts()
	e.applyHeartbeat(now, m, &heartbeat)
	// The answer is held if capacity has become free, or a new leader is about to place tasks: a
	// start that is decided now would otherwise wait for the worker's next heartbeat.
	startExpected := m.ActiveAttempts() < active || e.emptyUnderNewLeader(now, m)
	e.respond(now, m, startExpected && m.StartBlock() == fleet.NotBlocked)
	m.RenewLease(now)
}

// respond answers the newest heartbeat of a machine with status 200, or holds the answer for a
// moment.
func (e *Engine) respond(now time.Time, m *fleet.Machine, hold bool) {
	m.HeartbeatAnswered(hold)
	e.out.Response = &HeartbeatResponse{OK: true, FencingToken: e.numbers.term, Hold: hold}
	if !hold {
		e.out.Response.Commands = e.commands(now, m)
	}
}

// staleHeartbeat handles a heartbeat that isn't newer than all known ones. Usually it is a late or
// duplicate copy. If the sequence numbers of such heartbeats rise steadily while no newer heartbeat
// arrives, the machine's worker has restarted and counts from one again. All its tasks are lost,
// and since its heartbeats can't be told from copies, the machine is released.
func (e *Engine) staleHeartbeat(now time.Time, m *fleet.Machine, r *fleet.Heartbeat) {
	restarted := m.StaleHeartbeats.NoteStale(now, r, e.cfg.HeartbeatInterval)
	if restarted && now.Sub(m.LastHeartbeat()) > e.unresponsiveAfter() {
		e.scaleIn(now, m, ScaleInWorkerRestarted)
	}
}

// emptyUnderNewLeader reports whether a machine is empty during the first heartbeat interval of a
// leader whose ticks aren't late. A new leader has much to place at once (docs/design.md, "Safety
// arguments", last paragraph; TestNewLeaderHoldsAnswers).
func (e *Engine) emptyUnderNewLeader(now time.Time, m *fleet.Machine) bool {
	return m.Empty() && now.Sub(e.started) < e.cfg.HeartbeatInterval && e.ticks.sinceLast(now) < maxTickLag
}

const (
	// maxResponseHold bounds how long an answer is held in total.
	maxResponseHold = 2 * time.Second
	// maxTickLag bounds the time since the last tick within which a new leader still holds answers.
	maxTickLag = 300 * time.Millisecond
)

// keepHeld reports whether a held answer should be held once more: a start for the machine isn't
// written yet, or the machine is still empty under a new leader.
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

// HeldResponseDue says that a held answer to a heartbeat may now be completed. The engine may hold
// it once more.
type HeldResponseDue struct{ Heartbeat fleet.Heartbeat }

func (c HeldResponseDue) apply(e *Engine, now time.Time) {
	e.out.Response = &HeartbeatResponse{}
	m := e.machines.get(c.Heartbeat.Machine)
	if m == nil || m.Incarnation() != c.Heartbeat.Incarnation || m.Sequence() != c.Heartbeat.Sequence {
		return // a newer heartbeat has arrived; only the answer to that one may carry starts
	}
	e.respond(now, m, e.keepHeld(now, m))
}

// applyHeartbeat applies a heartbeat that is newer than all earlier ones of its machine.
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
		HasUnwanted:   m.HasUnwanted(),
	})
	e.interruptionAnnounced(now, m, r.InterruptionIn)
}

// incarnationEnded marks attempts as lost after the start of a new incarnation of a worker, which
// has killed and forgotten all tasks of earlier incarnations, also those that earlier terms
// started. The tasks that are there now are in the heartbeat. That inherited attempts are gone can
// be concluded only from a heartbeat with this term's fencing token, since an earlier leader's
// start may arrive late (docs/design.md, safety argument 5;
// TestInheritedAttemptNeedsConfirmedHeartbeat).
func (e *Engine) incarnationEnded(now time.Time, m *fleet.Machine, r *fleet.Heartbeat) {
	for _, a := range m.SortedAttempts() {
		if a.State() <= fleet.Recorded && !a.Inherited {
			continue // its start hasn't been sent, so it belongs to no incarnation yet
		}
		if !listsAttempt(r, a) && (!a.Inherited || m.TermConfirmed()) {
			e.attemptLost(now, m, a, lostIncarnationEnded)
		}
	}
}

// listsAttempt reports whether a heartbeat lists an attempt.
func listsAttempt(r *fleet.Heartbeat, a *fleet.Attempt) bool {
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.Attempt == a.Number && t.Task == a.Task && t.Ref == a.Ref {
			return true
		}
	}
	return false
}

// applyUnlisted handles the attempts on a machine that its heartbeat doesn't list (docs/design.md,
// safety argument 5; TestDroppedStart, TestOldHeartbeatProvesNothing).
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
			Inherited: a.Inherited, TermConfirmed: m.TermConfirmed(),
			// The worker received or dropped the answer with the start before it sent this
			// heartbeat, and doesn't execute it later.
			Answered: a.State() == fleet.Sent && r.Sequence > a.CommandSequence(),
			Seen:     a.State() >= fleet.Fetching,
		})
		if finding.Action == recovery.MarkLost {
			e.recovery.AddFinding(m.Name, finding)
			e.attemptLost(now, m, a, lostReason(finding.Reason.String()))
		}
	}
}

// exitNoLongerListed handles an exit that heartbeats no longer list. Usually its worker was told to
// forget it, but a worker also forgets exits when its lease ends. A success has been noted already;
// for any other exit that hasn't been handled, the task is requeued.
func (e *Engine) exitNoLongerListed(a *fleet.Attempt) {
	if !a.ExitHandled && a.Cause != fleet.CauseDone {
		e.requeue(a)
	}
}

// applyTaskStatus applies one task of a heartbeat. token is the heartbeat's fencing token.
// recovery.Classify decides what the task is and what to do about it.
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
		e.stopUnwanted(now, m, t)
	default:
		if m.Attempt(k) == nil {
			e.adoptExited(now, m, t)
		}
	}
	e.updateAttempt(now, m, m.Attempt(k), t)
}

// updateAttempt updates an attempt with its status in a heartbeat.
func (e *Engine) updateAttempt(now time.Time, m *fleet.Machine, a *fleet.Attempt, t fleet.TaskStatus) {
	a.Inherited = false
	if t.State == fleet.Exited {
		e.taskExited(now, m, a, t)
		return
	}
	e.moveAttempt(now, m, a, t.State)
	if t.State != fleet.Fetching && a.Image != "" && m.ConfirmImage(now, a.Image, e.imageGB(a.Ref)) {
		e.imagesChanged(m)
	}
	if j := e.jobs.get(t.Ref); j != nil && t.State == fleet.Running {
		j.Started = true
	}
}
