// Package statestore is the client of the state service: conditional
// transactions, leases and watches, within this node's part of its rates.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"gingertally/internal/wire"
)

// Errors of the store.
var (
	// ErrUnavailable says that the request was certainly not executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrUnknown says that the request may have been executed, or may yet be.
	ErrUnknown = errors.New("no answer from the state service")
	// ErrNotFound says that a lease is over.
	ErrNotFound = errors.New("not found")
	// ErrRefused says that the request can never be executed as it stands: it is
	// larger than the state service takes, say.
	ErrRefused = errors.New("refused by the state service")
	// ErrCompacted says that a watch starts too far back.
	ErrCompacted = errors.New("watch too old")
)

// ConflictError names the keys whose condition failed.
type ConflictError struct{ Failed []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Failed) }

// Item is one key with its value.
type Item = wire.StoreItem

// Client is a client of the state service.
type Client struct {
	http    *fasthttp.HostClient
	watch   *fasthttp.HostClient
	reqs    *rate.Limiter
	changes *rate.Limiter
	contact func(served bool)
}

// Options bound what a client asks for.
type Options struct {
	Addr             string
	Requests, Writes float64 // this node's part of the rates, per second
	Burst            int     // of writes at once
	MaxConns         int
	// Contact is told of each answer: whether the request was served. It may be nil.
	Contact func(served bool)
}

// New makes a client.
func New(o Options) *Client {
	host := func(read time.Duration, conns int) *fasthttp.HostClient {
		return &fasthttp.HostClient{Addr: o.Addr, MaxConns: conns, ReadTimeout: read, WriteTimeout: 2 * time.Second,
			MaxIdleConnDuration: time.Minute, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
			DisablePathNormalizing: true, MaxResponseBodySize: 8 << 20,
			Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) }}
	}
	if o.Contact == nil {
		o.Contact = func(bool) {}
	}
	return &Client{
		contact: o.Contact,
		http:    host(callTimeout, o.MaxConns),
		watch:   host(watchBlock+3*time.Second, 4),
		reqs:    rate.NewLimiter(rate.Limit(o.Requests), max(4, int(o.Requests/2))),
		changes: rate.NewLimiter(rate.Limit(o.Writes), max(4, o.Burst)),
	}
}

// Part is the same client with a part of the rates of its own, so that neither
// user of the two waits for the other.
func (c *Client) Part(requests, writes float64) *Client {
	p := *c
	p.reqs = rate.NewLimiter(rate.Limit(requests), max(4, int(requests/2)))
	p.changes = rate.NewLimiter(rate.Limit(writes), max(4, int(writes)))
	return &p
}

const (
	dialTimeout = time.Second
	// callTimeout leaves room for the occasional few hundred milliseconds.
	callTimeout = 1500 * time.Millisecond
	watchBlock  = 5 * time.Second
)

// do sends a request; urgent ones don't wait for the node's part of the rate.
func (c *Client) do(ctx context.Context, h *fasthttp.HostClient, method, uri string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.http.Addr + uri)
	if body != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(body)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := h.DoDeadline(req, resp, deadline); err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	st := resp.StatusCode()
	c.contact(st != fasthttp.StatusServiceUnavailable)
	switch st {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return st, nil, fmt.Errorf("%w: status %d", ErrUnavailable, st)
	default:
		return st, append([]byte(nil), resp.Body()...), nil
	}
}

// take waits for the node's part of a rate, but not for long.
func take(ctx context.Context, l *rate.Limiter, n int) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := l.WaitN(ctx, min(n, l.Burst())); err != nil {
		return fmt.Errorf("%w: rate limit", ErrUnavailable)
	}
	return nil
}

func unexpected(what string, status int) error {
	return fmt.Errorf("%s: unexpected status %d", what, status)
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Item, bool, error) {
	var it Item
	if err := take(ctx, c.reqs, 1); err != nil {
		return it, false, err
	}
	st, b, err := c.do(ctx, c.http, "GET", "/store/"+key, nil, callTimeout)
	switch {
	case err != nil:
		return it, false, err
	case st == 404:
		return it, false, nil
	case st != 200:
		return it, false, unexpected("get "+key, st)
	}
	if err := wire.Unmarshal(b, &it); err != nil {
		return it, false, err
	}
	return it, true, nil
}

