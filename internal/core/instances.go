package core

import (
	"time"

	"gingertally/internal/core/fleet"
)

// Instance is one machine of the cloud's list.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Status                 InstanceStatus
	Age                    time.Duration
}

// InstanceStatus is a machine's state in the cloud's list.
type InstanceStatus uint8

// States in the cloud's list.
const (
	InstanceStarting InstanceStatus = iota
	InstanceRunning
	InstanceFailed
)

// InstancesListed brings the cloud's list. It lags and may be older than the last one:
// what it says is a hint, and proves nothing gone.
type InstancesListed struct{ Instances []Instance }

func (l InstancesListed) apply(e *Engine, now time.Time) {
	e.machines.listed(now)
	for _, lm := range l.Instances {
		if e.machines.wasRemoved(lm.Name) {
			continue
		}
		m := e.machines.get(lm.Name)
		if m == nil {
			m = fleet.NewMachine(now, lm.Name, fleet.PoolKey{Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot})
			m.SetAge(now, lm.Age)
			e.addMachine(now, m)
		}
		if m.Listed(now, lm.Addr, lm.Status == InstanceRunning) {
			e.capacityChanged(m)
		}
		if lm.Status == InstanceFailed {
			e.scaleIn(now, m, ScaleInInstanceFailed)
		}
	}
}
