package simulation

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/standby"
)

// warmStandby is a node's state in the replication of the warm state. The standby and the publisher
// are nil if replication is off.
type warmStandby struct {
	standby     *standby.Standby   // its copy of the leader's warm state
	publisher   *standby.Publisher // of the term in which the node leads; nil if it doesn't lead
	vacantSince time.Time          // when the node noticed that there is no leader; zero if it hasn't
}

// standbyOn reports whether the node takes part in the replication. The version in production
// doesn't.
func (n *node) standbyOn() bool { return n.w.standbys != nil && !n.runsProduction }

// bootStandby gives a process that has just started an empty copy.
func (n *node) bootStandby() {
	n.warmStandby = warmStandby{}
	if n.standbyOn() {
		n.standby = standby.New(n.name, n.w.standbyTimeouts())
	}
}

// claimDelayElapsed reports whether the node has waited long enough, since it noticed that there is
// no leader, for a standby with a more current copy to claim first. It notices this only here, that
// is, when it tries to claim.
func (n *node) claimDelayElapsed() bool {
	if n.standby == nil {
		return true
	}
	if n.w.store.lease.held(n.w.now) {
		n.vacantSince = time.Time{}
		return true // the state service refuses the claim
	}
	if n.vacantSince.IsZero() {
		n.vacantSince = n.local()
	}
	delay := n.standby.ClaimDelay(n.local())
	if n.local().Sub(n.vacantSince) < delay {
		n.w.standbys.count("claims delayed", 1)
		return false
	}
	return true
}

// warmStart begins a term with the standby's copy of the warm state if the records read from the
// state service, as of a revision, confirm the copy. Otherwise the takeover is a cold one.
func (n *node) warmStart(t leadership.Term, revision uint64) {
	if n.standby == nil {
		return
	}
	s := n.w.standbys
	n.standby.Claimed(standby.Claim{Term: t.Number, Revision: t.Revision})
	view, err := n.standby.ConfirmCopy(n.local(), revision)
	n.publisher = standby.NewPublisher(t.Number, standby.Options{
		QueueBound: simulatedQueueBound, SnapshotInterval: simulatedSnapshotInterval, Heartbeat: simulatedHeartbeat,
	})
	if err != nil {
		s.count("cold takeovers: "+err.Error(), 1)
		return
	}
	records, err := standby.Decode(view.Entries)
	if err != nil {
		n.w.checker.fail("%s can't decode its copy of the warm state: %v", n.name, err)
		return
	}
	n.step(core.WarmStart{Records: records, Confirmed: view.Recent})
	s.count("warm takeovers", 1)
	outcome := n.engine.WarmOutcome()
	s.count("machines expected", outcome.Expected)
	s.count("machines differing", outcome.Differing)
	s.count("attempts unstored", outcome.OnlyInWarmState)
}

// endTerm ends the term in which the node leads.
func (n *node) endTerm() {
	n.termLease.End()
	n.w.overlap.termEnded(n)
	n.engine, n.publisher = nil, nil
	if n.standby != nil {
		n.standby.TermEnded(n.term.Number)
	}
}

// replicate sends the changes of the leader's warm state to all followers that it reaches.
func (n *node) replicate() {
	if n.publisher == nil || n.engine == nil {
		return
	}
	n.publisher.Publish(standby.Encode(n.engine.WarmChanges(n.local(), maxWarmChanges)))
	s := n.w.standbys
	for _, o := range n.w.nodes {
		if o == n || o.standby == nil {
			continue
		}
		if !n.reaches(o) {
			if s.streams[n][o] != nil {
				delete(s.streams[n], o)
				n.publisher.RemoveFollower(o.name)
			}
			continue
		}
		n.sendFrames(s.connect(n, o), o)
	}
}

// sendFrames sends a follower the frames that it lacks. A follower that is slow gets nothing for a
// while, so that the leader's queue for it reaches its bound.
func (n *node) sendFrames(c *stream, o *node) {
	s, w := n.w.standbys, n.w
	if w.now.Before(c.lagUntil) || w.now.Before(s.laggingUntil) {
		return
	}
	if w.unreliable() && s.rng.IntN(60) == 0 {
		c.lagUntil = w.now.Add(s.between(time.Second, 15*time.Second))
		s.count("slow followers", 1)
	}
	for f, ok := n.publisher.Next(n.local(), o.name); ok; f, ok = n.publisher.Next(n.local(), o.name) {
		s.count("frames", 1)
		if !w.network.reliable && s.rng.Float64() < s.lostShare {
			continue
		}
		s.deliver(n, o, f)
		if !w.network.reliable && s.rng.Float64() < s.duplicateShare {
			s.deliver(n, o, f)
		}
	}
}

// nameSuccessor has a leader that shuts down choose a successor among its followers and tell them.
func (n *node) nameSuccessor() {
	if n.publisher == nil {
		return
	}
	var names []string
	for _, o := range n.w.nodes {
		if o != n && o.standby != nil && n.reaches(o) {
			names = append(names, o.name)
		}
	}
	if n.publisher.ChooseSuccessor(names) != "" {
		n.w.standbys.count("successors named", 1)
	}
	n.replicate()
}