// List reads all keys with a prefix, and the revision from which to watch on:
// that of the first page, so that nothing is missed.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var out []Item
	var ledger uint64
	after := ""
	for {
		if err := take(ctx, c.reqs, 1); err != nil {
			return nil, 0, err
		}
		q := "/store?starts=" + url.QueryEscape(prefix) + "&most=500"
		if after != "" {
			q += "&since=" + url.QueryEscape(after)
		}
		st, b, err := c.do(ctx, c.http, "GET", q, nil, 2*callTimeout)
		if err != nil {
			return nil, 0, err
		}
		if st != 200 {
			return nil, 0, unexpected("list "+prefix, st)
		}
		var page wire.StorePage
		if err := wire.Unmarshal(b, &page); err != nil {
			return nil, 0, err
		}
		if after == "" {
			ledger = page.Ledger
		}
		out = append(out, page.Rows...)
		if !page.HasNext || len(page.Rows) == 0 {
			return out, ledger, nil
		}
		after = page.Rows[len(page.Rows)-1].Path
	}
}

// Commit applies changes if all conditions hold, and returns their revision.
func (c *Client) Commit(ctx context.Context, conds []wire.Condition, changes []wire.Change) (uint64, error) {
	if err := take(ctx, c.reqs, 1); err != nil {
		return 0, err
	}
	if len(changes) > 0 {
		if err := take(ctx, c.changes, len(changes)); err != nil {
			return 0, err
		}
	}
	body, err := wire.Marshal(wire.Commit{If: conds, Apply: changes})
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	st, b, err := c.do(ctx, c.http, "POST", "/commit", body, callTimeout)
	if err != nil {
		return 0, err
	}
	var res wire.CommitResult
	if st == 200 || st == 409 {
		if err := wire.Unmarshal(b, &res); err != nil {
			return 0, err
		}
	}
	switch st {
	case 200:
		return res.Ledger, nil
	case 409:
		return 0, &ConflictError{Failed: res.Failed}
	case 400:
		return 0, fmt.Errorf("%w: commit: %.200s", ErrRefused, b)
	}
	return 0, unexpected("commit: "+string(b), st)
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	st, b, err := c.do(ctx, c.http, "POST", "/leases", wire.MustMarshal(wire.LeaseRequest{LifeMS: ttl.Milliseconds()}), callTimeout)
	if err != nil {
		return 0, err
	}
	if st != 200 {
		return 0, unexpected("grant", st)
	}
	var g wire.LeaseGrant
	if err := wire.Unmarshal(b, &g); err != nil {
		return 0, err
	}
	return g.Hold, nil
}

// Touch renews a lease; ErrNotFound says that it is over.
func (c *Client) Touch(ctx context.Context, lease uint64) error {
	st, _, err := c.do(ctx, c.http, "POST", fmt.Sprintf("/leases/%d/touch", lease), nil, touchTimeout)
	switch {
	case err != nil:
		return err
	case st == 404:
		return ErrNotFound
	case st != 200:
		return unexpected("touch", st)
	}
	return nil
}

// touchTimeout is short: a renewal that hangs is better sent again.
const touchTimeout = 800 * time.Millisecond

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	st, _, err := c.do(ctx, c.http, "DELETE", fmt.Sprintf("/leases/%d", lease), nil, callTimeout)
	if err == nil && st != 200 && st != 404 {
		return unexpected("revoke", st)
	}
	return err
}

// Follow waits for changes with a prefix after a revision.
func (c *Client) Follow(ctx context.Context, prefix string, since uint64) (wire.News, error) {
	var n wire.News
	if err := take(ctx, c.reqs, 1); err != nil {
		return n, err
	}
	q := fmt.Sprintf("/follow?starts=%s&since=%d&block_ms=%d", url.QueryEscape(prefix), since, watchBlock.Milliseconds())
	st, b, err := c.do(ctx, c.watch, "GET", q, nil, watchBlock+2*time.Second)
	switch {
	case err != nil:
		return n, err
	case st == 410:
		return n, ErrCompacted
	case st != 200:
		return n, unexpected("follow", st)
	}
	err = wire.Unmarshal(b, &n)
	return n, err
}
