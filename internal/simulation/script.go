package simulation

import (
	"time"

	"gingertally/internal/core/pipeline"
)

// script injects faults into a world: at given times, and whenever certain events happen there. A
// nil script does nothing.
type script struct {
	w *World
	random
	counts eventCounts // events of each kind so far
	jobs   int         // submitted by the script so far
	triggers
	storeFaults
	messageFaults
	quickMachines    bool // machines boot within two seconds of their creation
	grantWhileServed bool // nodes grant lease extensions even while the state service serves them
}

// triggers hold what a script does when something happens in its world.
type triggers struct {
	onLeader    []func(n *node)
	onConfirmed []func(j *userJob) // a user is told that the job is cancelled
	onAccepted  []func(j *userJob)
	onEnded     []func(j *userJob) // the last task of a job has just completed
	onTaskDone  []func(t *task)
	waiting     []*conditionWait

	termsSeen    map[uint64]bool // numbers of the terms in which a node has led
	newestLeader *node
}

// conditionWait is a callback that waits for a condition to hold.
type conditionWait struct {
	cond func() bool
	fn   func()
}

// newScript gives a world a script, whose faults end after Options.Length.
func newScript(w *World) *script {
	s := &script{w: w, random: newRandom(w.options.Seed, scriptStream), counts: eventCounts{},
		triggers: triggers{termsSeen: map[uint64]bool{}}}
	w.script = s
	w.after(w.options.Length, s.endFaults)
	return s
}

// endFaults ends all faults of the world and the script, and has users cancel the jobs that would
// not end by themselves. In worlds without random faults it also starts the repeated check that no
// job is left waiting; in the others World.endFaults starts it.
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

// count counts one event of a kind.
func (s *script) count(what string) {
	if s != nil {
		s.counts[what]++
	}
}

// at runs fn after d, unless the faults are over by then.
func (s *script) at(d time.Duration, fn func()) {
	s.w.after(d, func() {
		if !s.faultsOver() {
			fn()
		}
	})
}

// every runs fn at regular intervals, first after from, until the faults are over.
func (s *script) every(from, period time.Duration, fn func()) {
	s.at(from, func() {
		fn()
		s.every(period, period, fn)
	})
}

// when runs fn once, as soon as a condition holds, unless the faults are over by then.
func (s *script) when(cond func() bool, fn func()) {
	s.waiting = append(s.waiting, &conditionWait{cond, fn})
}

// observe is called after each event of the world. It detects newly elected leaders, and runs the
// callbacks whose conditions hold by now.
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

// leaderElected runs what waits for a new leader. Duplicates of heartbeats that were kept for it
// arrive within its first two seconds; heartbeats that were held until it has acted arrive 3 to 8
// seconds after its election.
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

// cancellationConfirmed runs what waits for a user to be told that a job is cancelled.
func (s *script) cancellationConfirmed(j *userJob) {
	if s == nil {
		return
	}
	s.count("cancellations confirmed")
	for _, fn := range s.onConfirmed {
		s.at(0, func() { fn(j) })
	}
}

// jobAccepted runs what waits for a job to be accepted.
func (s *script) jobAccepted(j *userJob) {
	if s == nil {
		return
	}
	for _, fn := range s.onAccepted {
		s.at(0, func() { fn(j) })
	}
}

// taskDone runs what waits for a task to complete and, after the last task of a job, what waits for
// the job to end.
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

// grantsWhileServed tells whether nodes always grant lease extensions to a leader, even while the
// state service serves them.
func (s *script) grantsWhileServed() bool { return s != nil && s.grantWhileServed }

// bootDelay is how long a new machine takes to boot: d, unless the script has machines boot
// quickly.
func (s *script) bootDelay(d time.Duration) time.Duration {
	if s == nil || !s.quickMachines {
		return d
	}
	s.count("quick machines")
	return s.between(200*time.Millisecond, 2*time.Second)
}
