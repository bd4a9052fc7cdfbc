package standin

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// MachineType describes a machine type of the cloud.
type MachineType = wire.Flavor

// Cloud is a stand-in for the cloud (PROTOCOL: Controller nodes -> cloud). It has no machines left to
// rent: requests get "no capacity". Machines can be released.
type Cloud struct {
	types   []MachineType
	release func(names []string)

	mu       sync.Mutex
	machines []wire.Rental // in the order of their names
}

func (c *Cloud) add(rental wire.Rental) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, rental)
}

func (c *Cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == wire.FlavorsPath:
		answer(w, http.StatusOK, wire.Flavors{Builds: c.types})
	case r.URL.Path == wire.RentalsPath && r.Method == http.MethodGet:
		c.list(w, r)
	case r.URL.Path == wire.RentalsPath:
		answer(w, http.StatusServiceUnavailable, wire.ErrorMessage{Error: wire.ErrorNoCapacity})
	default:
		var message wire.Stalls
		if codec.Unmarshal(body, &message) != nil || len(message.Stalls) > 100 {
			answer(w, http.StatusBadRequest, wire.ErrorMessage{Error: "malformed"})
			return
		}
		c.mu.Lock()
		c.machines = slices.DeleteFunc(c.machines, func(m wire.Rental) bool { return slices.Contains(message.Stalls, m.Ref) })
		c.mu.Unlock()
		c.release(message.Stalls)
		answer(w, http.StatusOK, map[string]any{})
	}
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	c.mu.Lock()
	defer c.mu.Unlock()
	page := wire.RentalPage{Stalls: []wire.Rental{}}
	for _, m := range c.machines {
		if m.Ref > since {
			if len(page.Stalls) == most {
				page.HasNext = true
				break
			}
			page.Stalls = append(page.Stalls, m)
		}
	}
	answer(w, http.StatusOK, page)
}
