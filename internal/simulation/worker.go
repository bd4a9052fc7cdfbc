package simulation

import (
	"sort"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
)

// machine is a rented machine with its worker.
type machine struct {
	w                      *World
	name, typ              string
	zone                   string
	spot                   bool
	createdAt              time.Time
	rate                   float64
	isUp, dead             bool
	hungUntil              time.Time
	faulty                 bool
	inboundLost            bool      // its heartbeats arrive, but nothing that is sent to it (one-way loss)
	outboundLost           bool      // it reaches no controller, while direct commands reach it (one-way loss)
	failures               int       // how many tasks failed on it
	failedAt               time.Time // the last of them
	workerProcess          int       // rises when its worker restarts
	interruptionAt         time.Time
	cut                    map[*node]bool
	incarnation            uint64
	sequence, fencingToken uint64
	lastAnsweredAt         time.Time // when the last answered report was sent, by its own clock
	target                 int
	outstanding            uint64 // the heartbeat that is waited for, 0: none
	lastHeartbeat          time.Time
	tasks                  map[string]*task // by name and attempt
	images                 map[string]bool
}

func (m *machine) local() time.Time {
	return m.w.start.Add(time.Duration(float64(m.w.elapsed()) * m.rate))
}

// later runs fn on the machine: not while it hangs, and not after its end.
func (m *machine) later(d time.Duration, fn func()) {
	m.w.after(d, func() {
		if m.dead {
			return
		}
		if m.w.now.Before(m.hungUntil) {
			m.later(m.hungUntil.Sub(m.w.now)+m.w.between(0, 100*time.Millisecond), fn)
			return
		}
		fn()
	})
}

func (m *machine) up() {
	if m.dead {
		return
	}
	m.isUp, m.incarnation, m.lastAnsweredAt = true, 1, m.local()
	m.target = m.w.rng.IntN(len(m.w.nodes))
	m.cut = map[*node]bool{}
	m.leaseLoop()
	m.heartbeatLoop()
}

func (m *machine) leaseLoop() {
	if m.dead {
		return
	}
	if m.local().Sub(m.lastAnsweredAt) > m.w.options.Lease {
		for _, t := range m.sorted() {
			m.remove(t)
		}
		m.incarnation++
		m.outstanding = 0
		m.lastAnsweredAt = m.local()
		m.sendHeartbeat()
	}
	// A hanging machine may go on within its lease only (PROTOCOL), so this
	// clock runs while it hangs.
	m.w.after(250*time.Millisecond, m.leaseLoop)
}

func (m *machine) heartbeatLoop() {
	every := m.w.options.HeartbeatInterval
	m.later(m.w.between(every*3/4, every*5/4), func() {
		m.sendHeartbeat()
		m.heartbeatLoop()
	})
}

// heartbeatSoon reports soon, but no more often than every half second.
func (m *machine) heartbeatSoon() {
	wait := max(0, 500*time.Millisecond-m.w.now.Sub(m.lastHeartbeat))
	m.later(wait, m.sendHeartbeat)
}

func (m *machine) sorted() []*task {
	var out []*task
	for _, t := range m.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, k int) bool {
		return taskKey(out[i].job.spec.Ref, out[i].index, out[i].attempt) < taskKey(out[k].job.spec.Ref, out[k].index, out[k].attempt)
	})
	return out
}

func (m *machine) snapshot() fleet.Heartbeat {
	m.sequence++
	r := fleet.Heartbeat{Machine: m.name, Addr: m.name, Type: m.typ, Zone: m.zone, Spot: m.spot, Incarnation: m.incarnation, Sequence: m.sequence,
		FencingToken: m.fencingToken, InterruptionIn: -1}
	if !m.interruptionAt.IsZero() {
		r.InterruptionIn = max(0, m.interruptionAt.Sub(m.w.now))
	}
	for _, t := range m.sorted() {
		r.Tasks = append(r.Tasks, fleet.TaskStatus{Ref: t.job.spec.Ref, Task: t.index, Attempt: t.attempt, State: t.state, Cause: t.cause, Checkpointed: t.checkpointed})
	}
	return r
}

// answerWithin is how long a worker waits for the response to a heartbeat.
const answerWithin = 4 * time.Second

func (m *machine) sendHeartbeat() {
	if m.outstanding != 0 || m.w.now.Sub(m.lastHeartbeat) < 400*time.Millisecond {
		return
	}
	m.lastHeartbeat = m.w.now
	r := m.snapshot()
	m.outstanding = r.Sequence
	sent := m.local()
	n := m.w.nodes[m.target]
	m.deliver(n, r, sent)
	m.later(answerWithin, func() {
		if m.outstanding == r.Sequence {
			m.tryNextNode()
		}
	})
}

