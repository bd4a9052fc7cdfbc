// Package cloud is the client of the cloud's interface.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"gingertally/internal/wire"
)

// Errors of the cloud.
var (
	// ErrNoCapacity says that the cloud has no such machines at the moment.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable says that the request was certainly not executed.
	ErrUnavailable = errors.New("cloud unavailable")
	// ErrUnknown says that the request may have been executed, or may yet be.
	ErrUnknown = errors.New("no answer from the cloud")
)

// noCapacityText is the cloud's word for ErrNoCapacity.
const noCapacityText = "no capacity"

// Client is a client of the cloud's interface.
type Client struct {
	http     *fasthttp.HostClient
	requests *rate.Limiter
}

const (
	callTimeout = 4 * time.Second
	idleConn    = time.Minute
	maxConns    = 6
	maxResponse = 4 << 20
	// burstSeconds is how many seconds' worth of requests may go at once; the cloud
	// allows two.
	burstSeconds = 1.5
	// pageSize is how many machines a list asks for at a time.
	pageSize = 500
)

// New makes a client that stays within a rate.
func New(addr string, perSecond float64) *Client {
	return &Client{
		http: &fasthttp.HostClient{
			Addr: addr, MaxConns: maxConns, ReadTimeout: callTimeout, WriteTimeout: callTimeout,
			MaxIdleConnDuration: idleConn, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
			MaxResponseBodySize: maxResponse,
		},
		requests: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds))),
	}
}

// call is a request to the cloud; in and out are the messages, nil for none.
type call struct {
	method, uri string
	in, out     any
}

// do sends a request and decodes its answer.
func (c *Client) do(ctx context.Context, call call) error {
	if err := c.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.SetRequestURI("http://" + c.http.Addr + call.uri)
	if call.in != nil {
		body, err := wire.Marshal(call.in)
		if err != nil {
			return fmt.Errorf("%s %s: %w", call.method, call.uri, err)
		}
		request.Header.SetContentType("application/cbor")
		request.SetBodyRaw(body)
	}
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if err := statusError(call, response); err != nil {
		return err
	}
	if call.out == nil {
		return nil
	}
	return wire.Unmarshal(response.Body(), call.out)
}

// statusError is what an answer's status says; nil if the request was executed.
func statusError(call call, response *fasthttp.Response) error {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusTooManyRequests:
		return fmt.Errorf("%w: too many requests", ErrUnavailable)
	case fasthttp.StatusServiceUnavailable:
		var refusal struct {
			Error string `cbor:"error"`
		}
		if wire.Unmarshal(response.Body(), &refusal) == nil && refusal.Error == noCapacityText {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return fmt.Errorf("%s %s: unexpected status %d", call.method, call.uri, status)
	}
}

// MachineTypes reads the machine types with their present prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.Flavor, error) {
	var flavors wire.Flavors
	err := c.do(ctx, call{method: fasthttp.MethodGet, uri: "/flavors", out: &flavors})
	return flavors.Builds, err
}

// ScaleOut asks for machines. The same request may be repeated until answered.
func (c *Client) ScaleOut(ctx context.Context, request wire.RentalRequest) ([]string, error) {
	var machines wire.Stalls
	err := c.do(ctx, call{method: fasthttp.MethodPost, uri: "/rentals", in: request, out: &machines})
	return machines.Stalls, err
}

// ScaleIn gives machines back; without an error they are gone.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.do(ctx, call{method: fasthttp.MethodPost, uri: "/rentals/release", in: wire.Stalls{Stalls: names}})
}

// ListInstances reads the whole list of machines.
func (c *Client) ListInstances(ctx context.Context) ([]wire.Rental, error) {
	var rentals []wire.Rental
	after := ""
	for {
		var page wire.RentalPage
		uri := fmt.Sprintf("/rentals?since=%s&most=%d", url.QueryEscape(after), pageSize)
		if err := c.do(ctx, call{method: fasthttp.MethodGet, uri: uri, out: &page}); err != nil {
			return nil, err
		}
		rentals = append(rentals, page.Stalls...)
		if !page.HasNext || len(page.Stalls) == 0 {
			return rentals, nil
		}
		after = page.Stalls[len(page.Stalls)-1].Ref
	}
}
