package simulation

import (
	"time"

	"gingertally/internal/core/fleet"
)

// The faults that scripts inject. Each counts that it came about, for the test of the scenario.

// refuseNode has the state service refuse one node alone. None of the requests of that node is
// carried out, so its lease in the state service expires; the changes that its watch reports reach
// it once it is served again.
func (s *script) refuseNode(n *node, d time.Duration) {
	if n == nil || n.links.refusedByStore {
		return
	}
	s.count("nodes refused by the state service")
	n.links.refusedByStore = true
	s.w.after(d, func() { n.links.refusedByStore = false })
}

// onceLeader calls fn with the leader, as soon as there is one.
func (s *script) onceLeader(fn func(n *node)) {
	s.when(func() bool { return s.w.currentLeader() != nil }, func() {
		if n := s.w.currentLeader(); n != nil {
			fn(n)
		}
	})
}

// onceNextLeader calls fn with the new leader, once a node other than old leads.
func (s *script) onceNextLeader(old *node, fn func(n *node)) {
	s.when(func() bool { n := s.w.currentLeader(); return n != nil && n != old }, func() {
		if n := s.w.currentLeader(); n != nil {
			fn(n)
		}
	})
}

// outage has the state service refuse all requests for a while, unless it is down already.
func (s *script) outage(d time.Duration) {
	if s.w.store.down {
		return
	}
	s.count("outages")
	s.w.outage(d)
}

// outages has several outages follow each other, with pauses between them.
func (s *script) outages(times int, d, pause time.Duration) {
	for i := range times {
		s.at(time.Duration(i)*(d+pause), func() { s.outage(d) })
	}
}

// crash crashes a node, unless it is down already. It boots again after the time back.
func (s *script) crash(n *node, back time.Duration) {
	if n == nil || n.down {
		return
	}
	if n.holdsLease() {
		s.count("leaders crashed")
	}
	n.crash(back)
}

// crashLeaderFor crashes the leader, which is down for a random time from lo to hi.
func (s *script) crashLeaderFor(lo, hi time.Duration) {
	s.crash(s.w.currentLeader(), s.between(lo, hi))
}

// shutDownLeader shuts the leader down in an orderly way: if it reaches the state service, it gives
// up its lease, and it names a successor before its process ends. It boots again after the time
// back.
func (s *script) shutDownLeader(back time.Duration) {
	n := s.w.currentLeader()
	if n == nil {
		return
	}
	if !s.w.store.down && !n.links.refusedByStore && !n.cutOffFromStore() && s.w.store.lease.id == n.lease {
		s.w.store.lease.until = s.w.now
	}
	n.nameSuccessor()
	s.count("leaders shut down")
	s.crash(n, back)
}

// crashAll crashes all nodes within a second, or within lo if that is shorter. Each is down for a
// random time from lo to hi.
func (s *script) crashAll(lo, hi time.Duration) {
	s.count("crashes of all controllers")
	for _, n := range s.w.nodes {
		s.at(s.between(0, min(time.Second, lo)), func() { s.crash(n, s.between(lo, hi)) })
	}
}

// partitionFromPeersAndStore cuts a node off from the state service and the other nodes, while
// workers and users still reach it.
func (s *script) partitionFromPeersAndStore(n *node, d time.Duration) {
	s.count("nodes partitioned from peers and state service")
	n.links.storeUnreachable, n.links.peersUnreachable = true, true
	s.w.after(d, func() { n.links.storeUnreachable, n.links.peersUnreachable = false, false })
}

// cutZone cuts a zone, with all nodes and machines in it, off from everything else.
func (s *script) cutZone(zone string, d time.Duration) {
	s.count("zones cut off")
	s.w.network.cutZones[zone] = true
	s.w.after(d, func() { delete(s.w.network.cutZones, zone) })
}

// sampleMachines returns machines that are up and meet a condition, if one is given, each with the
// probability share.
func (s *script) sampleMachines(share float64, only func(m *machine) bool) []*machine {
	var out []*machine
	for _, m := range s.w.sortedMachines() {
		if m.isUp && !m.dead && (only == nil || only(m)) && s.chance(share) {
			out = append(out, m)
		}
	}
	return out
}

// hasTask tells whether a machine has a task that hasn't exited.
func hasTask(m *machine) bool {
	for _, t := range m.tasks {
		if t.state != fleet.Exited {
			return true
		}
	}
	return false
}

// hangMachine has a machine hang for a while. If it already hangs for longer, nothing changes.
func (s *script) hangMachine(m *machine, d time.Duration) {
	if hasTask(m) {
		s.count("machines with tasks hung")
	}
	if until := s.w.now.Add(d); until.After(m.hungUntil) {
		m.hungUntil = until
	}
}

// loseOutbound has the heartbeats of the machines lost for a while, while direct commands still
// reach them.
func (s *script) loseOutbound(ms []*machine, d time.Duration) {
	for _, m := range ms {
		m.outboundLost = true
		s.count("machines with outbound loss")
		s.w.after(d, func() { m.outboundLost = false })
	}
}

// loseInbound has direct commands to the machines and answers to their heartbeats lost for a while,
// while the heartbeats still arrive.
func (s *script) loseInbound(ms []*machine, d time.Duration) {
	for _, m := range ms {
		m.inboundLost = true
		s.count("machines with inbound loss")
		s.w.after(d, func() { m.inboundLost = false })
	}
}

// cutMachines cuts machines off from all controllers for a while, in both directions.
func (s *script) cutMachines(ms []*machine, d time.Duration) {
	for _, m := range ms {
		if hasTask(m) {
			s.count("machines with tasks cut off")
		}
		for _, n := range s.w.nodes {
			m.partitionedFrom[n] = true
			s.w.after(d, func() { delete(m.partitionedFrom, n) })
		}
	}
}
