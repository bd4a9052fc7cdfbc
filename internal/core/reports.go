package core

import (
	"sort"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// ReportIn brings a worker's report; its Reply is in the effects.
type ReportIn struct{ Report fleet.Report }

func (r ReportIn) apply(e *Engine, now time.Time) {
	rep := r.Report
	e.out.Reply = &Reply{}
	if rep.Token > e.term {
		e.out.Deposed = true
		return
	}
	if _, gone := e.gone[rep.Machine]; gone {
		return // sent before the machine was released
	}
	m := e.machines[rep.Machine]
	if m == nil {
		m = fleet.NewMachine(now, rep.Machine, rep.Type, rep.Zone, rep.Spot, fleet.Booting)
		m.Confirmed = true // the start log doesn't name it, so it never held a task
		e.addMachine(now, m)
		e.note("machine reports unexpectedly", "machine", m.Name, "type", m.Type, "zone", m.Zone)
	}
	if !m.Newer(&rep) {
		e.staleReport(now, m, &rep)
		return // a stale copy proves nothing and must not renew the lease
	}
	busy := m.Busy()
	e.applyReport(now, m, &rep)
	// Room has become free, or a new leader is about to place: a start decided now
	// would otherwise wait for the worker's next report.
	startExpected := m.Busy() < busy || e.emptyUnderNewLeader(now, m)
	e.reply(now, m, startExpected && e.mayStart(m))
	m.LeaseBase = now
}

// reply answers the newest report of a machine with 200, at once or after a hold.
func (e *Engine) reply(now time.Time, m *fleet.Machine, hold bool) {
	m.AnswerHeld = hold
	e.out.Reply = &Reply{OK: true, Token: e.term, Hold: hold}
	if !hold {
		e.out.Reply.Commands = e.commands(now, m)
	}
}

// staleReport handles a report that isn't newer than all known ones. Mostly it is a
// late or duplicate copy. If such reports rise steadily while nothing newer comes, the
// machine's worker has restarted and counts from one again: all that was there is
// lost, and since nothing tells its reports from copies, the machine is released.
func (e *Engine) staleReport(now time.Time, m *fleet.Machine, r *fleet.Report) {
	restarted := m.StaleReports.NoteStale(now, r, e.cfg.ReportEvery)
	if restarted && now.Sub(m.LastHeard) > e.silentAfter() {
		e.release(now, m, "started anew")
	}
}

// emptyUnderNewLeader tells whether a machine is empty in the first report period of a
// leader, which then has much to place at once, and which doesn't lag (docs/design.md,
// "Safety arguments", last paragraph; TestNewLeaderHoldsAnswers).
func (e *Engine) emptyUnderNewLeader(now time.Time, m *fleet.Machine) bool {
	return len(m.Tasks) == 0 && now.Sub(e.started) < e.cfg.ReportEvery && now.Sub(e.lastTick) < maxTickLag
}

// maxReplyHold is how long a reply may be held in all, maxTickLag how late a tick may be
// while replies are held.
const (
	maxReplyHold = 2 * time.Second
	maxTickLag   = 300 * time.Millisecond
)

// keepHolding tells whether a reply that was held had better be held once more: the
// machine is still empty, or what was placed there isn't written yet.
func (e *Engine) keepHolding(now time.Time, m *fleet.Machine) bool {
	if !e.mayStart(m) || now.Sub(m.LastHeard) > maxReplyHold {
		return false
	}
	for _, a := range m.Tasks {
		if a.State() == fleet.Intended {
			return true
		}
	}
	return e.emptyUnderNewLeader(now, m)
}

// Collect completes the reply to a report that was held for a moment.
type Collect struct{ Report fleet.Report }

func (c Collect) apply(e *Engine, now time.Time) {
	e.out.Reply = &Reply{}
	m := e.machines[c.Report.Machine]
	if m == nil || m.Session != c.Report.Session || m.Seq != c.Report.Seq {
		return // a newer report has come; only its answer may start anything
	}
	e.reply(now, m, e.keepHolding(now, m))
}

// applyReport takes in a report that is newer than all before it.
func (e *Engine) applyReport(now time.Time, m *fleet.Machine, r *fleet.Report) {
	newSession := r.Session > m.Session || r.Epoch().Restarted(m.Epoch())
	was, quiet := m.State(), now.Sub(m.LastHeard)
	leaseEnded := newSession && was == fleet.Live && quiet < e.cfg.Lease/2
	if was == fleet.Booting || was == fleet.Silent {
		m.IdleSince = now // it couldn't be used before
	}
	if was != fleet.Releasing && e.moveMachine(now, m, fleet.Live) {
		e.note("machine live", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "was", was.String(), "after", now.Sub(m.FirstSeen))
	}
	e.detectOneWayLoss(now, m, r, leaseEnded)
	m.Addr, m.LastHeard = r.Addr, now
	m.Session, m.Seq, m.Token = r.Session, r.Seq, r.Token
	if r.Token == e.term && (!m.Confirmed || !m.Known) {
		m.Confirmed, m.Known = true, true
		e.touch(m)
	}
	if newSession {
		e.endSession(now, m, r)
	}
	for i := range r.Tasks {
		e.applyTaskReport(now, m, r.Token, r.Tasks[i])
	}
	if len(m.Tasks) > 0 {
		e.applyUnlisted(now, m, r)
	}
	e.interruptionNotice(now, m, r.Notice)
}

// delivery is what a report shows about the answers that its machine was sent.
type delivery struct {
	delivered   bool // an answer has shown its effect
	undelivered bool // an answer should have, and hasn't
}

// endSession takes in that a worker's session has ended: it killed and forgot all that
// earlier sessions held, also what earlier terms had started. Whatever is there now is in
// the report's list; of earlier terms' late starts only a confirmed report can speak
// (docs/design.md, safety argument 5; TestInheritedAttemptNeedsConfirmedReport).
func (e *Engine) endSession(now time.Time, m *fleet.Machine, r *fleet.Report) {
	for _, a := range sortedAttempts(m) {
		if !listsAttempt(r, a) && (!a.Inherited || m.Confirmed) {
			e.attemptLost(now, m, a, "session over")
		}
	}
}

// detectOneWayLoss looks in a report for traces of what the machine was last told.
func (e *Engine) detectOneWayLoss(now time.Time, m *fleet.Machine, r *fleet.Report, leaseEnded bool) {
	switch d := e.deliveryShown(now, m, r, leaseEnded); {
	case d.delivered:
		if m.OneWayLoss.Undelivered > 1 {
			e.touch(m)
		}
		m.OneWayLoss.NoteDelivered()
		delete(e.unreachable, m)
	case d.undelivered:
		m.OneWayLoss.NoteUndelivered(now)
		m.HoldUntil = now.Add(undeliveredPause)
		e.touch(m)
		if m.OneWayLoss.Undelivered > 1 {
			e.unreachable[m] = true
			e.timers.schedule(m, now)
		}
	}
}

// deliveryShown compares a report with the commands and the token that the machine was
// last told. LeaseEnded says that the worker's lease has ended although its reports
// were answered.
func (e *Engine) deliveryShown(now time.Time, m *fleet.Machine, r *fleet.Report, leaseEnded bool) delivery {
	d := delivery{
		delivered:   r.Session == m.Session && m.OneWayLoss.MustHaveDelivered(now, e.cfg.Lease),
		undelivered: leaseEnded,
	}
	if m.OneWayLoss.Expecting {
		if r.Token == e.term {
			d.delivered = true
		} else {
			d.undelivered = true
		}
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		a := m.Tasks[fleet.Key{Ref: t.Ref, Task: t.Task}]
		if a == nil || a.Number != t.Attempt || a.CommandSeq == 0 || a.CommandSeq >= r.Seq {
			continue
		}
		switch {
		case a.State() == fleet.Sent:
			d.delivered = true
		case t.State == fleet.Exited && a.State() == fleet.Exited, a.Stopping && a.Grace == 0 && t.State < fleet.Saving:
			d.undelivered = true // a forget, or a stop that asks for no saving
		}
	}
	for _, a := range m.Tasks {
		if a.State() == fleet.Sent && a.CommandSeq < r.Seq && !listsAttempt(r, a) {
			d.undelivered = true
		}
	}
	return d
}

// undeliveredPause is how long a machine gets no starts after an answer that it seems
// not to have received. After the second in a row it gets none until one is delivered.
const undeliveredPause = 2 * time.Second

// listsAttempt tells whether a report names an attempt.
func listsAttempt(r *fleet.Report, a *fleet.Attempt) bool {
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.Attempt == a.Number && t.Task == a.Task && t.Ref == a.Ref {
			return true
		}
	}
	return false
}