// tryNextNode moves on to another node.
func (m *machine) tryNextNode() {
	m.outstanding = 0
	m.target = (m.target + 1) % len(m.w.nodes)
	m.later(time.Second, m.sendHeartbeat)
}

func (m *machine) blocked(n *node) bool {
	return n.down || n.links.workersUnreachable || m.cut[n] || !m.w.network.reachable(m.zone, n.zone)
}

func (m *machine) deliver(n *node, r fleet.Heartbeat, sent time.Time) {
	w := m.w
	w.digest.add(w, "report", m.name, r)
	delay := w.between(time.Millisecond, 20*time.Millisecond) + w.script.linkDelay()
	if m.outboundLost {
		w.script.count("heartbeats of machines with outbound loss")
		return
	}
	if w.script.interceptHeartbeat(m, n, r, sent) {
		return
	}
	if m.blocked(n) {
		if n.down || w.chance(0.5) {
			return
		}
		delay = w.between(time.Second, 25*time.Second) // held back by the cut
	} else if w.unreliable() && w.chance(0.01) {
		delay = w.between(0, 12*time.Second)
	}
	if w.unreliable() && w.chance(0.05) {
		w.sendDuplicate(r)
	}
	process := m.workerProcess
	w.after(delay, func() {
		n.run(n.incarnation, func() { m.heartbeatArrived(n, r, process, sent) })
	})
}

// heartbeatArrived has a node serve a heartbeat.
func (m *machine) heartbeatArrived(n *node, r fleet.Heartbeat, process int, sent time.Time) {
	w := m.w
	status, reply, leader := n.answerHeartbeat(r, false)
	if status == 421 && n.reaches(leader) && w.chance(0.2) {
		status, reply, leader = leader.answerHeartbeat(r, true) // passed on by the node
	}
	if status == 0 {
		leader.tick()
		leader.completeHeldResponse(r, func(status int, reply core.HeartbeatResponse) {
			m.sendResponse(n, r, process, sent, status, reply, nil)
		})
		return
	}
	m.sendResponse(n, r, process, sent, status, reply, leader)
}

// completeHeldResponse completes an answer a moment later, or when the leader says so.
func (n *node) completeHeldResponse(r fleet.Heartbeat, answer func(int, core.HeartbeatResponse)) {
	engine, incarnation := n.engine, n.incarnation
	var again func()
	again = func() {
		n.w.after(n.w.between(50*time.Millisecond, 500*time.Millisecond), func() {
			n.run(incarnation, func() {
				if status, reply := n.answerHeldHeartbeat(r, engine); status == 0 {
					again()
				} else {
					answer(status, reply)
				}
			})
		})
	}
	again()
}

// sendResponse sends a node's response back, if it gets through.
func (m *machine) sendResponse(n *node, r fleet.Heartbeat, process int, sent time.Time, status int, reply core.HeartbeatResponse, leader *node) {
	w := m.w
	if m.inboundLost || m.blocked(n) || (w.unreliable() && w.chance(0.01)) {
		return
	}
	delay := w.between(time.Millisecond, 30*time.Millisecond)
	if w.correlated != nil {
		delay += w.correlated.pauseBeforeAnswer() // between the check of the lease and the answer
	}
	delay += w.script.linkDelay() + w.script.answerDelay(m, status, reply) + n.busyFor()
	m.later(delay, func() {
		if m.workerProcess == process {
			m.handleResponse(r, sent, status, reply, leader)
		}
	})
}

// sendDuplicate has a copy of a heartbeat arrive late at some node, up to well over a lease
// later; nobody waits for its answer.
func (w *World) sendDuplicate(r fleet.Heartbeat) {
	w.after(w.between(time.Second, 3*w.options.Lease), func() {
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		n.run(n.incarnation, func() {
			status, _, leader := n.answerHeartbeat(r, false)
			if status == 421 && !leader.paused() {
				status, _, leader = leader.answerHeartbeat(r, true)
			}
			if status == 0 {
				leader.completeHeldResponse(r, func(int, core.HeartbeatResponse) {})
			}
		})
	})
}

