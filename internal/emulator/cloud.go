package emulator

import (
	"fmt"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Properties of the one machine type.
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

// machineAddr stands for the address of a machine in the cloud's list; the address in its worker's heartbeats
// is the one that counts.
const machineAddr = "127.0.0.1:1"

// Cloud is a cloud with one machine type and no spot instances. Without Boot and Delete its machines are there
// from the start and stay.
type Cloud struct {
	Zones []string
	// Boot starts a machine that was created, and Delete ends one that was deleted. Both are called while
	// the cloud is locked.
	Boot   func(name, zone string)
	Delete func(name string)

	mu       sync.Mutex
	machines []machine           // that exist, in the order of their creation
	created  int                 // machines so far
	answered map[string][]string // the machines created, by the name of the request
}

// machine is a machine of the cloud.
type machine struct{ name, zone string }

// MachineName is the name of the n-th machine.
func MachineName(n int) string { return fmt.Sprintf("m-%06d", n) }

// add creates a machine, which is up at once, and returns its name.
func (c *Cloud) add(zone string) string {
	name := MachineName(c.created)
	c.created++
	c.machines = append(c.machines, machine{name, zone})
	return name
}

// Machines lists the names of the machines that exist.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, machine := range c.machines {
		names = append(names, machine.name)
	}
	return names
}

// Handle serves a request (PROTOCOL: Controller nodes -> cloud).
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

// handleList lists the machines after one of them, on a single page.
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

// handleScaleOut creates machines, once for each name of a request.
func (c *Cloud) handleScaleOut(request *fasthttp.RequestCtx) {
	var message wire.RentalRequest
	if c.Boot == nil || codec.Unmarshal(request.PostBody(), &message) != nil || message.Loaners {
		reply(request, fasthttp.StatusServiceUnavailable, wire.ErrorMessage{Error: wire.ErrorNoCapacity})
		return
	}
	names, repeated := c.answered[message.Hire]
	if !repeated {
		names = c.create(message.Count, message.Yard)
		if c.answered == nil {
			c.answered = map[string][]string{}
		}
		c.answered[message.Hire] = names
	}
	reply(request, fasthttp.StatusOK, wire.Stalls{Stalls: names})
}

// create creates and boots machines, and returns their names.
func (c *Cloud) create(count int, zone string) []string {
	var names []string
	for range count {
		name := c.add(zone)
		names = append(names, name)
		c.Boot(name, zone)
	}
	return names
}

// handleScaleIn deletes machines. Where machines stay, it answers as if it couldn't be served.
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

// remove deletes a machine, if it exists.
func (c *Cloud) remove(name string) {
	i := slices.IndexFunc(c.machines, func(m machine) bool { return m.name == name })
	if i < 0 {
		return
	}
	c.Delete(name)
	c.machines = slices.Delete(c.machines, i, i+1)
}
