package cloud

import (
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/placement"
	"gingertally/internal/wire"
)

// This file converts between the protocol's messages and the types that other packages use.

// MachineTypes holds the machine types that the cloud offers, with their prices, as the protocol's
// messages, which is also their stored form.
type MachineTypes struct{ flavors []wire.Flavor }

// Catalog converts the machine types to the catalog that placement uses.
func (t MachineTypes) Catalog() placement.Catalog {
	catalog := placement.Catalog{}
	for _, flavor := range t.flavors {
		catalog[flavor.Label] = &placement.Type{
			Name: flavor.Label, CPUs: flavor.VCPUs, GPUs: flavor.Cards, MemGB: flavor.MemGB, CacheGB: flavor.LocalGB,
			FetchGBPerS: flavor.PullGBPerS, HourlyPrice: flavor.Hourly, SpotHourlyPrice: flavor.SpotPrice,
			Boot: seconds(flavor.ReadyS), Zones: flavor.Yards,
		}
	}
	return catalog
}

// Encode returns the machine types in their stored form.
func (t MachineTypes) Encode() []byte { return codec.MustMarshal(wire.Flavors{Builds: t.flavors}) }

// DecodeMachineTypes decodes machine types from their stored form.
func DecodeMachineTypes(value []byte) (MachineTypes, error) {
	var message wire.Flavors
	err := codec.Unmarshal(value, &message)
	return MachineTypes{message.Builds}, err
}

// ScaleOutBody returns the encoded body of a request that creates machines.
func ScaleOutBody(request core.ScaleOut) []byte {
	return codec.MustMarshal(wire.RentalRequest{
		Hire: request.Name, Build: request.Type, Yard: request.Zone, Loaners: request.Spot, Count: request.Count,
	})
}

// ScaleInBody returns the encoded body of a request that deletes machines.
func ScaleInBody(names []string) []byte { return codec.MustMarshal(wire.Stalls{Stalls: names}) }

// instanceStatuses maps the protocol's words to the statuses of instances.
var instanceStatuses = map[string]core.InstanceStatus{
	wire.RentalStarting: core.InstanceStarting,
	wire.RentalRunning:  core.InstanceRunning,
	wire.RentalFailed:   core.InstanceFailed,
}

// appendInstances appends the instances on a page of the cloud's list. It leaves out those with an
// unknown status, as if the cloud didn't list them.
func appendInstances(instances []core.Instance, page []wire.Rental) []core.Instance {
	for _, rental := range page {
		status, known := instanceStatuses[rental.Status]
		if !known {
			continue
		}
		instances = append(instances, core.Instance{
			Name: rental.Ref, Addr: rental.Endpoint, Type: rental.Build, Zone: rental.Yard, Spot: rental.Loaners,
			Status: status, Age: seconds(rental.HeldS),
		})
	}
	return instances
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