func (m *machine) handleResponse(r fleet.Heartbeat, sent time.Time, status int, reply core.HeartbeatResponse, leader *node) {
	if m.outstanding != r.Sequence || r.Incarnation != m.incarnation {
		return // given up, or from an earlier incarnation
	}
	m.outstanding = 0
	m.w.digest.add(m.w, "answer", m.name, reply)
	switch status {
	case 200:
		if reply.FencingToken < m.fencingToken {
			return
		}
		higher := reply.FencingToken > m.fencingToken
		m.fencingToken = reply.FencingToken
		m.lastAnsweredAt = sent
		if m.execute(reply.Commands) || higher {
			m.heartbeatSoon()
		}
	case 421:
		for i, n := range m.w.nodes {
			if n == leader {
				m.target = i
			}
		}
		m.later(m.w.between(0, 500*time.Millisecond), m.sendHeartbeat)
	default:
		m.tryNextNode()
	}
}

// sendDirectCommands takes direct commands to a worker, perhaps late.
func (w *World) sendDirectCommands(n *node, d core.Direct) {
	m := w.machines[d.Machine]
	if m == nil {
		return
	}
	w.checker.observe(directCommandsSent{d})
	delay := w.between(time.Millisecond, 20*time.Millisecond)
	if m.inboundLost {
		return
	}
	if m.blocked(n) || (w.unreliable() && w.chance(0.05)) {
		delay = w.between(0, 30*time.Second)
	}
	delay += w.script.linkDelay() + w.script.commandDelay(m) + n.busyFor()
	m.later(delay, func() {
		m.w.digest.add(m.w, "orders", m.name, d)
		if m.isUp && d.FencingToken >= m.fencingToken && d.Incarnation == m.incarnation {
			m.fencingToken = d.FencingToken
			m.sequence++
			if m.execute(d.Commands) {
				m.heartbeatSoon()
			}
		}
	})
}

// execute carries commands out in order; it tells whether any task changed.
func (m *machine) execute(cmds []fleet.Command) bool {
	changed := false
	for _, c := range cmds {
		t := m.tasks[taskKey(c.Ref, c.Task, c.Attempt)]
		switch c.Kind {
		case fleet.Start:
			if t == nil {
				m.startTask(c)
				changed = true
			}
		case fleet.Stop:
			if t != nil && t.state != fleet.Exited {
				m.w.checker.observe(stopReceived{t})
				t.stop(c.Grace)
				changed = true
			}
		case fleet.Forget:
			if t != nil && t.state == fleet.Exited {
				delete(m.tasks, taskKey(c.Ref, c.Task, c.Attempt))
				changed = true
			}
		}
	}
	return changed
}

func (m *machine) startTask(c fleet.Command) {
	j := m.w.jobs[c.Ref]
	if j == nil {
		m.w.checker.fail("start of unknown job %s", c.Ref)
		return
	}
	t := &task{m: m, job: j, index: c.Task, attempt: c.Attempt, state: fleet.Fetching}
	m.w.checker.observe(startReceived{t})
	var cpus, gpus, mem float64
	for _, o := range m.tasks {
		if o.state == fleet.Exited {
			continue
		}
		s := &o.job.spec
		cpus, gpus, mem = cpus+s.CPUs, gpus+s.GPUs, mem+s.MemGB
		if o.job == j && o.index == t.index {
			t.state, t.cause = fleet.Exited, fleet.CauseAlreadyPresent
		}
	}
	typ := m.w.catalog[m.typ]
	if cpus+j.spec.CPUs > typ.CPUs || gpus+j.spec.GPUs > typ.GPUs || mem+j.spec.MemGB > typ.MemGB {
		t.state, t.cause = fleet.Exited, fleet.CauseInsufficientResources
	}
	m.tasks[taskKey(c.Ref, c.Task, c.Attempt)] = t
	if t.state == fleet.Exited {
		return
	}
	fetch := m.w.between(time.Second, 8*time.Second)
	if m.images[j.spec.Image] {
		fetch = 0
	}
	t.timer(fetch, func() {
		m.images[j.spec.Image] = true
		t.occupyMachine()
	})
}

func (m *machine) remove(t *task) {
	t.timerGeneration++
	delete(m.tasks, t.key())
	if t.state != fleet.Exited {
		t.state = fleet.Exited
		t.leaveMachine()
	}
}

// reboot restarts the worker: all tasks are gone, and it counts from one.
func (m *machine) reboot() {
	for _, t := range m.sorted() {
		m.remove(t)
	}
	m.workerProcess++
	m.incarnation, m.sequence, m.fencingToken, m.outstanding = 1, 0, 0, 0
	m.lastAnsweredAt, m.lastHeartbeat = m.local(), time.Time{}
	clear(m.images)
	m.later(m.w.between(10*time.Millisecond, time.Second), m.sendHeartbeat)
}

// die ends the machine and all on it.
func (m *machine) die() {
	if m.dead {
		return
	}
	for _, t := range m.sorted() {
		m.remove(t)
	}
	m.dead = true
	delete(m.w.machines, m.name)
}
