package simulation

import (
	"time"

	"gingertally/internal/core"
)

// injectFault injects one fault. The kinds of a world's faults are consecutive numbers, of which
// the first depends on the seed, so that over all worlds each kind comes equally often.
func (s *shortLease) injectFault(kind int) {
	lease := s.w.options.Lease
	switch kind % 7 {
	case 0:
		s.slowDown(s.leaderOrRandomNode(), s.between(10*time.Second, 40*time.Second))
	case 1:
		s.pauseNode(s.leaderOrRandomNode(), s.w.options.LeaseTTL+s.between(time.Second, 25*time.Second))
	case 2:
		s.cutZone(true, lease+s.between(2*time.Second, 15*time.Second))
	case 3:
		s.cutZone(false, lease+s.between(2*time.Second, 15*time.Second))
	case 4:
		s.refusePeers(s.between(10*time.Second, 40*time.Second))
	case 5:
		s.refuseNode(s.leaderOrRandomNode(), s.between(5*time.Second, 40*time.Second))
	case 6: // the state service is down; the leader goes on only if its peers extend its lease
		s.count("outages")
		s.w.outage(s.between(5*time.Second, lease+5*time.Second))
	}
}

// leaderOrRandomNode returns the leader three quarters of the time if there is one, and else a
// random node.
func (s *shortLease) leaderOrRandomNode() *node {
	n := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
	if l := s.w.currentLeader(); l != nil && s.rng.IntN(4) > 0 {
		return l
	}
	return n
}

// slowDown has a node compute slowly for a while.
func (s *shortLease) slowDown(n *node, d time.Duration) {
	s.count("slow nodes")
	n.slowUntil = s.w.now.Add(d)
}

// pauseNode pauses a node. The caller passes a duration longer than the leader lease.
func (s *shortLease) pauseNode(n *node, d time.Duration) {
	if n.down {
		return
	}
	if n.holdsLease() {
		s.count("leaders paused beyond their lease")
	}
	n.pausedUntil = s.w.now.Add(d)
}

// cutZone cuts off the leader's zone or another one, with all nodes and machines in it.
func (s *shortLease) cutZone(withLeader bool, d time.Duration) {
	zone, what := s.w.zones[s.rng.IntN(len(s.w.zones))], "zones cut off without a leader"
	if l := s.w.currentLeader(); l != nil {
		for !withLeader && zone == l.zone {
			zone = s.w.zones[s.rng.IntN(len(s.w.zones))]
		}
		if withLeader {
			zone, what = l.zone, "zones cut off with the leader"
		}
	}
	s.count(what)
	s.w.network.cutZones[zone] = true
	s.w.after(d, func() { delete(s.w.network.cutZones, zone) })
}

// refusePeers has all nodes refuse each other's connections, or cuts one node off from all others.
func (s *shortLease) refusePeers(d time.Duration) {
	s.count("refusals between nodes")
	if s.rng.IntN(2) == 0 {
		s.w.network.peersRefuse = true
		s.w.after(d, func() { s.w.network.peersRefuse = false })
		return
	}
	n := s.leaderOrRandomNode()
	n.links.peersUnreachable = true
	s.w.after(d, func() { n.links.peersUnreachable = false })
}

// refuseNode has the state service refuse one node alone.
func (s *shortLease) refuseNode(n *node, d time.Duration) {
	s.count("nodes refused by the state service")
	n.links.refusedByStore = true
	s.w.after(d, func() { n.links.refusedByStore = false })
}

// The longest that a slow node computes: in a scheduling round, and in any other step.
const (
	maxSlowRound = 600 * time.Millisecond
	maxSlowStep  = 50 * time.Millisecond
)

// addComputeTime keeps a slow node busy after a step, for a random time up to maxSlowRound or
// maxSlowStep.
func (n *node) addComputeTime(ev core.Event) {
	s := n.w.shortLease
	if s == nil || !n.w.now.Before(n.slowUntil) {
		return
	}
	s.count("slow steps")
	most := maxSlowStep
	if _, round := ev.(core.Tick); round {
		most = maxSlowRound
	}
	if n.busyUntil.Before(n.w.now) {
		n.busyUntil = n.w.now
	}
	n.busyUntil = n.busyUntil.Add(s.between(most/8, most))
}

// busyFor returns how much longer the node is busy.
func (n *node) busyFor() time.Duration { return max(0, n.busyUntil.Sub(n.w.now)) }