// releaseUnreachable releases a machine to which no answer was delivered for half a
// lease: its worker's lease isn't renewed by answers that don't arrive, so all on it is
// as good as lost. When many machines seem unreachable at once, it is this node whose
// answers are lost, and none is released (docs/design.md, safety argument 6;
// TestOneWayLossOfAllIsOurs).
func (e *Engine) releaseUnreachable(now time.Time, m *fleet.Machine) {
	if !e.unreachable[m] || now.Sub(m.OneWayLoss.FirstUndelivered) < e.cfg.Lease/2 {
		return
	}
	if len(e.unreachable) > max(2, len(e.machines)/4) {
		return
	}
	e.release(now, m, "hears nothing")
}

// applyUnlisted deals with attempts that a report doesn't list (docs/design.md, safety
// argument 5; TestDroppedStart, TestOldReportProvesNothing).
func (e *Engine) applyUnlisted(now time.Time, m *fleet.Machine, r *fleet.Report) {
	for _, a := range sortedAttempts(m) {
		if listsAttempt(r, a) {
			continue
		}
		switch {
		case a.State() == fleet.Exited:
			e.drop(now, m, a)
			e.exitNoLongerReported(a)
		case a.Inherited:
			if m.Confirmed {
				e.attemptLost(now, m, a, "not reported under this term")
			}
		case a.State() == fleet.Sent && r.Seq > a.CommandSeq:
			// The response with the start was answered or dropped before this
			// report was sent; the worker never executes it later.
			e.attemptLost(now, m, a, "start dropped")
		case a.State() >= fleet.Fetching:
			e.attemptLost(now, m, a, "no longer reported")
		}
	}
}

