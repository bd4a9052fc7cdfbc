package core

import (
	"log/slog"
	"time"

	"gingertally/internal/core/capacity"
	"gingertally/internal/core/fleet"
)

// WarmStart brings a new leader the warm state of the leader before it, right after New and
// before anything else. Confirmed says that the state is that leader's last one as far as
// can be told, and recent: machines that sent it heartbeats are then expected to do so here,
// and work is placed on those at once.
//
// Where the start log, which New has read, and the warm state differ, the start log holds:
// an attempt that only the warm state knows is nowhere, and a machine with an attempt that
// only the start log knows is not expected but waited for as ever
// (docs/design.md, safety argument 18; TestWarmStateProvesNothing).
type WarmStart struct {
	Records   []WarmRecord
	Confirmed bool
}

// WarmOutcome counts what came of a warm start.
type WarmOutcome struct {
	Confirmed bool
	Expected  int // machines on which work is placed before their first heartbeat
	Differing int // machines of which the start log and the warm state tell different things
	Unstored  int // attempts that only the warm state knows
	Unknown   int // attempts that only the start log knows
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
			s.takeClass(r.Class)
		case r.Offer != nil:
			s.takeOffer(r.Offer)
		case r.Job != nil:
			s.takeJob(r.Job)
		}
	}
	s.compareAttempts()
	for _, m := range machines {
		s.takeMachine(m)
	}
	s.outcome.Differing = len(s.differing)
	e.warmOutcome = s.outcome
	e.rounds.request()
	e.log(LogWarmStateApplied, slog.Bool("confirmed", w.Confirmed),
		slog.Int("machines_expected", s.outcome.Expected), slog.Int("machines_differing", s.outcome.Differing),
		slog.Int("attempts_unstored", s.outcome.Unstored), slog.Int("attempts_unknown", s.outcome.Unknown))
}

// WarmOutcome tells what came of the warm start of this term; all zero without one.
func (e *Engine) WarmOutcome() WarmOutcome { return e.warmOutcome }

// warmStart is a warm start under way.
type warmStart struct {
	engine    *Engine
	now       time.Time
	attempts  map[fleet.TaskID]*WarmAttempt // not found in the start log so far
	differing map[string]bool               // machines
	outcome   WarmOutcome
}

// compareAttempts goes through what the start log says, decision by decision, and adds to it
// since when each attempt has run.
func (s *warmStart) compareAttempts() {
	e := s.engine
	for m := range e.machines.all() {
		for a := range m.Attempts() {
			task := a.TaskID
			known := s.attempts[task]
			if known == nil || known.Number != a.Number || known.Machine != m.Name {
				s.differing[m.Name] = true
				s.outcome.Unknown++
				continue
			}
			delete(s.attempts, task)
			if known.RunStartMS == 0 {
				continue
			}
			a.RunStart = s.timeOf(known.RunStartMS)
			e.jobs.get(task.Ref).Started = true
		}
	}
	s.outcome.Unstored = len(s.attempts)
}

// timeOf is a time of the leader before, which is in the past here too, whatever the clocks
// of the two nodes say.
func (s *warmStart) timeOf(ms int64) time.Time {
	t := time.UnixMilli(ms)
	if t.After(s.now) {
		return s.now
	}
	return t
}

// maxWarmWait bounds times that lie ahead, so that a wrong clock can't put anything off for
// good.
const maxWarmWait = 2 * time.Minute

// timeAhead is a time that the leader before has set for later.
func (s *warmStart) timeAhead(ms int64) time.Time {
	t := time.UnixMilli(ms)
	if latest := s.now.Add(maxWarmWait); t.After(latest) {
		return latest
	}
	return t
}

func (s *warmStart) takeClass(w *WarmClass) {
	var lastAt time.Time
	if w.LastArriveMS != 0 {
		lastAt = s.timeOf(w.LastArriveMS)
	}
	s.engine.classes.class(w.Name).restore(w, lastAt)
	s.engine.warm.noteClass(w.Name)
}

func (s *warmStart) takeOffer(w *WarmOffer) {
	o := fleet.PoolKey{Type: w.Type, Zone: w.Zone, Spot: w.Spot}
	s.engine.plan.SetBackoff(o, capacity.Backoff{Until: s.timeAhead(w.UntilMS), Refusals: w.Refusals})
	s.engine.warm.noteOffer(o)
}

func (s *warmStart) takeJob(w *WarmJob) {
	j := s.engine.jobs.get(w.Ref)
	if j == nil {
		return
	}
	for _, avoid := range w.Avoids {
		j.AvoidUntil[avoid.Machine] = s.timeAhead(avoid.UntilMS)
	}
	s.engine.warm.noteJob(w.Ref)
}

// takeMachine takes over what is known of a machine. One that the start log doesn't name is
// taken in only if it is to be expected; else the cloud's list or its heartbeat will tell of it.
func (s *warmStart) takeMachine(w *WarmMachine) {
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
		FirstSeen: s.timeOf(w.FirstSeenMS), IdleSince: s.timeOf(w.IdleSinceMS),
		Failures: w.Failures, FailedJobs: w.FailedJobs,
	})
	s.takeImages(m, w.Images)
	if expected {
		e.expect(m)
		s.outcome.Expected++
	}
	e.capacityChanged(m)
}

func (s *warmStart) takeImages(m *fleet.Machine, images []WarmImage) {
	if len(images) == 0 {
		return
	}
	known := make([]fleet.Image, len(images))
	for i, image := range images {
		known[i] = fleet.Image{Name: image.Name, GB: image.GB, Ready: s.timeAhead(image.ReadyMS)}
	}
	m.SetImages(known)
	s.engine.imagesChanged(m)
}

// expect lets work be placed on a machine that hasn't sent a heartbeat under this term. The start
// still leaves only in the answer to a heartbeat that proves the machine free of anything else, as
// for all other machines.
func (e *Engine) expect(m *fleet.Machine) {
	if m.ExpectHeartbeat() {
		e.recovery.SetConfirmedByWarmState(m.Name, true)
		e.capacityChanged(m)
	}
}

// expectNoLonger gives up on a machine that was expected and hasn't sent a heartbeat for as long
// as makes any machine unresponsive: what was placed there goes elsewhere.
func (e *Engine) expectNoLonger(now time.Time, m *fleet.Machine) {
	m.HeartbeatOverdue()
	e.recovery.SetConfirmedByWarmState(m.Name, false)
	e.capacityChanged(m)
	e.withdrawUnsentStarts(now, m)
	e.log(LogExpectedHeartbeatLate, logMachine(m))
}
