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
	Served  Contact = iota // it serves this controller
	Refused                // it responds, but only that it can't serve
)

// contactOf returns what a status shows about the state service.
func contactOf(status int) Contact {
	if status == fasthttp.StatusServiceUnavailable {
		return Refused
	}
	return Served
}

// Client is a client of the state service.
type Client struct {
	http     *fasthttp.HostClient // for all requests but watches
	watches  *fasthttp.HostClient
	requests *rate.Limiter // of all requests but those about leases
	writes   *rate.Limiter // of the changes in transactions
	contact  func(Contact)
}

// Options are the settings of a client.
type Options struct {
	Addr             string
	Requests, Writes float64 // this controller's part of the rates, per second
	Burst            int     // writes that may be sent at once
	MaxConns         int     // connections, besides those of watches
	// Contact is called with each response, from the goroutine of the request. It may be nil.
	Contact func(Contact)
}

const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// callTimeout leaves room for responses that take a few hundred milliseconds now and then.
	callTimeout = 1500 * time.Millisecond
	// keepAliveTimeout is short: rather than waited for, a keep-alive is sent again.
	keepAliveTimeout = 800 * time.Millisecond
	listTimeout      = 2 * callTimeout
	// watchBlock is how long the state service waits for changes, watchTimeout for how long the
	// client waits for the response, and watchReadTimeout how long it may take to read it.
	watchBlock       = 5 * time.Second
	watchTimeout     = watchBlock + 2*time.Second
	watchReadTimeout = watchBlock + 3*time.Second
	// maxRateWait is how long a request waits for this controller's part of the rates.
	maxRateWait     = time.Second
	idleConnTimeout = time.Minute
)

const (
	// maxWatchConns bounds the connections of watches.
	maxWatchConns = 4
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 8 << 20
	// minBurst is how many requests or writes may be sent at once, however low the rate is.
	minBurst = 4
	// pageSize is how many keys one request of a list asks for.
	pageSize = 500
	// maxShownBytes is how much of the body of an unexpected response its error has.
	maxShownBytes = 200
)

// New returns a client. It connects with the first request.
func New(options Options) *Client {
	if options.Contact == nil {
		options.Contact = func(Contact) {}
	}
	return &Client{
		contact:  options.Contact,
		http:     newHostClient(options.Addr, callTimeout, options.MaxConns),
		watches:  newHostClient(options.Addr, watchReadTimeout, maxWatchConns),
		requests: requestLimiter(options.Requests),
		writes:   rate.NewLimiter(rate.Limit(options.Writes), max(minBurst, options.Burst)),
	}
}

func newHostClient(addr string, readTimeout time.Duration, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: conns, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		MaxIdleConnDuration: idleConnTimeout, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, MaxResponseBodySize: maxResponseBytes,
		Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}
}

// requestLimiter returns a limiter that lets half a second's requests be sent at once.
func requestLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond/2)))
}

// WithRates returns a client that shares the connections of this one and has rates of its own, so that
// the users of neither wait for those of the other.
func (c *Client) WithRates(requests, writes float64) *Client {
	part := *c
	part.requests = requestLimiter(requests)
	part.writes = rate.NewLimiter(rate.Limit(writes), max(minBurst, int(writes)))
	return &part
}

// request is a request to the state service.
type request struct {
	client  *fasthttp.HostClient
	method  string
	uri     string
	body    []byte // nil: none
	timeout time.Duration
}

// response is the response to a request.
type response struct {
	status int
	body   []byte
}

// do sends a request, whatever has been used of the rates. The error is ErrUnknownOutcome without a
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
		return response{}, fmt.Errorf("%w: no answer: %w", ErrUnknownOutcome, err)
	}
	status := httpResponse.StatusCode()
	c.contact(contactOf(status))
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		return response{status: status}, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	return response{status, append([]byte(nil), httpResponse.Body()...)}, nil
}

// waitForRate waits until n more requests or writes are within a rate, or fails with ErrUnavailable
// if that takes too long.
func waitForRate(ctx context.Context, limiter *rate.Limiter, n int) error {
	ctx, cancel := context.WithTimeout(ctx, maxRateWait)
	defer cancel()
	if err := limiter.WaitN(ctx, min(n, limiter.Burst())); err != nil {
		return fmt.Errorf("%w: rate limit", ErrUnavailable)
	}
	return nil
}
