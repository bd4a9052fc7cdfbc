package core

import (
	"time"

	"gingertally/internal/core/fleet"
)

// delivery is what a heartbeat shows about whether its machine received the last answers.
type delivery struct {
	delivered   bool // an answer has had an effect
	undelivered bool // an answer should have had an effect and hasn't
}

// detectOneWayLoss looks in a heartbeat for the effects of the last answers to its machine. If
// answers have shown no effect, it pauses starts on the machine, unless this node's answers may have
// been late or the loss was counted a moment ago.
func (e *Engine) detectOneWayLoss(now time.Time, m *fleet.Machine, r *fleet.Heartbeat, leaseEnded bool) {
	switch d := e.deliveryShown(now, m, r, leaseEnded); {
	case d.delivered:
		if e.machines.answerDelivered(m) {
			e.capacityChanged(m)
		}
	case d.undelivered:
		sameLoss := now.Sub(m.OneWayLoss.LastUndelivered()) < e.cfg.HeartbeatInterval/2
		if sameLoss || e.ticks.answersLate(now, e.cfg.HeartbeatInterval) {
			return
		}
		e.machines.answerUndelivered(now, m)
		m.PauseStarts(now.Add(undeliveredPause))
		e.capacityChanged(m)
		if m.OneWayLoss.Unreachable() {
			e.machines.checkAt(m, now)
		}
	}
}

// deliveryShown compares a heartbeat with the commands and the fencing token that the machine was
// last sent. leaseEnded says that the worker's lease has ended although its heartbeats were
// answered.
func (e *Engine) deliveryShown(now time.Time, m *fleet.Machine, r *fleet.Heartbeat, leaseEnded bool) delivery {
	d := delivery{
		delivered:   r.Incarnation == m.Incarnation() && m.OneWayLoss.MustHaveDelivered(now, e.cfg.Lease),
		undelivered: leaseEnded,
	}
	if m.OneWayLoss.Expecting() {
		if r.FencingToken == e.numbers.term {
			d.delivered = true
		} else {
			d.undelivered = true
		}
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		a := m.Attempt(fleet.TaskID{Ref: t.Ref, Task: t.Task})
		if a == nil || a.Number != t.Attempt || a.CommandSequence() == 0 || a.CommandSequence() >= r.Sequence {
			continue
		}
		switch {
		case a.State() == fleet.Sent:
			d.delivered = true
		case t.State == fleet.Exited && a.State() == fleet.Exited,
			a.Stopping() && a.Grace() == 0 && t.State < fleet.Checkpointing:
			d.undelivered = true // a forget, or a stop without time for a checkpoint, has had no effect
		}
	}
	for a := range m.Attempts() {
		if a.State() == fleet.Sent && a.CommandSequence() < r.Sequence && !listsAttempt(r, a) {
			d.undelivered = true
		}
	}
	return d
}

// undeliveredPause is how long a machine gets no starts after an answer that it seems not to have
// received. After the second such answer in a row it gets none until an answer is delivered.
const undeliveredPause = 2 * time.Second

// scaleInUnreachable releases a machine that has received no answers for half a lease: only answers
// that arrive renew its worker's lease, so the tasks on it will be lost anyway. If more than two
// machines, and more than a quarter of all, seem unreachable at once, this node is taken for the
// cause and none is released (docs/design.md, safety argument 6; TestOneWayLossOfAllIsOurs).
func (e *Engine) scaleInUnreachable(now time.Time, m *fleet.Machine) {
	if !m.OneWayLoss.Unreachable() || now.Sub(m.OneWayLoss.FirstUndelivered()) < e.cfg.Lease/2 {
		return
	}
	if e.machines.unreachableCount() > max(2, e.machines.count()/4) {
		return
	}
	e.scaleIn(now, m, ScaleInUnreachable)
}
