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
	ErrNoCapacity = errors.New("no capacity")
	ErrTrouble    = errors.New("cloud unavailable") // certainly not executed
	ErrUnknown    = errors.New("no answer from the cloud")
)

// Client is a client of the cloud's interface.
type Client struct {
	http *fasthttp.HostClient
	reqs *rate.Limiter
}

const callTimeout = 4 * time.Second

// burst is how many seconds' worth of requests may go at once; the cloud allows two.
const burst = 1.5

// New makes a client that stays within a rate.
func New(addr string, rps float64) *Client {
	return &Client{
		http: &fasthttp.HostClient{Addr: addr, MaxConns: 6, ReadTimeout: callTimeout, WriteTimeout: callTimeout,
			MaxIdleConnDuration: time.Minute, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
			MaxResponseBodySize: 4 << 20},
		reqs: rate.NewLimiter(rate.Limit(rps), max(1, int(rps*burst))),
	}
}

func (c *Client) do(ctx context.Context, method, uri string, body any, out any) error {
	if err := c.reqs.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrTrouble, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.http.Addr + uri)
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			return fmt.Errorf("%s %s: %w", method, uri, err)
		}
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(b)
	}
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	switch st := resp.StatusCode(); st {
	case 200:
		if out == nil {
			return nil
		}
		return wire.Unmarshal(resp.Body(), out)
	case 429:
		return fmt.Errorf("%w: too many requests", ErrTrouble)
	case 503:
		var e struct {
			Error string `cbor:"error"`
		}
		if wire.Unmarshal(resp.Body(), &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status 503", ErrTrouble)
	default:
		return fmt.Errorf("%s %s: unexpected status %d", method, uri, st)
	}
}

// Flavors reads the machine types with their present prices.
func (c *Client) Flavors(ctx context.Context) ([]wire.Flavor, error) {
	var f wire.Flavors
	err := c.do(ctx, "GET", "/flavors", nil, &f)
	return f.Builds, err
}

// Rent asks for machines. The same request may be repeated until answered.
func (c *Client) Rent(ctx context.Context, r wire.RentalRequest) ([]string, error) {
	var s wire.Stalls
	err := c.do(ctx, "POST", "/rentals", r, &s)
	return s.Stalls, err
}

// Release gives machines back; without an error they are gone.
func (c *Client) Release(ctx context.Context, names []string) error {
	return c.do(ctx, "POST", "/rentals/release", wire.Stalls{Stalls: names}, nil)
}

// List reads the whole list of machines.
func (c *Client) List(ctx context.Context) ([]wire.Rental, error) {
	var out []wire.Rental
	after := ""
	for {
		var page wire.RentalPage
		if err := c.do(ctx, "GET", "/rentals?since="+url.QueryEscape(after)+"&most=500", nil, &page); err != nil {
			return nil, err
		}
		out = append(out, page.Stalls...)
		if !page.HasNext || len(page.Stalls) == 0 {
			return out, nil
		}
		after = page.Stalls[len(page.Stalls)-1].Ref
	}
}
