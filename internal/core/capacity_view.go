package core

import (
	"time"

	"gingertally/internal/core/fleet"
	"gingertally/internal/core/placement"
)

// capacityView holds the free capacity that rounds of decisions place tasks on: that of all
// machines that accept work, or are booting and soon will. Before each pass of a round it is
// updated with the machines that have changed.
type capacityView struct {
	free    placement.FreeCapacity
	changed map[*fleet.Machine]bool // machines that have changed since the last update
}

func newCapacityView() capacityView { return capacityView{changed: map[*fleet.Machine]bool{}} }

// machineChanged records that the capacity that a machine offers to placement has changed.
func (v *capacityView) machineChanged(m *fleet.Machine) { v.changed[m] = true }

// update applies the changed machines to the free capacity. A machine that has been booting for
// longer than slowBootAfter allows for its type is no longer counted as upcoming capacity.
func (v *capacityView) update(now time.Time, catalog placement.Catalog, slowBootAfter func(*placement.Type) time.Duration) {
	for m := range v.changed {
		delete(v.changed, m)
		t := catalog[m.Type]
		switch {
		case t == nil || m.StartBlock().Withdraws():
			v.free.Remove(m)
		case m.State() == fleet.Booting && m.ExistenceVerified() && now.Sub(m.FirstSeen()) <= slowBootAfter(t):
			v.free.Set(m, t, true)
		case usable(m):
			v.free.Set(m, t, false)
		default:
			v.free.Remove(m)
		}
	}
}

// usable reports whether tasks may be placed on a machine, provided that it isn't withdrawn from
// placement.
func usable(m *fleet.Machine) bool {
	if m.HeartbeatExpected() {
		return true
	}
	return m.StartBlock() == fleet.NotBlocked && m.ExistenceVerified() && !m.HasUnwanted()
}
