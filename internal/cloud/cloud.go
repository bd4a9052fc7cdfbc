// Package cloud is the client of the cloud's interface: it creates, deletes and lists machines, within
// the rate that the cloud allows. It maps the protocol's messages to the field's terms; nothing above it
// knows them.
//
// A Client may be used from any goroutine.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/wire"
)

// Errors of the cloud's interface. Every error of a Client is a *RequestError around one of these, an
// *UnexpectedStatusError or an error of the codec.
var (
	// ErrNoCapacity says that the cloud has no such machines at the moment.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable says that the request was certainly not executed.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome says that the request may have been executed, or may yet be.
	ErrUnknownOutcome = errors.New("unknown outcome")
)

// RequestError says which request failed, and why.
type RequestError struct {
	Operation string
	Err       error
}

func (e *RequestError) Error() string { return fmt.Sprintf("cloud: %s: %v", e.Operation, e.Err) }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// UnexpectedStatusError is an answer with a status that the protocol doesn't have.
type UnexpectedStatusError struct{ Status int }

func (e *UnexpectedStatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

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

// call is a request to the cloud; body and answer are nil for none.
type call struct {
	operation   string
	method, uri string
	body        []byte
	answer      any
}

// do sends a request and decodes its answer.
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

// statusError is what an answer's status says; nil if the request was executed.
func statusError(response *fasthttp.Response) error {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusTooManyRequests:
		return fmt.Errorf("%w: too many requests", ErrUnavailable)
	case fasthttp.StatusServiceUnavailable:
		var refusal wire.ErrorMessage
		if codec.Unmarshal(response.Body(), &refusal) == nil && refusal.Error == wire.ErrorNoCapacity {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return &UnexpectedStatusError{status}
	}
}

// MachineTypes reads the machine types with their present prices.
func (c *Client) MachineTypes(ctx context.Context) (MachineTypes, error) {
	var flavors wire.Flavors
	err := c.do(ctx, call{operation: "read machine types", method: fasthttp.MethodGet, uri: wire.FlavorsPath, answer: &flavors})
	return MachineTypes{flavors.Builds}, err
}

// ScaleOut asks for machines, and returns the names of those that were created, up to as many as
// were asked for. The same request may be repeated until it is answered: it creates machines once.
func (c *Client) ScaleOut(ctx context.Context, request core.ScaleOut) ([]string, error) {
	var created wire.Stalls
	err := c.do(ctx, call{operation: "scale out", method: fasthttp.MethodPost, uri: wire.RentalsPath, body: ScaleOutBody(request), answer: &created})
	return created.Stalls, err
}

// ScaleIn deletes machines; without an error they, and all on them, are gone.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.do(ctx, call{operation: "scale in", method: fasthttp.MethodPost, uri: wire.ReleasePath, body: ScaleInBody(names)})
}

// ListInstances reads the whole list of machines. It lags behind what was created and deleted.
func (c *Client) ListInstances(ctx context.Context) ([]core.Instance, error) {
	instances := []core.Instance{}
	after := ""
	for {
		var page wire.RentalPage
		uri := fmt.Sprintf("%s?since=%s&most=%d", wire.RentalsPath, url.QueryEscape(after), pageSize)
		if err := c.do(ctx, call{operation: "list instances", method: fasthttp.MethodGet, uri: uri, answer: &page}); err != nil {
			return nil, err
		}
		instances = appendInstances(instances, page.Stalls)
		if !page.HasNext || len(page.Stalls) == 0 {
			return instances, nil
		}
		after = page.Stalls[len(page.Stalls)-1].Ref
	}
}
