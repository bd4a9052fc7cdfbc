package core

import (
	"time"

	"gingertally/internal/core/fleet"
)

// Instance is a machine in the cloud's list.
type Instance struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Status                 InstanceStatus
	Age                    time.Duration
}

// InstanceStatus is a machine's state in the cloud's list.
type InstanceStatus uint8

// States of machines in the cloud's list.
const (
	InstanceStarting InstanceStatus = iota
	InstanceRunning
	InstanceFailed
)

// InstancesListed carries the cloud's list of machines. The list lags and may be older than the one
// before it, so it is only a hint: it doesn't prove that a machine is gone.
type InstancesListed struct{ Instances []Instance }

func (l InstancesListed) apply(e *Engine, now time.Time) {
	e.machines.listed(now)
	for _, instance := range l.Instances {
		if e.machines.wasRemoved(instance.Name) {
			continue
		}
		m := e.machines.get(instance.Name)
		if m == nil {
			m = fleet.NewMachine(now, instance.Name, fleet.PoolKey{Type: instance.Type, Zone: instance.Zone, Spot: instance.Spot})
			m.SetAge(now, instance.Age)
			e.addMachine(now, m)
		}
		if m.Listed(now, instance.Addr, instance.Status == InstanceRunning) {
			e.capacityChanged(m)
		}
		if instance.Status == InstanceFailed {
			e.scaleIn(now, m, ScaleInInstanceFailed)
		}
	}
}
