// Package cloud is a client of the cloud's interface (PROTOCOL: Controller nodes -> cloud). It
// creates, deletes and lists machines and reads the machine types. It converts the protocol's messages
// to the usual terms of the field, so that its callers don't depend on the protocol's words.
//
// A Client owns only its connections and its rate limiter: it doesn't retry requests, and it doesn't
// remember which machines it created. The leader calls it from the goroutines that carry out the
// engine's effects, and every controller from the goroutine that refreshes the machine types. A Client
// is safe for concurrent use.
package cloud

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/wire"
)

// Client is a client of the cloud's interface. Its methods return errors of type *RequestError.
type Client struct {
	http     *fasthttp.HostClient
	requests *rate.Limiter // limits the rate of all requests
}

const (
	// callTimeout bounds one request, without the wait for the rate limiter.
	callTimeout      = 4 * time.Second
	idleConnTimeout  = time.Minute
	maxConns         = 6
	maxResponseBytes = 4 << 20
	// burstSeconds is the burst of the rate limiter, in seconds at its rate; the cloud allows 2.
	burstSeconds = 1.5
	// pageSize is how many machines are listed per request; the cloud allows up to 500.
	pageSize = 500
)

// New returns a client that sends at most perSecond requests per second, apart from short bursts.
func New(addr string, perSecond float64) *Client {
	return &Client{
		http: &fasthttp.HostClient{
			Addr: addr, MaxConns: maxConns, ReadTimeout: callTimeout, WriteTimeout: callTimeout,
			MaxIdleConnDuration: idleConnTimeout, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
			MaxResponseBodySize: maxResponseBytes,
		},
		requests: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds))),
	}
}

// Names of the operations, for RequestError.Operation.
const (
	operationMachineTypes = "read machine types"
	operationScaleOut     = "scale out"
	operationScaleIn      = "scale in"
	operationList         = "list instances"
)

// MachineTypes reads the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) (MachineTypes, error) {
	var flavors wire.Flavors
	err := c.do(ctx, call{
		operation: operationMachineTypes, method: fasthttp.MethodGet, uri: wire.FlavorsPath, result: &flavors,
	})
	return MachineTypes{flavors.Builds}, err
}

// ScaleOut creates machines and returns their names. There may be fewer than requested, but not more.
// It is idempotent: requests with the same name create machines only once, so a request may be
// repeated until there is a response.
func (c *Client) ScaleOut(ctx context.Context, request core.ScaleOut) ([]string, error) {
	var created wire.Stalls
	err := c.do(ctx, call{
		operation: operationScaleOut, method: fasthttp.MethodPost, uri: wire.RentalsPath,
		body: ScaleOutBody(request), result: &created,
	})
	return created.Stalls, err
}

// ScaleIn deletes machines. If it returns no error, the machines and all tasks on them no longer
// exist.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.do(ctx, call{
		operation: operationScaleIn, method: fasthttp.MethodPost, uri: wire.ReleasePath, body: ScaleInBody(names),
	})
}

// ListInstances reads the whole list of machines, except those with an unknown status. The list lags
// behind creations and deletions.
func (c *Client) ListInstances(ctx context.Context) ([]core.Instance, error) {
	instances := []core.Instance{}
	after := ""
	for {
		var page wire.RentalPage
		uri := fmt.Sprintf("%s?since=%s&most=%d", wire.RentalsPath, url.QueryEscape(after), pageSize)
		request := call{operation: operationList, method: fasthttp.MethodGet, uri: uri, result: &page}
		if err := c.do(ctx, request); err != nil {
			return nil, err
		}
		instances = appendInstances(instances, page.Stalls)
		if !page.HasNext || len(page.Stalls) == 0 {
			return instances, nil
		}
		after = page.Stalls[len(page.Stalls)-1].Ref
	}
}

// call is one request to the cloud. Its response is decoded into result, unless that is nil. If body
// is nil, none is sent.
type call struct {
	operation   string
	method, uri string
	body        []byte
	result      any
}

// do makes a call and decodes its response. Errors are of type *RequestError.
func (c *Client) do(ctx context.Context, call call) error {
	if err := c.send(ctx, call); err != nil {
		return &RequestError{call.operation, err}
	}
	return nil
}

// send makes a call and decodes its response. It returns the causes of do's errors.
func (c *Client) send(ctx context.Context, call call) error {
	if err := c.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.SetRequestURI("http://" + c.http.Addr + call.uri)
	if call.body != nil {
		request.Header.SetContentType("application/cbor")
		request.SetBodyRaw(call.body)
	}
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if err := statusError(response); err != nil {
		return err
	}
	if call.result == nil {
		return nil
	}
	return codec.Unmarshal(response.Body(), call.result)
}
