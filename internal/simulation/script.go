package simulation

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// script brings faults together in a world: at given times, and whenever something happens there. A nil script
// does nothing.
type script struct {
	w *World
	random
	counts eventCounts // what came about
	jobs   int         // submitted by the script
	triggers
	storeFaults
	messageFaults
	quickMachines    bool // machines are up within two seconds of their creation
	grantWhileServed bool // nodes extend the lease of a leader although the state service serves them
}

// triggers are what a script does when something happens.
type triggers struct {
	onLeader    []func(n *node)
	onConfirmed []func(j *userJob) // a user is told that the job is cancelled
	onAccepted  []func(j *userJob)
	onEnded     []func(j *userJob) // its last task has just completed
	onTaskDone  []func(t *task)
	waiting     []*conditionWait

	termsSeen    map[uint64]bool // of the leaders so far
	newestLeader *node
}

// conditionWait is something to do once a condition holds.
type conditionWait struct {
	cond func() bool
	fn   func()
}

// newScript gives a world a script. Its faults end after the world's length.
func newScript(w *World) *script {
	s := &script{w: w, random: newRandom(w.options.Seed, scriptStream), counts: eventCounts{},
		triggers: triggers{termsSeen: map[uint64]bool{}}}
	w.script = s
	w.after(w.options.Length, s.endFaults)
	return s
}

// endFaults ends all faults of the world and the script, and has users cancel the jobs that don't end by themselves.
func (s *script) endFaults() {
	w := s.w
	w.heal()
	s.storeDelay, s.lostAnswerShare = 0, 0
	s.linkDelayMax, s.duplicateShare, s.heldShare, s.delayedAnswerShare, s.delayedCommandShare = 0, 0, 0, 0, 0
	s.grantWhileServed = false
	for _, j := range w.sortedJobs() {
		open := j.accepted && j.reportedPhase == pipeline.Active && !j.cancelRequested
		if open && (j.run >= endless || j.spec.Shape == pipeline.Service) {
			j.cancel()
		}
	}
	if !w.options.Faults {
		w.checker.waiting.checkRepeatedly()
	}
}

// faultsOver tells whether the faults of the world have ended.
func (s *script) faultsOver() bool { return !s.w.faultsEndedAt.IsZero() }

// count notes that something came about.
func (s *script) count(what string) {
	if s != nil {
		s.counts[what]++
	}
}

// at does something after some time, unless the faults are over by then.
func (s *script) at(d time.Duration, fn func()) {
	s.w.after(d, func() {
		if !s.faultsOver() {
			fn()
		}
	})
}

// every does something at regular intervals, until the faults are over.
func (s *script) every(from, period time.Duration, fn func()) {
	s.at(from, func() {
		fn()
		s.every(period, period, fn)
	})
}

// when does something once, as soon as a condition holds.
func (s *script) when(cond func() bool, fn func()) {
	s.waiting = append(s.waiting, &conditionWait{cond, fn})
}

// observe is called after each event of the world and records what has happened.
func (s *script) observe() {
	if s == nil {
		return
	}
	for _, n := range s.w.nodes {
		if n.holdsLease() && !s.termsSeen[n.term.Number] {
			s.termsSeen[n.term.Number] = true
			s.newestLeader = n
			s.count("leaders elected")
			s.leaderElected(n)
		}
	}
	if s.faultsOver() {
		return
	}
	rest := s.waiting[:0:0]
	var now []func()
	for _, x := range s.waiting {
		if x.cond() {
			now = append(now, x.fn)
		} else {
			rest = append(rest, x)
		}
	}
	s.waiting = rest
	for _, fn := range now {
		s.at(0, fn)
	}
}

// leaderElected lets what was kept for a new leader reach the controllers just as its term begins or right after, and
// what waited for its first acts arrive after those.
func (s *script) leaderElected(n *node) {
	kept, held := s.keptForNextLeader, s.heldUntilLeaderActed
	s.keptForNextLeader, s.heldUntilLeaderActed = nil, nil
	for _, fn := range kept {
		s.w.after(s.between(0, 2*time.Second), fn)
	}
	for _, fn := range held {
		s.w.after(s.between(3*time.Second, 8*time.Second), fn)
	}
	for _, fn := range s.onLeader {
		s.at(0, func() { fn(n) })
	}
}

// cancellationConfirmed triggers what waits for a user to be told of a cancellation.
func (s *script) cancellationConfirmed(j *userJob) {
	if s == nil {
		return
	}
	s.count("cancellations confirmed")
	for _, fn := range s.onConfirmed {
		s.at(0, func() { fn(j) })
	}
}

// jobAccepted triggers what waits for a job to be accepted.
func (s *script) jobAccepted(j *userJob) {
	if s == nil {
		return
	}
	for _, fn := range s.onAccepted {
		s.at(0, func() { fn(j) })
	}
}

// taskDone triggers what waits for a task to complete, and for the last task of a job.
func (s *script) taskDone(t *task) {
	if s == nil {
		return
	}
	for _, fn := range s.onTaskDone {
		s.at(0, func() { fn(t) })
	}
	if len(t.job.done) < t.job.spec.Tasks {
		return
	}
	for _, fn := range s.onEnded {
		s.at(0, func() { fn(t.job) })
	}
}

// grantsWhileServed tells whether nodes extend a lease although the state service serves them.
func (s *script) grantsWhileServed() bool { return s != nil && s.grantWhileServed }

// bootDelay is how long a new machine takes to be up.
func (s *script) bootDelay(d time.Duration) time.Duration {
	if s == nil || !s.quickMachines {
		return d
	}
	s.count("quick machines")
	return s.between(200*time.Millisecond, 2*time.Second)
}
