package simulation

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/leadership"
	"gingertally/internal/standby"
)

// warmStandby is a node's part in the replication of the warm state. All of it is nil where that is off.
type warmStandby struct {
	standby     *standby.Standby   // its copy of the leader's warm state
	publisher   *standby.Publisher // of the term that the node leads in
	vacantSince time.Time          // since when nobody leads, as far as it knows
}

// standbyOn tells whether a node takes part in the replication. The version in production doesn't.
func (n *node) standbyOn() bool { return n.w.standbys != nil && !n.runsProduction }

// bootStandby gives a process that has just started an empty copy.
func (n *node) bootStandby() {
	n.warmStandby = warmStandby{}
	if n.standbyOn() {
		n.standby = standby.New(n.name, n.w.standbyTimeouts())
	}
}

// mayClaimNow tells whether the node may claim leadership, or lets a standby with a more current copy claim first. It
// learns that nobody leads as it tries to claim.
func (n *node) mayClaimNow() bool {
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

// warmStart begins a term from the standby's copy of the warm state, if what the state service held confirms the copy.
func (n *node) warmStart(t leadership.Term, revision uint64) {
	if n.standby == nil {
		return
	}
	s := n.w.standbys
	n.standby.Claimed(standby.Claim{Term: t.Number, Revision: t.Revision})
	view, err := n.standby.ConfirmCopy(n.local(), revision)
	n.publisher = standby.NewPublisher(t.Number, standby.Options{
		QueueBound: simulatedQueueBound, SnapshotInterval: simulatedSnapshotPace, Heartbeat: simulatedHeartbeat,
	})
	if err != nil {
		s.count("cold takeovers: "+err.Error(), 1)
		return
	}
	records, err := standby.Decode(view.Entries)
	if err != nil {
		n.w.checker.fail("%s can't read its copy: %v", n.name, err)
		return
	}
	n.step(core.WarmStart{Records: records, Confirmed: view.Recent})
	s.count("warm takeovers", 1)
	outcome := n.engine.WarmOutcome()
	s.count("machines expected", outcome.Expected)
	s.count("machines differing", outcome.Differing)
	s.count("attempts unstored", outcome.OnlyInWarmState)
}

// endTerm ends the node's term.
func (n *node) endTerm() {
	n.engine, n.publisher = nil, nil
	if n.standby != nil {
		n.standby.TermEnded(n.term.Number)
	}
}

// replicate sends the changes of the leader's warm state to its followers.
func (n *node) replicate() {
	if n.publisher == nil || n.engine == nil {
		return
	}
	n.publisher.Publish(standby.Encode(n.engine.WarmChanges(n.local(), warmChangesAtOnce)))
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

// sendFrames sends what a follower lacks. A follower whose disk or network is slow gets nothing for a while, so that the
// bound of the leader's queue is met.
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

// nameSuccessor has a leader that is shutting down tell its followers which of them is to lead next.
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
