package statestore

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Contact says what a response shows about the state service.
type Contact uint8

// Kinds of contact.
const (
	Served  Contact = iota // the state service serves this controller
	Refused                // it responds, but only that it can't serve the request
)

// contactOf returns the kind of contact that an HTTP status shows.
func contactOf(status int) Contact {
	if status == fasthttp.StatusServiceUnavailable {
		return Refused
	}
	return Served
}

// Client is a client of the state service.
type Client struct {
	http     *fasthttp.HostClient // for all requests but watches
	watches  *watchConns
	requests *rate.Limiter // limits all requests but those about leases and those of IsServing
	writes   *rate.Limiter // limits the changes in transactions
	contact  func(Contact) // called with each response
}

// Options are the settings of a client.
type Options struct {
	Addr             string
	Requests, Writes float64 // this controller's share of the rate limits, per second
	Burst            int     // how many writes may be sent at once; at least minBurst are
	MaxConns         int     // maximum number of connections, not counting those for watches
	// Contact is called with each response, from the goroutine of the request. It may be nil.
	Contact func(Contact)
}

const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// callTimeout allows for occasional responses that take a few hundred milliseconds.
	callTimeout = 1500 * time.Millisecond
	// keepAliveTimeout is short, since it is better to send a keep-alive again than to wait for it.
	keepAliveTimeout = 800 * time.Millisecond
	listTimeout      = 2 * callTimeout
	// watchBlock is how long the state service waits for changes before it responds. watchTimeout is
	// the client's timeout for the whole request, watchReadTimeout the one for reading the response.
	watchBlock       = 5 * time.Second
	watchTimeout     = watchBlock + 2*time.Second
	watchReadTimeout = watchBlock + 3*time.Second
	// maxRateWait is how long a request waits at most until it is within the rate limit.
	maxRateWait     = time.Second
	idleConnTimeout = time.Minute
)

const (
	// maxWatchConns bounds the number of watches in flight, each of which has a connection.
	maxWatchConns = 4
	// maxResponseBytes bounds the size of a response's body.
	maxResponseBytes = 8 << 20
	// minBurst is how many requests or writes may be sent at once at least, however low the rate is.
	minBurst = 4
	// pageSize is the number of keys that List asks for per request.
	pageSize = 500
	// maxErrorBodyBytes is how much of the body of an unexpected response its error contains.
	maxErrorBodyBytes = 200
)

// New returns a client. It connects when the first request is sent.
func New(options Options) *Client {
	if options.Contact == nil {
		options.Contact = func(Contact) {}
	}
	return &Client{
		contact:  options.Contact,
		http:     newHostClient(options.Addr, callTimeout, options.MaxConns),
		watches:  &watchConns{addr: options.Addr},
		requests: requestLimiter(options.Requests),
		writes:   rate.NewLimiter(rate.Limit(options.Writes), max(minBurst, options.Burst)),
	}
}

// newHostClient returns an HTTP client for one address. It doesn't retry, and leaves paths as they
// are.
func newHostClient(addr string, readTimeout time.Duration, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: conns, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		MaxIdleConnDuration: idleConnTimeout, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, MaxResponseBodySize: maxResponseBytes,
		Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}
}

// requestLimiter returns a rate limiter whose burst is half a second's requests, or minBurst if
// that is more.
func requestLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond/2)))
}

// WithRates returns a client that shares this one's connections but has rate limits of its own, so
// that users of one client don't wait for users of the other.
func (c *Client) WithRates(requests, writes float64) *Client {
	derived := *c
	derived.requests = requestLimiter(requests)
	derived.writes = rate.NewLimiter(rate.Limit(writes), max(minBurst, int(writes)))
	return &derived
}

// request is a request to the state service.
type request struct {
	client  *fasthttp.HostClient
	method  string
	uri     string
	body    []byte // nil if there is none
	timeout time.Duration
}

// response is the response to a request.
type response struct {
	status int
	body   []byte
}

// do sends a request without regard to the rate limits. The error is ErrUnknownOutcome if there is no
// response, and ErrUnavailable if the response says that the request wasn't executed.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.Header.SetMethod(r.method)
	httpRequest.SetRequestURI("http://" + c.http.Addr + r.uri)
	if r.body != nil {
		httpRequest.Header.SetContentType("application/cbor")
		httpRequest.SetBodyRaw(r.body)
	}
	deadline := time.Now().Add(r.timeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	if err := r.client.DoDeadline(httpRequest, httpResponse, deadline); err != nil {
		return response{}, fmt.Errorf("%w: no response: %w", ErrUnknownOutcome, err)
	}
	status := httpResponse.StatusCode()
	c.contact(contactOf(status))
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		return response{status: status}, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	return response{status, append([]byte(nil), httpResponse.Body()...)}, nil
}

// waitForRate waits until n more requests or writes are within the limiter's rate. It fails with
// ErrUnavailable if that would take longer than maxRateWait or the context ends.
func waitForRate(ctx context.Context, limiter *rate.Limiter, n int) error {
	ctx, cancel := context.WithTimeout(ctx, maxRateWait)
	defer cancel()
	if err := limiter.WaitN(ctx, min(n, limiter.Burst())); err != nil {
		return fmt.Errorf("%w: rate limit", ErrUnavailable)
	}
	return nil
}
