package simulation

import (
	"context"
	"math/rand/v2"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// script brings troubles together in a world: at moments, and whenever something
// happens there. It draws random numbers of its own, so that worlds without a script stay what
// they are. A nil script does nothing.
type script struct {
	w     *World
	rng   *rand.Rand
	notes map[string]int // what came about, and how often
	jobs  int            // submitted by the script

	// what is called when something happens
	onLeader    []func(n *node)
	onConfirmed []func(j *userJob)
	onAccepted  []func(j *userJob)
	onEnded     []func(j *userJob) // its last task has just completed
	onTaskDone  []func(t *task)
	waits       []*waitFor

	terms  map[uint64]bool // of the leaders so far
	leader *node           // the newest one

	// the state service
	slow            time.Duration // calls take up to that much longer, each way
	lost            float64       // share of transactions without an answer
	atOnce          bool          // they are carried out at once
	link            time.Duration // messages of workers take up to that much longer
	copies          float64       // share of heartbeats of which a copy arrives again
	forNext         bool          // copies and held heartbeats are kept for the next leader
	holds           float64       // share of heartbeats held back until a new leader has acted
	kept            []func()      // what is kept for the next leader
	held            []func()      // what waits until the next leader has acted
	answers         float64       // share of answers to reports held up
	delayedCommands float64       // share of direct commands that are delayed
	quick           bool          // machines are up within two seconds of their rental
	grantAnyway     bool          // nodes extend the lease of a leader although the state service serves them
}

// waitFor is something to do once a condition holds.
type waitFor struct {
	cond func() bool
	fn   func()
}

// newScript gives a world a script; its troubles end with the world's length.
func newScript(w *World) *script {
	s := &script{w: w, rng: rand.New(rand.NewPCG(w.o.Seed, 17)), notes: map[string]int{}, terms: map[uint64]bool{}}
	w.script = s
	w.after(w.o.Length, s.calm)
	return s
}

// calm ends all troubles, and whatever has no end of its own.
func (s *script) calm() {
	w := s.w
	w.noNet, w.store.down, w.cloud.down, w.peersRefuse, w.peace = true, false, false, false, w.now
	clear(w.cutZones)
	clear(w.apart)
	s.slow, s.lost, s.link, s.copies, s.holds, s.answers, s.delayedCommands, s.grantAnyway = 0, 0, 0, 0, 0, 0, 0, false
	for _, n := range w.nodes {
		n.noStore, n.noWorkers, n.noPeers, n.refused = false, false, false, false
	}
	for _, m := range w.sortedMachines() {
		m.faulty, m.inboundLost, m.outboundLost = false, false, false
		clear(m.cut)
	}
	for _, j := range s.sortedJobs() {
		if j.accepted && j.told == pipeline.Active && !j.askedCancel && (j.run >= endless || j.spec.Shape == pipeline.Service) {
			j.cancel()
		}
	}
	if !w.o.Faults {
		w.check.checkStarvation()
	}
}

func (s *script) over() bool { return !s.w.peace.IsZero() }

func (s *script) note(what string) {
	if s != nil {
		s.notes[what]++
	}
}

func (s *script) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)+1))
}

func (s *script) chance(p float64) bool { return s.rng.Float64() < p }

