package core

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/placement"
)

// capacityView is the capacity that rounds of decisions place on: the free capacity of all
// machines that take work, or soon will. It is brought up to date before each round, with
// the machines that have changed since the last one.
type capacityView struct {
	free    placement.FreeCapacity
	changed map[*fleet.Machine]bool // since free last saw them
}

func newCapacityView() capacityView { return capacityView{changed: map[*fleet.Machine]bool{}} }

// machineChanged notes that what a machine may take has changed.
func (v *capacityView) machineChanged(m *fleet.Machine) { v.changed[m] = true }

// update brings the free capacity up to date. A machine that boots for longer than slowBoot
// allows for its type no longer counts as coming.
func (v *capacityView) update(now time.Time, c placement.Catalog, slowBoot func(*placement.Type) time.Duration) {
	for m := range v.changed {
		delete(v.changed, m)
		t := c[m.Type]
		switch {
		case t == nil || m.StartBlock().Withdraws():
			v.free.Remove(m)
		case m.State() == fleet.Booting && m.ExistenceVerified() && now.Sub(m.FirstSeen()) <= slowBoot(t):
			v.free.Set(m, t, true)
		case usable(m):
			v.free.Set(m, t, false)
		default:
			v.free.Remove(m)
		}
	}
}

// usable reports whether work may be placed on a machine that isn't withdrawn from placement.
func usable(m *fleet.Machine) bool {
	if m.HeartbeatExpected() {
		return true
	}
	return m.StartBlock() == fleet.NotBlocked && m.ExistenceVerified() && !m.HasUnrecorded()
}
