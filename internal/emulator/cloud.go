package emulator

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"gingertally/internal/wire"
)

// Properties of the one machine type.
const (
	MachineType = "c8"
	MachineCPUs = 8
	machineMem  = 32
	bootSeconds = 5
)

// Cloud is a cloud whose machines are all rented from the start and never taken back: the
// measurements are of the controllers, not of the capacity.
type Cloud struct {
	Machines []wire.Rental
	Zones    []string
}

// MachineName is the name of the n-th machine.
func MachineName(n int) string { return fmt.Sprintf("m-%06d", n) }

// Handle serves a request.
func (c *Cloud) Handle(request *fasthttp.RequestCtx) {
	switch path := string(request.Path()); {
	case path == "/flavors":
		reply(request, fasthttp.StatusOK, wire.Flavors{Builds: []wire.Flavor{{
			Label: MachineType, VCPUs: MachineCPUs, MemGB: machineMem, LocalGB: 100, PullGBPerS: 1,
			Hourly: 1, SpotPrice: 0.5, ReadyS: bootSeconds, Yards: c.Zones,
		}}})
	case path == "/rentals" && request.IsPost():
		reply(request, fasthttp.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
	case path == "/rentals":
		since := string(request.QueryArgs().Peek("since"))
		page := wire.RentalPage{}
		for _, m := range c.Machines {
			if m.Ref > since {
				page.Stalls = append(page.Stalls, m)
			}
		}
		reply(request, fasthttp.StatusOK, page)
	default: // machines stay: a release is answered as if unknown machines were named
		request.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
