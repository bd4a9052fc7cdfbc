package emulator

import (
	"fmt"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Properties of the cloud's only machine type.
const (
	MachineType = "c8"
	MachineCPUs = 8

	machineMemGB      = 32
	machineCacheGB    = 100
	machineFetchRate  = 1 // GB a second
	machineHourly     = 1.0
	machineSpotHourly = 0.5
	bootSeconds       = 5
)

// machineAddr is the address of every machine in the cloud's list. It is a placeholder: the address
// of a worker is the one in its heartbeats.
const machineAddr = "127.0.0.1:1"

// Cloud emulates a cloud that has one machine type and no spot capacity. If Boot and Delete are nil,
// the set of machines is fixed: requests to create or delete machines are answered with status 503.
type Cloud struct {
	Zones []string
	// Boot starts a machine that has been created, and Delete ends one that is being deleted. Both
	// are called with mu held.
	Boot   func(name, zone string)
	Delete func(name string)

	mu                sync.Mutex
	machines          []machine           // existing ones, in the order of their creation
	createdCount      int                 // machines ever created
	machinesByRequest map[string][]string // names of the machines created, by idempotency key
}

// machine is one machine of the cloud.
type machine struct{ name, zone string }

// MachineName returns the name of the machine that was created after n others.
func MachineName(n int) string { return fmt.Sprintf("m-%06d", n) }

// add adds a machine, which counts as running at once, and returns its name.
func (c *Cloud) add(zone string) string {
	name := MachineName(c.createdCount)
	c.createdCount++
	c.machines = append(c.machines, machine{name, zone})
	return name
}

// Machines returns the names of the existing machines, oldest first.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, machine := range c.machines {
		names = append(names, machine.name)
	}
	return names
}

// Handle serves a request of a controller (PROTOCOL: Controller nodes -> cloud).
func (c *Cloud) Handle(request *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch path := string(request.Path()); {
	case path == wire.FlavorsPath:
		c.handleMachineTypes(request)
	case path == wire.RentalsPath && request.IsPost():
		c.handleScaleOut(request)
	case path == wire.RentalsPath:
		c.handleList(request)
	default:
		c.handleScaleIn(request)
	}
}

func (c *Cloud) handleMachineTypes(request *fasthttp.RequestCtx) {
	reply(request, fasthttp.StatusOK, wire.Flavors{Builds: []wire.Flavor{{
		Label: MachineType, VCPUs: MachineCPUs, MemGB: machineMemGB, LocalGB: machineCacheGB,
		PullGBPerS: machineFetchRate, Hourly: machineHourly, SpotPrice: machineSpotHourly,
		ReadyS: bootSeconds, Yards: c.Zones,
	}}})
}

// handleList lists the machines whose names sort after the query parameter since, all on one page.
func (c *Cloud) handleList(request *fasthttp.RequestCtx) {
	after := string(request.QueryArgs().Peek("since"))
	page := wire.RentalPage{}
	for _, machine := range c.machines {
		if machine.name > after {
			page.Stalls = append(page.Stalls, wire.Rental{
				Ref: machine.name, Endpoint: machineAddr, Build: MachineType, Yard: machine.zone,
				Status: wire.RentalRunning, HeldS: 1,
			})
		}
	}
	reply(request, fasthttp.StatusOK, page)
}

// handleScaleOut creates the requested machines, once for each idempotency key: a repeated request is
// answered with the names of the machines that the first one created.
func (c *Cloud) handleScaleOut(request *fasthttp.RequestCtx) {
	var message wire.RentalRequest
	if c.Boot == nil || codec.Unmarshal(request.PostBody(), &message) != nil || message.Loaners {
		reply(request, fasthttp.StatusServiceUnavailable, wire.ErrorMessage{Error: wire.ErrorNoCapacity})
		return
	}
	names, repeated := c.machinesByRequest[message.Hire]
	if !repeated {
		names = c.create(message.Count, message.Yard)
		if c.machinesByRequest == nil {
			c.machinesByRequest = map[string][]string{}
		}
		c.machinesByRequest[message.Hire] = names
	}
	reply(request, fasthttp.StatusOK, wire.Stalls{Stalls: names})
}

// create creates and boots count machines and returns their names.
func (c *Cloud) create(count int, zone string) []string {
	var names []string
	for range count {
		name := c.add(zone)
		names = append(names, name)
		c.Boot(name, zone)
	}
	return names
}

// handleScaleIn deletes machines. If the set of machines is fixed, or the request is malformed, it
// answers with status 503.
func (c *Cloud) handleScaleIn(request *fasthttp.RequestCtx) {
	var message wire.Stalls
	if c.Delete == nil || codec.Unmarshal(request.PostBody(), &message) != nil {
		request.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	for _, name := range message.Stalls {
		c.remove(name)
	}
	request.SetStatusCode(fasthttp.StatusOK)
}

// remove deletes a machine if it exists.
func (c *Cloud) remove(name string) {
	i := slices.IndexFunc(c.machines, func(m machine) bool { return m.name == name })
	if i < 0 {
		return
	}
	c.Delete(name)
	c.machines = slices.Delete(c.machines, i, i+1)
}
