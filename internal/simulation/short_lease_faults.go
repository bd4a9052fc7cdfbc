package simulation

import (
	"time"

	"gingertally/internal/core"
)

// fault brings one fault about. The faults of a world begin with a kind that its seed chooses and go on from there, so
// that each kind gets its share.
func (s *shortLease) fault(kind int) {
	lease := s.w.options.Lease
	switch kind % 7 {
	case 0:
		s.slowDown(s.nodeOrLeader(), s.between(10*time.Second, 40*time.Second))
	case 1:
		s.pauseNode(s.nodeOrLeader(), s.w.options.LeaseTTL+s.between(time.Second, 25*time.Second))
	case 2:
		s.cutZone(true, lease+s.between(2*time.Second, 15*time.Second))
	case 3:
		s.cutZone(false, lease+s.between(2*time.Second, 15*time.Second))
	case 4:
		s.refusePeers(s.between(10*time.Second, 40*time.Second))
	case 5:
		s.refuse(s.nodeOrLeader(), s.between(5*time.Second, 40*time.Second))
	case 6: // the state service is out, and the leader goes on by lease extensions, if at all
		s.count("outages")
		s.w.outage(s.between(5*time.Second, lease+5*time.Second))
	}
}

// nodeOrLeader is the leader most of the time, and else any node.
func (s *shortLease) nodeOrLeader() *node {
	n := s.w.nodes[s.rng.IntN(len(s.w.nodes))]
	if l := s.w.currentLeader(); l != nil && s.rng.IntN(4) > 0 {
		return l
	}
	return n
}

// slowDown has a node compute several times slower.
func (s *shortLease) slowDown(n *node, d time.Duration) {
	s.count("slow nodes")
	n.slowUntil = s.w.now.Add(d)
}

// pauseNode pauses a node for longer than its lease.
func (s *shortLease) pauseNode(n *node, d time.Duration) {
	if n.down {
		return
	}
	if n.holdsLease() {
		s.count("leaders paused beyond their lease")
	}
	n.pausedUntil = s.w.now.Add(d)
}

// cutZone cuts the leader's zone or another one off, with all in it.
func (s *shortLease) cutZone(leaders bool, d time.Duration) {
	zone, what := s.w.zones[s.rng.IntN(len(s.w.zones))], "zones cut off without a leader"
	if l := s.w.currentLeader(); l != nil {
		for !leaders && zone == l.zone {
			zone = s.w.zones[s.rng.IntN(len(s.w.zones))]
		}
		if leaders {
			zone, what = l.zone, "zones cut off with the leader"
		}
	}
	s.count(what)
	s.w.network.cutZones[zone] = true
	s.w.after(d, func() { delete(s.w.network.cutZones, zone) })
}

// refusePeers has all nodes refuse each other's connections, or one node and the others.
func (s *shortLease) refusePeers(d time.Duration) {
	s.count("refusals between nodes")
	if s.rng.IntN(2) == 0 {
		s.w.network.peersRefuse = true
		s.w.after(d, func() { s.w.network.peersRefuse = false })
		return
	}
	n := s.nodeOrLeader()
	n.links.peersUnreachable = true
	s.w.after(d, func() { n.links.peersUnreachable = false })
}

// refuse has the state service refuse one node alone.
func (s *shortLease) refuse(n *node, d time.Duration) {
	s.count("nodes refused by the state service")
	n.links.refusedByStore = true
	s.w.after(d, func() { n.links.refusedByStore = false })
}

// How long a slow node computes: a round of decisions, and anything else.
const (
	slowRound = 600 * time.Millisecond
	slowStep  = 50 * time.Millisecond
)

// compute keeps a slow node busy with a step for a while.
func (n *node) compute(ev core.Event) {
	s := n.w.shortLease
	if s == nil || !n.w.now.Before(n.slowUntil) {
		return
	}
	s.count("slow steps")
	most := slowStep
	if _, round := ev.(core.Tick); round {
		most = slowRound
	}
	if n.busyUntil.Before(n.w.now) {
		n.busyUntil = n.w.now
	}
	n.busyUntil = n.busyUntil.Add(s.between(most/8, most))
}

// busyFor is for how long the node is still busy.
func (n *node) busyFor() time.Duration { return max(0, n.busyUntil.Sub(n.w.now)) }
