package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
)

// WarmStart carries the warm state of the previous one, right after New and before any
// other event. Confirmed says that this state is recent and, as far as can be told, the previous
// leader's last: machines that sent that leader heartbeats are then expected to send them to this
// one, and work is placed on them at once.
//
// Where the warm state differs from the start log, which New has read, the start log counts: an
// attempt that only the warm state knows is taken to be nowhere, and a machine with an attempt that
// only the start log knows isn't expected but waited for like after any takeover (docs/design.md,
// safety argument 18; TestWarmStateProvesNothing).
type WarmStart struct {
	Records   []WarmRecord
	Confirmed bool
}

// WarmOutcome counts the results of a warm start.
type WarmOutcome struct {
	Confirmed       bool
	Expected        int // machines on which work is placed before their first heartbeat
	Differing       int // machines on which the start log and the warm state disagree
	OnlyInWarmState int // attempts that only the warm state knows
	OnlyInStartLog  int // attempts that only the start log knows
}

func (w WarmStart) apply(e *Engine, now time.Time) {
	s := &warmStart{engine: e, now: now, attempts: map[fleet.TaskID]*WarmAttempt{}, differing: map[string]bool{}}
	s.outcome.Confirmed = w.Confirmed
	var machines []*WarmMachine
	for i := range w.Records {
		switch r := &w.Records[i]; {
		case r.Machine != nil:
			machines = append(machines, r.Machine)
		case r.Attempt != nil:
			s.attempts[fleet.TaskID{Ref: r.Attempt.Ref, Task: r.Attempt.Task}] = r.Attempt
		case r.Class != nil:
			s.restoreClass(r.Class)
		case r.Backoff != nil:
			s.restoreBackoff(r.Backoff)
		case r.Job != nil:
			s.restoreJob(r.Job)
		}
	}
	s.compareAttempts()
	for _, m := range machines {
		s.restoreMachine(m)
	}
	s.outcome.Differing = len(s.differing)
	e.warmOutcome = s.outcome
	e.rounds.request()
	e.log(LogWarmStateApplied, slog.Bool("confirmed", w.Confirmed),
		slog.Int("machines_expected", s.outcome.Expected), slog.Int("machines_differing", s.outcome.Differing),
		slog.Int("attempts_unstored", s.outcome.OnlyInWarmState), slog.Int("attempts_unknown", s.outcome.OnlyInStartLog))
}

// WarmOutcome returns the results of this term's warm start; all zero without one.
func (e *Engine) WarmOutcome() WarmOutcome { return e.warmOutcome }

// warmStart is a warm start in progress.
type warmStart struct {
	engine    *Engine
	now       time.Time
	attempts  map[fleet.TaskID]*WarmAttempt // of the warm state, not found in the start log so far
	differing map[string]bool               // machines
	outcome   WarmOutcome
}

// compareAttempts compares the start log's attempts with those of the warm state, and restores when
// they began to run.
func (s *warmStart) compareAttempts() {
	e := s.engine
	for m := range e.machines.all() {
		for a := range m.Attempts() {
			task := a.TaskID
			known := s.attempts[task]
			if known == nil || known.Number != a.Number || known.Machine != m.Name {
				s.differing[m.Name] = true
				s.outcome.OnlyInStartLog++
				continue
			}
			delete(s.attempts, task)
			if known.RunStartMS == 0 {
				continue
			}
			a.RunStart = s.pastTime(known.RunStartMS)
			e.jobs.get(task.Ref).Started = true
		}
	}
	s.outcome.OnlyInWarmState = len(s.attempts)
}

// pastTime returns a time recorded by the previous leader. It is never in the future, whatever the
// clocks of the two nodes say.
func (s *warmStart) pastTime(ms int64) time.Time {
	t := time.UnixMilli(ms)
	if t.After(s.now) {
		return s.now
	}
	return t
}

// maxRestoredWait bounds restored times that lie ahead, so that a wrong clock can't put anything
// off for good.
const maxRestoredWait = 2 * time.Minute

