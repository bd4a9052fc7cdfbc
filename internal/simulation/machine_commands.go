package simulation

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
)

// sendDirectCommands delivers direct commands to a worker. They may be lost or late.
func (w *World) sendDirectCommands(n *node, d core.DirectCommands) {
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
	delay += w.script.linkDelay()
	delay += w.script.commandDelay(m)
	delay += n.busyFor()
	m.later(delay, func() { m.takeDirectCommands(d) })
}

// takeDirectCommands carries out direct commands, unless they come from an earlier leader or are
// meant for another incarnation of the worker.
func (m *machine) takeDirectCommands(d core.DirectCommands) {
	m.w.digest.add(m.w, "direct commands", m.name, d)
	if !m.isUp || d.FencingToken < m.fencingToken || d.Incarnation != m.incarnation {
		return
	}
	m.fencingToken = d.FencingToken
	m.sequence++
	if m.execute(d.Commands) {
		m.heartbeatSoon()
	}
}

// execute carries out commands in order and reports whether any task changed.
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

// startTask adds a task and fetches its image. The task exits at once if another attempt of it is
// present or the machine has no room. It counts as being on the machine once its image is fetched.
func (m *machine) startTask(c fleet.Command) {
	j := m.w.jobs[c.Ref]
	if j == nil {
		m.w.checker.fail("start of unknown job %s", c.Ref)
		return
	}
	t := &task{m: m, job: j, index: c.Task, attempt: c.Attempt, state: fleet.Fetching}
	m.w.checker.observe(startReceived{t})
	t.cause = m.refusal(t)
	m.tasks[t.key()] = t
	if t.cause != fleet.CauseNone {
		t.state = fleet.Exited
		return
	}
	fetch := m.w.between(time.Second, maxFetchTime)
	if m.images[j.spec.Image] {
		fetch = 0
	}
	t.timer(fetch, func() {
		m.images[j.spec.Image] = true
		t.occupyMachine()
	})
}

// refusal returns why a worker doesn't start a task, CauseNone if it does.
func (m *machine) refusal(t *task) fleet.ExitCause {
	var cpus, gpus, mem float64
	present := false
	for _, o := range m.tasks {
		if o.state == fleet.Exited {
			continue
		}
		s := &o.job.spec
		cpus, gpus, mem = cpus+s.CPUs, gpus+s.GPUs, mem+s.MemGB
		present = present || o.job == t.job && o.index == t.index
	}
	typ, s := m.w.catalog[m.typ], &t.job.spec
	switch {
	case cpus+s.CPUs > typ.CPUs || gpus+s.GPUs > typ.GPUs || mem+s.MemGB > typ.MemGB:
		return fleet.CauseInsufficientResources
	case present:
		return fleet.CauseAlreadyPresent
	}
	return fleet.CauseNone
}
