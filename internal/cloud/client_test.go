package cloud

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/testserver"
	"gingertally/internal/wire"
)

// ampleRate is a limit of requests per second that no test reaches.
const ampleRate = 1000

// serve starts an HTTP server with a handler in place of the cloud, and returns a client of it.
func serve(t *testing.T, handler fasthttp.RequestHandler) *Client {
	t.Helper()
	return New(testserver.Start(t, handler), ampleRate)
}

// Callers act on the cause of an error. A scale-out of unknown outcome may have created machines; one
// that found no capacity, or that the cloud didn't execute, has created none. If a status were mapped
// to the wrong cause, machines would be lost or created twice.
func TestErrorsSayWhetherExecuted(t *testing.T) {
	noCapacity := codec.MustMarshal(wire.ErrorMessage{Error: wire.ErrorNoCapacity})
	outage := codec.MustMarshal(wire.ErrorMessage{Error: "trouble"})
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		want   error
	}{
		{"no capacity", fasthttp.StatusServiceUnavailable, noCapacity, ErrNoCapacity},
		{"outage", fasthttp.StatusServiceUnavailable, outage, ErrUnavailable},
		{"outage without a body", fasthttp.StatusServiceUnavailable, nil, ErrUnavailable},
		{"above the rate", fasthttp.StatusTooManyRequests, nil, ErrUnavailable},
		{"unreadable answer", fasthttp.StatusOK, []byte("nonsense"), codec.ErrMalformed},
	} {
		client := serve(t, func(request *fasthttp.RequestCtx) {
			request.SetStatusCode(c.status)
			request.SetBody(c.body)
		})
		_, err := client.ScaleOut(t.Context(), core.ScaleOut{Name: "r-1"})
		var failed *RequestError
		if !errors.Is(err, c.want) || !errors.As(err, &failed) || failed.Operation != operationScaleOut {
			t.Errorf("%s: error %v, want %v for operation %q", c.name, err, c.want, operationScaleOut)
		}
	}
}

// A status that the protocol doesn't define isn't mapped to a known cause; the error contains the
// status.
func TestUnexpectedStatus(t *testing.T) {
	client := serve(t, func(request *fasthttp.RequestCtx) { request.SetStatusCode(fasthttp.StatusTeapot) })
	err := client.ScaleIn(t.Context(), []string{"m-000001"})
	var unexpected *UnexpectedStatusError
	if !errors.As(err, &unexpected) || unexpected.Status != fasthttp.StatusTeapot {
		t.Errorf("error %v, want an *UnexpectedStatusError with the response's status", err)
	}
}

// The outcome of a request without a response is unknown; a request that was never sent was certainly
// not executed.
func TestRequestsWithoutAnswer(t *testing.T) {
	client := serve(t, func(request *fasthttp.RequestCtx) { _ = request.Conn().Close() }) // no response
	if err := client.ScaleIn(t.Context(), nil); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("connection closed without a response: error %v", err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := client.ScaleIn(cancelled, nil); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("request never sent: error %v", err)
	}
}

// All pages of the list are read: the machines of a page that isn't read would be taken for deleted
// ones. Machines with an unknown status are left out, but the next page still starts after the last
// machine of the page, whatever its status.
func TestListInstancesReadsAllPages(t *testing.T) {
	pages := map[string]wire.RentalPage{
		"": {HasNext: true, Stalls: []wire.Rental{
			{Ref: "m-000001", Endpoint: "x:1", Build: "g8", Yard: "a", Loaners: true, Status: wire.RentalRunning, HeldS: 1.5},
			{Ref: "m-000002", Status: "resting"},
		}},
		"m-000002": {Stalls: []wire.Rental{{Ref: "m-000003", Status: wire.RentalFailed}}},
	}
	client := serve(t, func(request *fasthttp.RequestCtx) {
		request.SetBody(codec.MustMarshal(pages[string(request.QueryArgs().Peek("since"))]))
	})
	got, err := client.ListInstances(t.Context())
	want := []core.Instance{
		{Name: "m-000001", Addr: "x:1", Type: "g8", Zone: "a", Spot: true, Status: core.InstanceRunning, Age: 1500 * time.Millisecond},
		{Name: "m-000003", Status: core.InstanceFailed},
	}
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("instances %+v, error %v, want %+v", got, err, want)
	}
}

// Machine types keep the values that the cloud reported when they are encoded and decoded: a
// controller that starts while the cloud's API is down uses the copy that a leader has stored.
func TestMachineTypesStored(t *testing.T) {
	flavor := wire.Flavor{Label: "g8", VCPUs: 96, Cards: 8, MemGB: 768, SpotPrice: 4.5, ReadyS: 45, Yards: []string{"a", "b"}}
	client := serve(t, func(request *fasthttp.RequestCtx) {
		request.SetBody(codec.MustMarshal(wire.Flavors{Builds: []wire.Flavor{flavor}}))
	})
	types, err := client.MachineTypes(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	stored, err := DecodeMachineTypes(types.Encode())
	if err != nil {
		t.Fatal(err)
	}
	got := stored.Catalog()["g8"]
	if got == nil || got.CPUs != 96 || got.GPUs != 8 || got.SpotHourlyPrice != 4.5 || got.Boot != 45*time.Second ||
		!slices.Equal(got.Zones, flavor.Yards) {
		t.Errorf("machine type after encoding and decoding: %+v", got)
	}
}