// futureTime returns a time that the previous leader set for later, at most maxRestoredWait ahead.
func (s *warmStart) futureTime(ms int64) time.Time {
	t := time.UnixMilli(ms)
	if latest := s.now.Add(maxRestoredWait); t.After(latest) {
		return latest
	}
	return t
}

func (s *warmStart) restoreClass(w *WarmClass) {
	var lastAt time.Time
	if w.LastReadyMS != 0 {
		lastAt = s.pastTime(w.LastReadyMS)
	}
	s.engine.classes.class(w.Name).restore(w, lastAt)
	s.engine.warm.noteClass(w.Name)
}

func (s *warmStart) restoreBackoff(w *WarmBackoff) {
	o := fleet.PoolKey{Type: w.Type, Zone: w.Zone, Spot: w.Spot}
	s.engine.plan.SetBackoff(o, capacity.Backoff{Until: s.futureTime(w.UntilMS), Refusals: w.Refusals})
	s.engine.warm.noteBackoff(o)
}

func (s *warmStart) restoreJob(w *WarmJob) {
	j := s.engine.jobs.get(w.Ref)
	if j == nil {
		return
	}
	for _, avoid := range w.Avoids {
		j.AvoidUntil[avoid.Machine] = s.futureTime(avoid.UntilMS)
	}
	s.engine.warm.noteJob(w.Ref)
}

// restoreMachine restores what the warm state says about a machine. One that the start log doesn't
// name is added only if it is to be expected; otherwise the cloud's list or its heartbeat will name
// it.
func (s *warmStart) restoreMachine(w *WarmMachine) {
	e := s.engine
	m := e.machines.get(w.Name)
	expected := s.outcome.Confirmed && w.Reporting && !w.Quarantined && !w.Draining && !s.differing[w.Name]
	if m == nil {
		if !expected {
			return
		}
		m = e.addAwaitingHeartbeat(s.now, fleet.MachineStarts{Machine: w.Name, Type: w.Type, Zone: w.Zone, Spot: w.Spot})
		// Its existence stays unverified: so far only the warm state names it.
	}
	m.RestoreHistory(fleet.History{
		Quarantined: w.Quarantined, Draining: w.Draining, ListedRunning: w.ListedRunning,
		FirstSeen: s.pastTime(w.FirstSeenMS), IdleSince: s.pastTime(w.IdleSinceMS),
		Failures: w.Failures, FailedJobs: w.FailedJobs,
	})
	s.restoreImages(m, w.Images)
	if expected {
		e.expectHeartbeat(m)
		s.outcome.Expected++
	}
	e.capacityChanged(m)
}

func (s *warmStart) restoreImages(m *fleet.Machine, images []WarmImage) {
	if len(images) == 0 {
		return
	}
	known := make([]fleet.Image, len(images))
	for i, image := range images {
		known[i] = fleet.Image{Name: image.Name, GB: image.GB, Ready: s.futureTime(image.ReadyMS)}
	}
	m.SetImages(known)
	s.engine.imagesChanged(m)
}

// expectHeartbeat lets work be placed on a machine that hasn't sent a heartbeat under this term. As
// for all other machines, the start is sent only in the response to a heartbeat that proves the
// machine free of anything else.
func (e *Engine) expectHeartbeat(m *fleet.Machine) {
	if m.ExpectHeartbeat() {
		e.recovery.SetConfirmedByWarmState(m.Name, true)
		e.capacityChanged(m)
	}
}

// stopExpectingHeartbeat ends the placement of work on a machine that was expected to send a
// heartbeat and hasn't within unresponsiveAfter. The starts placed there are withdrawn, and their
// tasks are placed elsewhere.
func (e *Engine) stopExpectingHeartbeat(now time.Time, m *fleet.Machine) {
	m.HeartbeatOverdue()
	e.recovery.SetConfirmedByWarmState(m.Name, false)
	e.capacityChanged(m)
	e.withdrawUnsentStarts(now, m)
	e.log(LogExpectedHeartbeatLate, logMachine(m))
}
