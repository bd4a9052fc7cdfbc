// Package cloud is the client of the cloud's interface (PROTOCOL: Controller nodes -> cloud). It
// creates, deletes and lists machines, and maps the protocol's messages to the field's terms, so that
// nothing above it knows them.
//
// A Client owns its connections and the limit of its rate, and nothing else: it doesn't repeat
// requests, and it doesn't remember what it created. The leader calls it from the goroutines that
// carry out the engine's effects, and every controller from the one that refreshes the machine types;
// a Client may be used by any number of goroutines.
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

// Client is a client of the cloud's interface. All its errors are *RequestError.
type Client struct {
	http     *fasthttp.HostClient
	requests *rate.Limiter
}

const (
	callTimeout = 4 * time.Second
	idleConn    = time.Minute
	maxConns    = 6
	maxResponse = 4 << 20
	// burstSeconds is how many seconds' worth of requests may be sent at once; the cloud allows 2.
	burstSeconds = 1.5
	// pageSize is how many machines are read with one request; the cloud allows 500.
	pageSize = 500
)

// New makes a client that sends at most so many requests a second.
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

// Names of the operations in errors.
const (
	operationMachineTypes = "read machine types"
	operationScaleOut     = "scale out"
	operationScaleIn      = "scale in"
	operationList         = "list instances"
)

// MachineTypes reads the machine types with their present prices.
func (c *Client) MachineTypes(ctx context.Context) (MachineTypes, error) {
	var flavors wire.Flavors
	err := c.do(ctx, call{
		operation: operationMachineTypes, method: fasthttp.MethodGet, uri: wire.FlavorsPath, answer: &flavors,
	})
	return MachineTypes{flavors.Builds}, err
}

// ScaleOut asks for machines, and returns the names of those that were created: at most as many as
// were asked for. The same request may be repeated until it is answered; it creates machines once.
func (c *Client) ScaleOut(ctx context.Context, request core.ScaleOut) ([]string, error) {
	var created wire.Stalls
	err := c.do(ctx, call{
		operation: operationScaleOut, method: fasthttp.MethodPost, uri: wire.RentalsPath,
		body: ScaleOutBody(request), answer: &created,
	})
	return created.Stalls, err
}

// ScaleIn deletes machines. Without an error they, and all tasks on them, no longer exist.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.do(ctx, call{
		operation: operationScaleIn, method: fasthttp.MethodPost, uri: wire.ReleasePath, body: ScaleInBody(names),
	})
}

// ListInstances reads the whole list of machines. The list lags behind creations and deletions.
func (c *Client) ListInstances(ctx context.Context) ([]core.Instance, error) {
	instances := []core.Instance{}
	after := ""
	for {
		var page wire.RentalPage
		uri := fmt.Sprintf("%s?since=%s&most=%d", wire.RentalsPath, url.QueryEscape(after), pageSize)
		request := call{operation: operationList, method: fasthttp.MethodGet, uri: uri, answer: &page}
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

// call is one request to the cloud. A nil body sends none, and a nil answer reads none.
type call struct {
	operation   string
	method, uri string
	body        []byte
	answer      any
}

// do makes a call and decodes its answer.
func (c *Client) do(ctx context.Context, call call) error {
	if err := c.send(ctx, call); err != nil {
		return &RequestError{call.operation, err}
	}
	return nil
}

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
	if call.answer == nil {
		return nil
	}
	return codec.Unmarshal(response.Body(), call.answer)
}