// exitNoLongerReported handles an exit that left the reports before it was dealt with
// (the worker's lease ended): a result was noted already, all else is handled.
func (e *Engine) exitNoLongerReported(a *fleet.Attempt) {
	if !a.Handled && a.Cause != fleet.CauseDone {
		e.requeue(a)
	}
}

// applyTaskReport takes in one task of a report that was sent under a token.
func (e *Engine) applyTaskReport(now time.Time, m *fleet.Machine, token uint64, t fleet.TaskReport) {
	k := fleet.Key{Ref: t.Ref, Task: t.Task}
	a := m.Tasks[k]
	if a != nil && a.Number != t.Attempt {
		switch {
		case a.Inherited && t.Attempt > a.Number:
			e.attemptLost(now, m, a, "a newer attempt is there") // placed only once this one was proven gone
		case a.State() <= fleet.Recorded && !a.Inherited:
			e.stop(now, m, a, 0) // the start hasn't left; the old attempt goes first
		}
		if a = m.Tasks[k]; a != nil {
			return
		}
	}
	if a == nil {
		if token != e.term && t.State != fleet.Exited {
			// The start log names every attempt that isn't proven gone, and it
			// doesn't name this one: the report is a late copy.
			return
		}
		a = e.adoptAttempt(now, m, t)
	}
	a.Inherited = false
	if t.State == fleet.Exited {
		e.taskExited(now, m, a, t)
		return
	}
	e.moveAttempt(now, m, a, t.State)
	if t.State != fleet.Fetching && a.Image != "" && m.ImageThere(now, a.Image, e.imageGB(a.Ref)) {
		e.images.machineChanged(m.Name)
	}
	if j := e.jobs[t.Ref]; j != nil && t.State == fleet.Running {
		j.Started = true
	}
}

// adoptAttempt takes in a reported attempt that nothing here speaks of: an exit that an
// earlier leader hadn't dealt with, or what should have been gone and is stopped.
func (e *Engine) adoptAttempt(now time.Time, m *fleet.Machine, t fleet.TaskReport) *fleet.Attempt {
	a := &fleet.Attempt{Key: fleet.Key{Ref: t.Ref, Task: t.Task}, Number: t.Attempt}
	j := e.jobs[t.Ref]
	if j != nil && t.Task < len(j.Tasks) {
		a.CPUs, a.GPUs, a.MemGB, a.Image = j.CPUs, j.GPUs, j.MemGB, j.Image
	}
	st := t.State
	if st == fleet.Exited {
		st = fleet.Running // taskExited moves it on, and settles the counts
	}
	e.attach(now, m, a, st)
	a.RunStart = time.Time{}
	if t.State != fleet.Exited {
		a.Foreign = true
		e.note("unexpected task", "job", t.Ref, "task", t.Task, "machine", m.Name, "attempt", t.Attempt)
		e.stop(now, m, a, 0)
	}
	return a
}

