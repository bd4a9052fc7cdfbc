package emulator

import (
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Properties of the one machine type.
const (
	MachineType = "c8"
	MachineCPUs = 8
	machineMem  = 32
	bootSeconds = 5
)

// Cloud is a cloud with one type of machines. Without Boot and Delete its machines are all
// rented from the start and never taken back.
type Cloud struct {
	Zones []string
	// Boot starts a machine that was rented, and Delete ends one that was given back, by name.
	Boot   func(name, zone string)
	Delete func(name string)

	mu       sync.Mutex
	machines []wire.Rental       // that are there, by name
	made     int                 // machines so far
	answered map[string][]string // by the name of the request
}

// MachineName is the name of the n-th machine.
func MachineName(n int) string { return fmt.Sprintf("m-%06d", n) }

// add makes a machine, which is up at once.
func (c *Cloud) add(zone string) string {
	name := MachineName(c.made)
	c.made++
	c.machines = append(c.machines, wire.Rental{Ref: name, Endpoint: "127.0.0.1:1", Build: MachineType, Yard: zone, Status: wire.RentalRunning, HeldS: 1})
	return name
}

// Handle serves a request.
func (c *Cloud) Handle(request *fasthttp.RequestCtx) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch path := string(request.Path()); {
	case path == "/flavors":
		reply(request, fasthttp.StatusOK, wire.Flavors{Builds: []wire.Flavor{{
			Label: MachineType, VCPUs: MachineCPUs, MemGB: machineMem, LocalGB: 100, PullGBPerS: 1,
			Hourly: 1, SpotPrice: 0.5, ReadyS: bootSeconds, Yards: c.Zones,
		}}})
	case path == "/rentals" && request.IsPost():
		c.rent(request)
	case path == "/rentals":
		since := string(request.QueryArgs().Peek("since"))
		page := wire.RentalPage{}
		for _, m := range c.machines {
			if m.Ref > since {
				page.Stalls = append(page.Stalls, m)
			}
		}
		reply(request, fasthttp.StatusOK, page)
	default:
		c.release(request)
	}
}

// rent serves a request for machines, once by its name.
func (c *Cloud) rent(request *fasthttp.RequestCtx) {
	var hire wire.RentalRequest
	if c.Boot == nil || codec.Unmarshal(request.PostBody(), &hire) != nil || hire.Loaners {
		reply(request, fasthttp.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	names, known := c.answered[hire.Hire]
	for range hire.Count {
		if known {
			break
		}
		name := c.add(hire.Yard)
		names = append(names, name)
		c.Boot(name, hire.Yard)
	}
	if c.answered == nil {
		c.answered = map[string][]string{}
	}
	c.answered[hire.Hire] = names
	reply(request, fasthttp.StatusOK, wire.Stalls{Stalls: names})
}

// release deletes machines. Where machines stay, it is answered as if it couldn't be served.
func (c *Cloud) release(request *fasthttp.RequestCtx) {
	var named wire.Stalls
	if c.Delete == nil || codec.Unmarshal(request.PostBody(), &named) != nil {
		request.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	for _, name := range named.Stalls {
		for i, m := range c.machines {
			if m.Ref == name {
				c.Delete(name)
				c.machines = append(c.machines[:i], c.machines[i+1:]...)
				break
			}
		}
	}
	request.SetStatusCode(fasthttp.StatusOK)
}

// Machines lists the machines that are there.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, m := range c.machines {
		names = append(names, m.Ref)
	}
	return names
}
