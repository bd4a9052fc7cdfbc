package simulation

import (
	"time"

	"gingertally/internal/core/fleet"
)

// The faults that scripts are made of. Each counts that it came about.

// refuse has the state service refuse one node alone: none of its requests is carried out, its leases expire, and its
// watches go on afterwards.
func (s *script) refuse(n *node, d time.Duration) {
	if n == nil || n.links.refusedByStore {
		return
	}
	s.count("nodes refused by the state service")
	n.links.refusedByStore = true
	s.w.after(d, func() { n.links.refusedByStore = false })
}

// onceLeader does something with the leader, as soon as there is one.
func (s *script) onceLeader(fn func(n *node)) {
	s.when(func() bool { return s.w.currentLeader() != nil }, func() {
		if n := s.w.currentLeader(); n != nil {
			fn(n)
		}
	})
}

// onceNextLeader does something once another node than this one leads.
func (s *script) onceNextLeader(old *node, fn func(n *node)) {
	s.when(func() bool { n := s.w.currentLeader(); return n != nil && n != old }, func() {
		if n := s.w.currentLeader(); n != nil {
			fn(n)
		}
	})
}

// outage has the state service refuse everybody.
func (s *script) outage(d time.Duration) {
	if s.w.store.down {
		return
	}
	s.count("outages")
	s.w.outage(d)
}

// outages are several outages with pauses between them.
func (s *script) outages(times int, d, pause time.Duration) {
	for i := range times {
		s.at(time.Duration(i)*(d+pause), func() { s.outage(d) })
	}
}

// crash ends a node, which boots again after a while.
func (s *script) crash(n *node, back time.Duration) {
	if n == nil || n.down {
		return
	}
	if n.holdsLease() {
		s.count("leaders crashed")
	}
	n.crash(back)
}

// crashLeaderFor ends the leader for a time between two bounds.
func (s *script) crashLeaderFor(lo, hi time.Duration) {
	s.crash(s.w.currentLeader(), s.between(lo, hi))
}

// shutDownLeader ends the leader, which names a successor and gives its lease up before.
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

// crashAll ends all nodes within a second. Each boots again after a time between two bounds.
func (s *script) crashAll(lo, hi time.Duration) {
	s.count("crashes of all controllers")
	for _, n := range s.w.nodes {
		s.at(s.between(0, min(time.Second, lo)), func() { s.crash(n, s.between(lo, hi)) })
	}
}

// partitionFromPeersAndStore cuts a node off from the state service and the other nodes, while workers and users still
// reach it.
func (s *script) partitionFromPeersAndStore(n *node, d time.Duration) {
	s.count("nodes partitioned from peers and state service")
	n.links.storeUnreachable, n.links.peersUnreachable = true, true
	s.w.after(d, func() { n.links.storeUnreachable, n.links.peersUnreachable = false, false })
}

// cutZone cuts a zone off with all in it.
func (s *script) cutZone(zone string, d time.Duration) {
	s.count("zones cut off")
	s.w.network.cutZones[zone] = true
	s.w.after(d, func() { delete(s.w.network.cutZones, zone) })
}

// sampleMachines are a random share of the machines that are up and meet a condition, if one is given.
func (s *script) sampleMachines(share float64, only func(m *machine) bool) []*machine {
	var out []*machine
	for _, m := range s.w.sortedMachines() {
		if m.isUp && !m.dead && (only == nil || only(m)) && s.chance(share) {
			out = append(out, m)
		}
	}
	return out
}

// hasTask tells whether a machine has a task.
func hasTask(m *machine) bool {
	for _, t := range m.tasks {
		if t.state != fleet.Exited {
			return true
		}
	}
	return false
}

// hangMachine has a machine hang for some time.
func (s *script) hangMachine(m *machine, d time.Duration) {
	if hasTask(m) {
		s.count("machines with tasks hung")
	}
	if until := s.w.now.Add(d); until.After(m.hungUntil) {
		m.hungUntil = until
	}
}

// loseOutbound has machines reach no controller, while direct commands reach them.
func (s *script) loseOutbound(ms []*machine, d time.Duration) {
	for _, m := range ms {
		m.outboundLost = true
		s.count("machines with outbound loss")
		s.w.after(d, func() { m.outboundLost = false })
	}
}

// loseInbound has messages to machines lost, while their heartbeats arrive.
func (s *script) loseInbound(ms []*machine, d time.Duration) {
	for _, m := range ms {
		m.inboundLost = true
		s.count("machines with inbound loss")
		s.w.after(d, func() { m.inboundLost = false })
	}
}

// cutMachines cuts machines off from all controllers.
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