// at does something at a moment of the world, unless the troubles are over.
func (s *script) at(d time.Duration, fn func()) {
	s.w.after(d, func() {
		if !s.over() {
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
func (s *script) when(cond func() bool, fn func()) { s.waits = append(s.waits, &waitFor{cond, fn}) }

// observe is called after each event of the world and records what has happened.
func (s *script) observe() {
	if s == nil {
		return
	}
	for _, n := range s.w.nodes {
		if n.holdsLease() && !s.terms[n.term.Number] {
			s.terms[n.term.Number] = true
			s.leader = n
			s.note("leaders")
			s.begins(n)
		}
	}
	if s.over() {
		return
	}
	rest := s.waits[:0:0]
	var now []func()
	for _, x := range s.waits {
		if x.cond() {
			now = append(now, x.fn)
		} else {
			rest = append(rest, x)
		}
	}
	s.waits = rest
	for _, fn := range now {
		s.at(0, fn)
	}
}

// begins lets what was kept for a new leader reach every controller just as it
// begins or right after, and what waited for its first acts arrive after those.
func (s *script) begins(n *node) {
	kept, held := s.kept, s.held
	s.kept, s.held = nil, nil
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

func (s *script) confirmed(j *userJob) {
	if s == nil {
		return
	}
	s.note("confirmed")
	for _, fn := range s.onConfirmed {
		s.at(0, func() { fn(j) })
	}
}

func (s *script) accepted(j *userJob) {
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

// slowness is how much longer a call to the state service takes one way.
func (s *script) slowness() time.Duration {
	if s == nil || s.slow == 0 {
		return 0
	}
	s.note("slow calls")
	return s.between(0, s.slow)
}

// grantsWhileServed tells whether nodes extend a lease although the state service serves them.
func (s *script) grantsWhileServed() bool { return s != nil && s.grantAnyway }

// linkDelay is how much longer a message between worker and controller takes.
func (s *script) linkDelay() time.Duration {
	if s == nil || s.link == 0 {
		return 0
	}
	return s.between(0, s.link)
}

// boot is how long a rented machine takes to be up.
func (s *script) boot(d time.Duration) time.Duration {
	if s == nil || !s.quick {
		return d
	}
	s.note("quick machines")
	return s.between(200*time.Millisecond, 2*time.Second)
}

// takes sees a heartbeat on its way: copies of it may arrive again, and it may itself be
// held back until a new leader has acted.
func (s *script) takes(m *machine, _ *node, r fleet.Heartbeat, sent time.Time) bool {
	if s == nil || s.over() {
		return false
	}
	if s.copies > 0 && s.chance(s.copies) {
		if s.forNext {
			s.kept = append(s.kept, func() { s.toAll(r) })
		} else {
			s.w.after(s.between(2*time.Second, 3*s.w.o.Lease/2), func() { s.copyTo(s.w.nodes[s.rng.IntN(len(s.w.nodes))], r) })
		}
	}
	if s.holds == 0 || !s.chance(s.holds) {
		return false
	}
	life := m.workerProcess
	s.held = append(s.held, func() {
		if l := s.leader; l != nil {
			s.note("held reports")
			l.run(l.incarnation, func() { m.arrived(l, r, life, sent) })
		}
	})
	return true
}

// toAll has a copy of a heartbeat reach every controller.
func (s *script) toAll(r fleet.Heartbeat) {
	for _, n := range s.w.nodes {
		s.copyTo(n, r)
	}
}

// copyTo has a copy of a heartbeat reach a controller; nobody waits for its answer.
func (s *script) copyTo(n *node, r fleet.Heartbeat) {
	n.run(n.incarnation, func() {
		s.note("copies")
		if m := s.w.machines[r.Machine]; m != nil && m.incarnation != r.Incarnation {
			s.note("copies of an earlier session")
		}
		status, _, leader := n.answerHeartbeat(r, false)
		if status == 421 && n.reaches(leader) {
			status, _, leader = leader.answerHeartbeat(r, true)
		}
		if status == 0 {
			leader.hold(r, func(int, core.HeartbeatResponse) {})
		}
	})
}

// answerHeld is how long an answer to a heartbeat is held up; if it has commands, the
// machine often hangs meanwhile and then goes on.
func (s *script) answerHeld(m *machine, status int, reply core.HeartbeatResponse) time.Duration {
	if s == nil || s.answers == 0 || status != 200 || !s.chance(s.answers) {
		return 0
	}
	d := s.between(500*time.Millisecond, answerWithin+time.Second)
	if len(reply.Commands) > 0 {
		s.note("answers with commands held up")
		if s.chance(0.5) {
			s.hang(m, d+s.between(0, s.w.o.Lease/2))
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
		s.note("commands to machines with outbound loss")
	}
	if s.delayedCommands == 0 || !s.chance(s.delayedCommands) {
		return 0
	}
	s.note("commands held up")
	return s.between(time.Second, 20*time.Second)
}

// storeDown tells whether the state service, reached, refuses this node.
func (n *node) storeDown() bool { return n.w.store.down || n.refused }

// nodeView is the state service as a node meets it: it may refuse this node alone,
// and leave transactions without an answer, carried out at once or later.
type nodeView struct {
	jobstore.Store
	n *node
}

// Get refuses the nodes that the state service refuses.
func (v nodeView) Get(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	if v.n.refused {
		v.n.w.script.note("refused calls")
		return statestore.KeyValue{}, false, statestore.ErrUnavailable
	}
	return v.Store.Get(ctx, key)
}

// List refuses the nodes that the state service refuses.
func (v nodeView) List(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	if v.n.refused {
		v.n.w.script.note("refused calls")
		return nil, 0, statestore.ErrUnavailable
	}
	return v.Store.List(ctx, prefix)
}

// Commit refuses the nodes that the state service refuses.
func (v nodeView) Commit(ctx context.Context, conds []statestore.Compare, changes []statestore.Op) (uint64, error) {
	s := v.n.w.script
	if v.n.refused {
		s.note("refused commits")
		return 0, statestore.ErrUnavailable
	}
	if v.n.late == 0 && (s == nil || s.lost == 0 || v.n.storeDown() || !s.chance(s.lost)) {
		return v.Store.Commit(ctx, conds, changes)
	}
	v.n.unanswered = true
	if s.atOnce && v.n.late == 0 {
		if _, err := v.Store.Commit(ctx, conds, changes); err == nil {
			s.note("answers of transactions lost")
		}
		return 0, statestore.ErrUnknownOutcome
	}
	sent := s.w.store.rev
	late := v.n.late
	if late == 0 {
		late = s.between(2*time.Second, 12*time.Second)
	}
	s.w.after(late, func() {
		newer := s.w.store.rev > sent
		if _, err := v.Store.Commit(ctx, conds, changes); err == nil && newer {
			s.note("late transactions carried out")
		} else if err != nil {
			s.note("late transactions refused")
		}
	})
	return 0, statestore.ErrUnknownOutcome
}
