package simulation

import (
	"net/http"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/leadership"
)

// termOverlap has the terms of a node overlap, as those of a real controller do. A new term first
// reads its records, and meanwhile requests still reach what is left of the node's former term, whose
// calls to the state service haven't all returned yet. The former term has to refuse them, since its
// lease has ended. So that the same node leads again soon, the state service refuses leaders in turn.
type termOverlap struct {
	w *World
	random
	counts eventCounts
	// leaseOfNode is a deliberate fault: a former term acts under any lease of its node, also that of
	// a later term.
	leaseOfNode bool
}

// formerTerm is what is left of a node's term after its end.
type formerTerm struct {
	engine *core.Engine
	lease  *leadership.TermLease
	until  time.Time // in simulated time; nothing is left from then on
}

// takeover is a term that a node has claimed and whose records it is still reading.
type takeover struct{ lease *leadership.TermLease }

// Bounds of what real controllers take.
const (
	longestFormerTerm = 7 * time.Second // more than any call of a term that is in flight
	shortestTakeover  = 20 * time.Millisecond
	longestTakeover   = time.Second
)

const (
	turnPeriod      = 20 * time.Second // between two times that a leader is refused and leads again
	refusalTimeout  = 10 * time.Second // for another node to lead
	refusalPoll     = 50 * time.Millisecond
	mutedShare      = 0.3 // of the machines, whose heartbeats are lost until the first leader leads again
	overlapSettling = turnPeriod
)

// newTermOverlap enables overlapping terms in a world, until shortly before its faults end.
func newTermOverlap(w *World) *termOverlap {
	o := &termOverlap{w: w, random: newRandom(w.options.Seed, overlapStream), counts: eventCounts{}}
	for at := turnPeriod / 2; at < w.options.Length-overlapSettling; at += turnPeriod {
		w.after(at, o.takeTurns)
	}
	return o
}

// takeTurns has the state service refuse the leader alone until another node leads, and then all
// others until the first leads again. Meanwhile the heartbeats of some machines are lost, so that these
// hear nothing of the other leader.
func (o *termOverlap) takeTurns() {
	first := o.w.currentLeader()
	if first == nil {
		return
	}
	var muted []*machine
	for _, m := range o.w.sortedMachines() {
		if o.chance(mutedShare) {
			muted = append(muted, m)
			m.outboundLost = true
		}
	}
	unmute := func() {
		for _, m := range muted {
			m.outboundLost = false
		}
	}
	another := func() bool { n := o.w.currentLeader(); return n != nil && n != first }
	again := func() bool { return first.takeover != nil || first.holdsLease() }
	o.refuseUntil([]*node{first}, another, func() {
		var others []*node
		for _, n := range o.w.nodes {
			if n != first {
				others = append(others, n)
			}
		}
		o.refuseUntil(others, again, func() {
			unmute()
			if again() {
				o.counts["nodes that lead again"]++
			}
		})
	})
}

// refuseUntil has the state service refuse some nodes until a condition holds, but not for longer than
// refusalTimeout, and then calls next.
func (o *termOverlap) refuseUntil(nodes []*node, holds func() bool, next func()) {
	refuse := func(refused bool) {
		for _, n := range nodes {
			n.links.refusedByStore = refused
		}
	}
	refuse(true)
	giveUp := o.w.now.Add(refusalTimeout)
	var check func()
	check = func() {
		if !holds() && o.w.now.Before(giveUp) {
			o.w.after(refusalPoll, check)
			return
		}
		refuse(false)
		next()
	}
	check()
}

// termEnded keeps what is left of a node's term. A nil overlap keeps nothing.
func (o *termOverlap) termEnded(n *node) {
	if o == nil || n.engine == nil {
		return
	}
	n.former = &formerTerm{n.engine, n.termLease, o.w.now.Add(o.between(time.Second, longestFormerTerm))}
}

// takeOver calls read once a node may read the records of a term that it has claimed: at once without
// an overlap. Meanwhile the node holds the term's lease, granted when the claim was sent.
func (o *termOverlap) takeOver(n *node, lease *leadership.TermLease, sent time.Time, read func()) {
	if o == nil {
		read()
		return
	}
	lease.RecordRenewal(sent)
	claimed, incarnation := &takeover{lease}, n.incarnation
	n.takeover = claimed
	o.w.after(o.between(shortestTakeover, longestTakeover), func() {
		n.run(incarnation, func() {
			if n.takeover == claimed {
				n.takeover = nil
				read()
			}
		})
	})
}

// reachedFormerTerm returns the former term that a request to a node reaches, if that term believes
// that it may act; else nil.
func (n *node) reachedFormerTerm() *formerTerm {
	former, overlap := n.former, n.w.overlap
	if former == nil || n.takeover == nil || !n.w.now.Before(former.until) {
		return nil
	}
	overlap.counts["requests that reach a former term"]++
	mayAct := former.lease.Valid(n.local()) || overlap.leaseOfNode && n.takeover.lease.Valid(n.local())
	if !mayAct {
		return nil
	}
	return former
}

// answer answers a machine's heartbeat from the engine of the former term.
func (f *formerTerm) answer(n *node, h fleet.Heartbeat) heartbeatAnswer {
	effects := f.engine.Step(n.local(), core.HeartbeatReceived{Heartbeat: h})
	response := effects.Response
	if response == nil || !response.OK || response.Hold || effects.Deposed() {
		return answerUnavailable
	}
	n.w.checker.observe(answeredInTerm{f.lease.Term().Number})
	n.w.checker.observe(heartbeatAnswered{h.Machine, *response})
	return heartbeatAnswer{status: http.StatusOK, response: *response}
}

// lookUp answers a user's query about a job from the engine of the former term.
func (f *formerTerm) lookUp(n *node, ref string) (v core.JobView, known bool) {
	if v, known = f.engine.Lookup(ref); known {
		n.w.checker.observe(answeredInTerm{f.lease.Term().Number})
	}
	return v, known
}
