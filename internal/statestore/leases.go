package statestore

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Requests about leases aren't subject to this controller's rate limits: a lease could expire while
// its keep-alive waits.

// Grant creates a lease, which expires after ttl unless it is kept alive.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := c.grant(ctx, ttl)
	if err != nil {
		return 0, &RequestError{"grant lease", "", err}
	}
	return lease, nil
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body := codec.MustMarshal(wire.LeaseRequest{LifeMS: ttl.Milliseconds()})
	response, err := c.do(ctx, request{
		client: c.http, method: fasthttp.MethodPost, uri: wire.LeasesPath, body: body, timeout: callTimeout,
	})
	if err != nil {
		return 0, err
	}
	if response.status != fasthttp.StatusOK {
		return 0, unexpectedStatus(response)
	}
	var grant wire.LeaseGrant
	err = codec.Unmarshal(response.body, &grant)
	return LeaseID(grant.Hold), err
}

// KeepAlive renews a lease for its full TTL. The error is ErrLeaseExpired if the lease has ended.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	uri := leasePath(lease) + wire.KeepAliveSuffix
	response, err := c.do(ctx, request{client: c.http, method: fasthttp.MethodPost, uri: uri, timeout: keepAliveTimeout})
	switch {
	case err != nil:
	case response.status == fasthttp.StatusNotFound:
		err = ErrLeaseExpired
	case response.status != fasthttp.StatusOK:
		err = unexpectedStatus(response)
	}
	return leaseError("keep lease alive", lease, err)
}

// leasePath returns the path of a lease.
func leasePath(lease LeaseID) string { return fmt.Sprintf("%s/%d", wire.LeasesPath, lease) }

// Revoke ends a lease, which deletes the keys attached to it. It is not an error if the lease has
// already ended.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	uri := leasePath(lease)
	response, err := c.do(ctx, request{client: c.http, method: fasthttp.MethodDelete, uri: uri, timeout: callTimeout})
	if err == nil && response.status != fasthttp.StatusOK && response.status != fasthttp.StatusNotFound {
		err = unexpectedStatus(response)
	}
	return leaseError("revoke lease", lease, err)
}

// leaseError wraps the error of a request about a lease. It returns nil if err is nil.
func leaseError(operation string, lease LeaseID, err error) error {
	if err == nil {
		return nil
	}
	return &RequestError{operation, strconv.FormatUint(uint64(lease), 10), err}
}
