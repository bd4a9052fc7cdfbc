package core

import (
	"time"

	"gingertally/internal/core/fleet"
)

// delivery is what a heartbeat shows about the answers that its machine was sent.
type delivery struct {
	delivered   bool // an answer has shown its effect
	undelivered bool // an answer should have, and hasn't
}

// detectOneWayLoss looks in a heartbeat for traces of what the machine was last told.
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
// last told. LeaseEnded says that the worker's lease has ended although its heartbeats
// were answered.
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
			d.undelivered = true // a forget, or a stop that asks for no saving
		}
	}
	for a := range m.Attempts() {
		if a.State() == fleet.Sent && a.CommandSequence() < r.Sequence && !listsAttempt(r, a) {
			d.undelivered = true
		}
	}
	return d
}

// undeliveredPause is how long a machine gets no starts after an answer that it seems
// not to have received. After the second in a row it gets none until one is delivered.
const undeliveredPause = 2 * time.Second

// scaleInUnreachable releases a machine to which no answer was delivered for half a
// lease: its worker's lease isn't renewed by answers that don't arrive, so all on it is
// as good as lost. When many machines seem unreachable at once, it is this node whose
// answers are lost, and none is released (docs/design.md, safety argument 6;
// TestOneWayLossOfAllIsOurs).
func (e *Engine) scaleInUnreachable(now time.Time, m *fleet.Machine) {
	if !m.OneWayLoss.Unreachable() || now.Sub(m.OneWayLoss.FirstUndelivered()) < e.cfg.Lease/2 {
		return
	}
	if e.machines.unreachableCount() > max(2, e.machines.count()/4) {
		return
	}
	e.scaleIn(now, m, ScaleInUnreachable)
}
