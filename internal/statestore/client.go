// Package statestore is the client of the state service, a small consensus-backed key-value store:
// transactions by compare-and-swap, leases and watches, within this node's part of its rates. It maps
// the protocol's messages to the field's terms; nothing above it knows them.
//
// A Client may be used from any goroutine.
package statestore

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Contact is what an answer says of the state service.
type Contact uint8

// Kinds of contact.
const (
	Served  Contact = iota // it serves this node
	Refused                // it answers, but only that it can't serve
)

func contactOf(status int) Contact {
	if status == fasthttp.StatusServiceUnavailable {
		return Refused
	}
	return Served
}

// Client is a client of the state service.
type Client struct {
	http     *fasthttp.HostClient
	watches  *fasthttp.HostClient
	requests *rate.Limiter
	writes   *rate.Limiter
	contact  func(Contact)
}

// Options bound what a client asks for.
type Options struct {
	Addr             string
	Requests, Writes float64 // this node's part of the rates, per second
	Burst            int     // of writes at once
	MaxConns         int
	// Contact is told of each answer. It may be nil.
	Contact func(Contact)
}

const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// callTimeout leaves room for the occasional few hundred milliseconds.
	callTimeout = 1500 * time.Millisecond
	// renewTimeout is short: a renewal that hangs is better sent again.
	renewTimeout = 800 * time.Millisecond
	listTimeout  = 2 * callTimeout
	// watchBlock is how long the state service waits for news, watchTimeout for how
	// long the answer is waited for, and watchReadTimeout how long a read may take.
	watchBlock       = 5 * time.Second
	watchTimeout     = watchBlock + 2*time.Second
	watchReadTimeout = watchBlock + 3*time.Second
	// rateWait bounds the wait for a node's part of a rate.
	rateWait = time.Second
	idleConn = time.Minute
)

const (
	// maxWatches bounds the watches at once.
	maxWatches = 4
	// maxResponse bounds an answer's body.
	maxResponse = 8 << 20
	// minBurst is how many requests may go at once however low the rate is.
	minBurst = 4
	// pageSize is how many keys a list asks for at a time.
	pageSize = 500
	// shownBytes is how much of a refusal's text is passed on.
	shownBytes = 200
)

// New makes a client.
func New(options Options) *Client {
	if options.Contact == nil {
		options.Contact = func(Contact) {}
	}
	return &Client{
		contact:  options.Contact,
		http:     newHostClient(options.Addr, callTimeout, options.MaxConns),
		watches:  newHostClient(options.Addr, watchReadTimeout, maxWatches),
		requests: requestLimiter(options.Requests),
		writes:   rate.NewLimiter(rate.Limit(options.Writes), max(minBurst, options.Burst)),
	}
}

func newHostClient(addr string, readTimeout time.Duration, conns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: conns, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		MaxIdleConnDuration: idleConn, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, MaxResponseBodySize: maxResponse,
		Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}
}

// requestLimiter allows half a second's requests at once.
func requestLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond/2)))
}

// Part is the same client with a part of the rates of its own, so that neither
// user of the two waits for the other.
func (c *Client) Part(requests, writes float64) *Client {
	part := *c
	part.requests = requestLimiter(requests)
	part.writes = rate.NewLimiter(rate.Limit(writes), max(minBurst, int(writes)))
	return &part
}

// call is a request to the state service.
type call struct {
	http    *fasthttp.HostClient
	method  string
	uri     string
	body    []byte
	timeout time.Duration
}

// do sends a request, without regard to the node's part of the rates.
func (c *Client) do(ctx context.Context, call call) (status int, body []byte, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.SetRequestURI("http://" + c.http.Addr + call.uri)
	if call.body != nil {
		request.Header.SetContentType("application/cbor")
		request.SetBodyRaw(call.body)
	}
	deadline := time.Now().Add(call.timeout)
	if sooner, ok := ctx.Deadline(); ok && sooner.Before(deadline) {
		deadline = sooner
	}
	if err := call.http.DoDeadline(request, response, deadline); err != nil {
		return 0, nil, fmt.Errorf("%w: no answer: %w", ErrUnknownOutcome, err)
	}
	status = response.StatusCode()
	c.contact(contactOf(status))
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		return status, nil, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	return status, append([]byte(nil), response.Body()...), nil
}

// take waits for the node's part of a rate, but not for long.
func take(ctx context.Context, limiter *rate.Limiter, n int) error {
	ctx, cancel := context.WithTimeout(ctx, rateWait)
	defer cancel()
	if err := limiter.WaitN(ctx, min(n, limiter.Burst())); err != nil {
		return fmt.Errorf("%w: rate limit", ErrUnavailable)
	}
	return nil
}
