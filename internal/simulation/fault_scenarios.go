package simulation

import (
	"context"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// script brings faults together in a world: at moments, and whenever something
// happens there. It draws random numbers of its own, so that worlds without a script stay what
// they are. A nil script does nothing.
type script struct {
	w *World
	random
	counts eventCounts // what came about, and how often
	jobs   int         // submitted by the script

	// what is called when something happens
	onLeader    []func(n *node)
	onConfirmed []func(j *userJob)
	onAccepted  []func(j *userJob)
	onEnded     []func(j *userJob) // its last task has just completed
	onTaskDone  []func(t *task)
	waiting     []*conditionWait

	termsSeen    map[uint64]bool // of the leaders so far
	newestLeader *node           // the newest one

	// the state service
	storeDelay           time.Duration // calls take up to that much longer, each way
	lostAnswerShare      float64       // share of transactions without an answer
	commitBeforeLoss     bool          // they are carried out at once
	linkDelayMax         time.Duration // messages of workers take up to that much longer
	duplicateShare       float64       // share of heartbeats of which a copy arrives again
	forNextLeader        bool          // copies and held heartbeats are kept for the next leader
	heldShare            float64       // share of heartbeats held back until a new leader has acted
	keptForNextLeader    []func()      // what is kept for the next leader
	heldUntilLeaderActed []func()      // what waits until the next leader has acted
	delayedAnswerShare   float64       // share of answers to reports held up
	delayedCommandShare  float64       // share of direct commands that are delayed
	quickMachines        bool          // machines are up within two seconds of their rental
	grantWhileServed     bool          // nodes extend the lease of a leader although the state service serves them
}

// conditionWait is something to do once a condition holds.
type conditionWait struct {
	cond func() bool
	fn   func()
}

// newScript gives a world a script; its faults end with the world's length.
func newScript(w *World) *script {
	s := &script{w: w, random: newRandom(w.options.Seed, scriptStream), counts: eventCounts{}, termsSeen: map[uint64]bool{}}
	w.script = s
	w.after(w.options.Length, s.endFaults)
	return s
}

// endFaults ends all faults, and whatever has no end of its own.
func (s *script) endFaults() {
	w := s.w
	w.networkReliable, w.store.down, w.cloud.down, w.peersRefuse, w.faultsEndedAt = true, false, false, false, w.now
	clear(w.cutZones)
	clear(w.partitionedZones)
	s.storeDelay, s.lostAnswerShare, s.linkDelayMax, s.duplicateShare, s.heldShare, s.delayedAnswerShare, s.delayedCommandShare, s.grantWhileServed = 0, 0, 0, 0, 0, 0, 0, false
	for _, n := range w.nodes {
		n.links.storeUnreachable, n.links.workersUnreachable, n.links.peersUnreachable, n.links.refusedByStore = false, false, false, false
	}
	for _, m := range w.sortedMachines() {
		m.faulty, m.inboundLost, m.outboundLost = false, false, false
		clear(m.cut)
	}
	for _, j := range s.sortedJobs() {
		if j.accepted && j.reportedPhase == pipeline.Active && !j.cancelRequested && (j.run >= endless || j.spec.Shape == pipeline.Service) {
			j.cancel()
		}
	}
	if !w.options.Faults {
		w.checker.waiting.checkRepeatedly()
	}
}

func (s *script) faultsOver() bool { return !s.w.faultsEndedAt.IsZero() }

func (s *script) count(what string) {
	if s != nil {
		s.counts[what]++
	}
}

// at does something at a moment of the world, unless the faults are over.
func (s *script) at(d time.Duration, fn func()) {
	s.w.after(d, func() {
		if !s.faultsOver() {
			fn()
		}
	})
}

// every does something again and again.
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

// leaderElected lets what was kept for a new leader reach every controller just as it
// begins or right after, and what waited for its first acts arrive after those.
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

func (s *script) cancellationConfirmed(j *userJob) {
	if s == nil {
		return
	}
	s.count("cancellations confirmed")
	for _, fn := range s.onConfirmed {
		s.at(0, func() { fn(j) })
	}
}

func (s *script) jobAccepted(j *userJob) {
	if s == nil {
		return
	}
	for _, fn := range s.onAccepted {
		s.at(0, func() { fn(j) })
	}
}

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

// randomStoreDelay is how much longer a call to the state service takes one way.
func (s *script) randomStoreDelay() time.Duration {
	if s == nil || s.storeDelay == 0 {
		return 0
	}
	s.count("slow calls")
	return s.between(0, s.storeDelay)
}

// grantsWhileServed tells whether nodes extend a lease although the state service serves them.
func (s *script) grantsWhileServed() bool { return s != nil && s.grantWhileServed }

// linkDelay is how much longer a message between worker and controller takes.
func (s *script) linkDelay() time.Duration {
	if s == nil || s.linkDelayMax == 0 {
		return 0
	}
	return s.between(0, s.linkDelayMax)
}

// bootDelay is how long a rented machine takes to be up.
func (s *script) bootDelay(d time.Duration) time.Duration {
	if s == nil || !s.quickMachines {
		return d
	}
	s.count("quick machines")
	return s.between(200*time.Millisecond, 2*time.Second)
}

// interceptHeartbeat sees a heartbeat on its way: copies of it may arrive again, and it may itself be
// held back until a new leader has acted.
func (s *script) interceptHeartbeat(m *machine, _ *node, r fleet.Heartbeat, sent time.Time) bool {
	if s == nil || s.faultsOver() {
		return false
	}
	if s.duplicateShare > 0 && s.chance(s.duplicateShare) {
		if s.forNextLeader {
			s.keptForNextLeader = append(s.keptForNextLeader, func() { s.copyToAll(r) })
		} else {
			s.w.after(s.between(2*time.Second, 3*s.w.options.Lease/2), func() { s.copyTo(s.w.nodes[s.rng.IntN(len(s.w.nodes))], r) })
		}
	}
	if s.heldShare == 0 || !s.chance(s.heldShare) {
		return false
	}
	process := m.workerProcess
	s.heldUntilLeaderActed = append(s.heldUntilLeaderActed, func() {
		if l := s.newestLeader; l != nil {
			s.count("held heartbeats")
			l.run(l.incarnation, func() { m.heartbeatArrived(l, r, process, sent) })
		}
	})
	return true
}

// copyToAll has a copy of a heartbeat reach every controller.
func (s *script) copyToAll(r fleet.Heartbeat) {
	for _, n := range s.w.nodes {
		s.copyTo(n, r)
	}
}

// copyTo has a copy of a heartbeat reach a controller; nobody waits for its answer.
func (s *script) copyTo(n *node, r fleet.Heartbeat) {
	n.run(n.incarnation, func() {
		s.count("duplicate heartbeats")
		if m := s.w.machines[r.Machine]; m != nil && m.incarnation != r.Incarnation {
			s.count("duplicate heartbeats of an earlier incarnation")
		}
		status, _, leader := n.answerHeartbeat(r, false)
		if status == 421 && n.reaches(leader) {
			status, _, leader = leader.answerHeartbeat(r, true)
		}
		if status == 0 {
			leader.completeHeldResponse(r, func(int, core.HeartbeatResponse) {})
		}
	})
}

// answerDelay is how long an answer to a heartbeat is held up; if it has commands, the
// machine often hangs meanwhile and then goes on.
func (s *script) answerDelay(m *machine, status int, reply core.HeartbeatResponse) time.Duration {
	if s == nil || s.delayedAnswerShare == 0 || status != 200 || !s.chance(s.delayedAnswerShare) {
		return 0
	}
	d := s.between(500*time.Millisecond, answerWithin+time.Second)
	if len(reply.Commands) > 0 {
		s.count("answers with commands delayed")
		if s.chance(0.5) {
			s.hangMachine(m, d+s.between(0, s.w.options.Lease/2))
		}
	}
	return d
}

// commandDelay is how long direct commands are delayed.
func (s *script) commandDelay(m *machine) time.Duration {
	if s == nil {
		return 0
	}
	if m.outboundLost {
		s.count("commands to machines with outbound loss")
	}
	if s.delayedCommandShare == 0 || !s.chance(s.delayedCommandShare) {
		return 0
	}
	s.count("commands delayed")
	return s.between(time.Second, 20*time.Second)
}

// nodeView is the state service as a node meets it: it may refuse this node alone,
// and leave transactions without an answer, carried out at once or later.
type nodeView struct {
	jobstore.Store
	n *node
}

// Get refuses the nodes that the state service refuses.
func (v nodeView) Get(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	if v.n.links.refusedByStore {
		v.n.w.script.count("refused calls")
		return statestore.KeyValue{}, false, statestore.ErrUnavailable
	}
	return v.Store.Get(ctx, key)
}

// List refuses the nodes that the state service refuses.
func (v nodeView) List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	if v.n.links.refusedByStore {
		v.n.w.script.count("refused calls")
		return nil, 0, statestore.ErrUnavailable
	}
	return v.Store.List(ctx, prefix)
}

// Commit refuses the nodes that the state service refuses.
func (v nodeView) Commit(ctx context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	s := v.n.w.script
	if v.n.links.refusedByStore {
		s.count("refused commits")
		return 0, statestore.ErrUnavailable
	}
	if v.n.request.commitDelay == 0 && (s == nil || s.lostAnswerShare == 0 || v.n.storeDown() || !s.chance(s.lostAnswerShare)) {
		return v.Store.Commit(ctx, conds, changes)
	}
	v.n.request.answerLost = true
	if s.commitBeforeLoss && v.n.request.commitDelay == 0 {
		if _, err := v.Store.Commit(ctx, conds, changes); err == nil {
			s.count("answers of transactions lost")
		}
		return 0, statestore.ErrUnknownOutcome
	}
	sent := s.w.store.revision
	late := v.n.request.commitDelay
	if late == 0 {
		late = s.between(2*time.Second, 12*time.Second)
	}
	s.w.after(late, func() {
		newer := s.w.store.revision > sent
		if _, err := v.Store.Commit(ctx, conds, changes); err == nil && newer {
			s.count("late transactions carried out")
		} else if err != nil {
			s.count("late transactions refused")
		}
	})
	return 0, statestore.ErrUnknownOutcome
}