// commands is what the worker is told in answer to the report just heard: first
// what it may forget, then stops, then starts.
func (e *Engine) commands(now time.Time, m *fleet.Machine) []fleet.Command {
	m.OneWayLoss.Expecting = m.Token != e.term
	if len(m.Tasks) == 0 {
		return nil
	}
	var forgets, stops, starts []fleet.Command
	for _, a := range sortedAttempts(m) {
		c := fleet.Command{Ref: a.Ref, Task: a.Task, Attempt: a.Number}
		switch state := a.State(); {
		case state == fleet.Exited:
			if a.Handled {
				c.Op = fleet.Forget
				a.CommandSeq = m.Seq
				forgets = append(forgets, c)
			}
		case a.Stopping:
			if state == fleet.Saving && a.Grace > 0 {
				continue // it saves; a second stop could end that
			}
			c.Op, c.Grace = fleet.Stop, a.Grace
			a.CommandSeq = m.Seq
			stops = append(stops, c)
		case state == fleet.Recorded && !a.Inherited && e.mayStart(m) && !now.Before(a.NotBefore):
			c.Op = fleet.Start
			e.startSent(now, m, a)
			starts = append(starts, c)
		}
	}
	return append(append(forgets, stops...), starts...)
}

// startSent notes that an attempt's start goes out with the answer to the newest report.
func (e *Engine) startSent(now time.Time, m *fleet.Machine, a *fleet.Attempt) {
	a.CommandSeq = m.Seq
	e.moveAttempt(now, m, a, fleet.Sent)
	imageGB := e.imageGB(a.Ref)
	cache, rate := e.catalog.Images(m.Type)
	a.SentAt, a.FetchGuess = now, m.FetchLeft(now, a.Image, imageGB, rate)
	m.UseImage(now, a.Image, imageGB, cache, rate)
	e.images.machineChanged(m.Name)
	e.debug("start", "job", a.Ref, "task", a.Task, "machine", m.Name, "attempt", a.Number)
}

// mayStart tells whether a machine may be given starts (docs/design.md, safety arguments 5
// and 6; TestCopyRevivesNothing).
func (e *Engine) mayStart(m *fleet.Machine) bool {
	return m.Confirmed && !m.Draining && !m.Sick && !e.unreachable[m] && m.State() == fleet.Live
}

// imageGB is the size of a job's image, 0 if the job isn't known.
func (e *Engine) imageGB(ref string) float64 {
	if j := e.jobs[ref]; j != nil {
		return j.ImageGB
	}
	return 0
}

// interruptionNotice handles the cloud's word that it takes the machine: what can save is
// stopped in time and goes on elsewhere; the rest may still finish.
func (e *Engine) interruptionNotice(now time.Time, m *fleet.Machine, left time.Duration) {
	if left < 0 {
		return
	}
	if m.NoticeAt.IsZero() {
		e.note("machine will be taken", "machine", m.Name, "in", left)
	}
	m.NoticeAt = now.Add(left)
	e.startDraining(now, m)
	e.stopTasksOn(now, m, left)
}

// stopTasksOn stops what is on a machine that is to be left.
func (e *Engine) stopTasksOn(now time.Time, m *fleet.Machine, left time.Duration) {
	for _, a := range sortedAttempts(m) {
		j := e.jobs[a.Ref]
		if a.Stopping || a.State() == fleet.Exited || j == nil {
			continue
		}
		if a.State() == fleet.Running && (j.Checkpoint == 0 || j.Save >= left) {
			continue // can't save: it may as well go on
		}
		e.stopWithSave(now, m, a, j)
	}
}

// stopWithSave stops an attempt so that it saves; of a gang, all tasks at once.
func (e *Engine) stopWithSave(now time.Time, m *fleet.Machine, a *fleet.Attempt, j *pipeline.Job) {
	grace := j.Save + time.Second
	if j.Shape != pipeline.Gang {
		e.stop(now, m, a, grace)
		return
	}
	for _, o := range e.attemptsOf(a.Ref) {
		e.stop(now, o.On, o, grace)
	}
}

// sortedAttempts lists a machine's attempts by job and task.
func sortedAttempts(m *fleet.Machine) []*fleet.Attempt {
	out := make([]*fleet.Attempt, 0, len(m.Tasks))
	for _, a := range m.Tasks {
		out = append(out, a)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].Ref != out[k].Ref {
			return out[i].Ref < out[k].Ref
		}
		return out[i].Task < out[k].Task
	})
	return out
}
