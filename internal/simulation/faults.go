package simulation

import (
	"fmt"
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
)

// The faults that scripts are made of. Each counts that it came about.

// refuse has the state service refuse one node alone: nothing that it asks is
// executed, its leases run out, its watches wait and go on afterwards.
func (s *script) refuse(n *node, d time.Duration) {
	if n == nil || n.links.refusedByStore {
		return
	}
	s.count("nodes refused by the state service")
	n.links.refusedByStore = true
	s.w.after(d, func() { n.links.refusedByStore = false })
}

// currentLeader is the node that may act now, nil if none does.
func (s *script) currentLeader() *node {
	for _, n := range s.w.nodes {
		if n.holdsLease() {
			return n
		}
	}
	return nil
}

// onceLeader does something with the leader, as soon as there is one.
func (s *script) onceLeader(fn func(n *node)) {
	s.when(func() bool { return s.currentLeader() != nil }, func() {
		if n := s.currentLeader(); n != nil {
			fn(n)
		}
	})
}

// onceNextLeader does something once another leader than this one rules.
func (s *script) onceNextLeader(old *node, fn func(n *node)) {
	s.when(func() bool { n := s.currentLeader(); return n != nil && n != old }, func() {
		if n := s.currentLeader(); n != nil {
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

// outages are outages in a row, with a little peace between them.
func (s *script) outages(times int, d, peace time.Duration) {
	for i := range times {
		s.at(time.Duration(i)*(d+peace), func() { s.outage(d) })
	}
}

// crash ends a node; it is back after a while.
func (s *script) crash(n *node, back time.Duration) {
	if n == nil || n.down {
		return
	}
	if n.holdsLease() {
		s.count("leaders crashed")
	}
	n.crash(back)
}

// shutDownLeader ends the leader, which gives its lease up.
func (s *script) shutDownLeader(back time.Duration) {
	n := s.currentLeader()
	if n == nil {
		return
	}
	if !s.w.store.down && !n.links.refusedByStore && !n.cutOff() && s.w.lease.id == n.lease {
		s.w.lease.until = s.w.now
	}
	n.nameSuccessor()
	s.count("leaders shut down")
	s.crash(n, back)
}

// crashAll ends all nodes within a second; each is back after a while.
func (s *script) crashAll(lo, hi time.Duration) {
	s.count("crashes of all controllers")
	for _, n := range s.w.nodes {
		s.at(s.between(0, min(time.Second, lo)), func() { s.crash(n, s.between(lo, hi)) })
	}
}

// partitionFromPeersAndStore cuts a node off from the state service and the other nodes, while workers
// and users reach it.
func (s *script) partitionFromPeersAndStore(n *node, d time.Duration) {
	s.count("nodes partitioned from peers and state service")
	n.links.storeUnreachable, n.links.peersUnreachable = true, true
	s.w.after(d, func() { n.links.storeUnreachable, n.links.peersUnreachable = false, false })
}

// cutZone cuts a zone off with all in it.
func (s *script) cutZone(zone string, d time.Duration) {
	s.count("zones cut off")
	s.w.cutZones[zone] = true
	s.w.after(d, func() { delete(s.w.cutZones, zone) })
}

// sampleMachines are the machines that are up, each with some chance.
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
			m.cut[n] = true
			s.w.after(d, func() { delete(m.cut, n) })
		}
	}
}

// lateWrites leaves a share of the transactions without an answer.
func (s *script) lateWrites(share float64, d time.Duration, atOnce bool) {
	s.lostAnswerShare, s.commitBeforeLoss = share, atOnce
	s.at(d, func() { s.lostAnswerShare = 0 })
}

// lateHeartbeats has copies of a share of the heartbeats arrive again, much later or just
// when a new leader begins.
func (s *script) lateHeartbeats(share float64, d time.Duration, forNext bool) {
	s.duplicateShare, s.forNextLeader = share, forNext
	s.at(d, func() { s.duplicateShare = 0 })
}

// heldHeartbeats holds a share of the heartbeats back until a new leader has acted.
func (s *script) heldHeartbeats(share float64, d time.Duration) {
	s.heldShare = share
	s.at(d, func() { s.heldShare = 0 })
}

// runningJobs are jobs of which a task runs, those with long to go only if so asked.
func (s *script) runningJobs(long bool) []*userJob {
	seen := map[*userJob]bool{}
	var out []*userJob
	for _, m := range s.w.sortedMachines() {
		for _, t := range m.sorted() {
			j := t.job
			if !seen[j] && t.state == fleet.Running && j.accepted && j.reportedPhase == pipeline.Active && !j.cancelRequested && (!long || j.run >= endless) {
				seen[j] = true
				out = append(out, j)
			}
		}
	}
	return out
}

// machinesOf are the machines with tasks of a job.
func (s *script) machinesOf(j *userJob) []*machine {
	var out []*machine
	for _, m := range s.w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.job == j && t.state != fleet.Exited {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// cancelNow has users call off some running jobs with long to go within a fifth of a
// second; up to eight of their machines hang.
func (s *script) cancelNow(count int, hang time.Duration) {
	js := s.runningJobs(true)
	s.rng.Shuffle(len(js), func(i, k int) { js[i], js[k] = js[k], js[i] })
	hung := 0
	for _, j := range js[:min(count, len(js))] {
		s.count("cancellations requested")
		s.at(s.between(0, 200*time.Millisecond), j.cancel)
		for _, m := range s.machinesOf(j) {
			if hang > 0 && hung < 8 {
				hung++
				s.hangMachine(m, hang)
			}
		}
	}
}

// endless is a run time that no task comes to the end of.
const endless = 20 * time.Minute

// add submits a job at some moment.
func (s *script) add(at time.Duration, sp pipeline.Spec, run time.Duration) *userJob {
	s.jobs++
	sp.Ref, sp.Image = scriptJobRefs.ref(s.jobs), fmt.Sprintf("img-%d", s.rng.IntN(3))
	sp.Class, sp.ImageGB, sp.Estimate = "c", 1, run
	if sp.Team == "" {
		sp.Team = []string{"red", "blue", "green"}[s.rng.IntN(3)]
	}
	if sp.CPUs == 0 {
		sp.CPUs, sp.MemGB = 2, 4
	}
	if sp.Tasks == 0 {
		sp.Tasks = 1 + s.rng.IntN(3)
	}
	if sp.Priority == 0 {
		sp.Priority = pipeline.Normal
	}
	sp.Spot = true
	j := &userJob{w: s.w, spec: sp, run: run, done: map[int]bool{}}
	s.w.jobs[sp.Ref] = j
	s.w.after(at, j.submit)
	return j
}

// submitEndless submits arrays and gangs that only a cancellation ends.
func (s *script) submitEndless(count int, at time.Duration) {
	for i := range count {
		sp := pipeline.Spec{Shape: pipeline.Array}
		if i%3 == 2 {
			sp.Shape = pipeline.Gang
		}
		if i%2 == 1 {
			sp.CheckpointInterval, sp.CheckpointTime = 3*time.Second, 2*time.Second
		}
		s.add(at+s.between(0, 3*time.Second), sp, endless)
	}
}

// submitShort submits small jobs over some time.
func (s *script) submitShort(count int, from, to time.Duration) {
	for i := range count {
		sp := pipeline.Spec{CPUs: 1, MemGB: 1}
		if i%4 == 3 {
			sp.Shape = pipeline.Gang
		}
		s.add(s.between(from, to), sp, s.between(2*time.Second, 12*time.Second))
	}
}

func (s *script) sortedJobs() []*userJob { return s.w.sortedJobs() }

// tasksOf counts the tasks of a job that are on machines.
func (s *script) tasksOf(j *userJob) int {
	n := 0
	s.w.checker.ledger.each(func(t *task) {
		if t.job == j {
			n++
		}
	})
	return n
}
