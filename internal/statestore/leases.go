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

// Calls about leases don't wait for the node's part of the rates: a renewal that waits
// loses the lease.

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := c.grant(ctx, ttl)
	if err != nil {
		return 0, &RequestError{"grant lease", "", err}
	}
	return lease, nil
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body := codec.MustMarshal(wire.LeaseRequest{LifeMS: ttl.Milliseconds()})
	status, answer, err := c.do(ctx, call{c.http, fasthttp.MethodPost, "/leases", body, callTimeout})
	if err != nil {
		return 0, err
	}
	if status != fasthttp.StatusOK {
		return 0, unexpected(status, answer)
	}
	var grant wire.LeaseGrant
	err = codec.Unmarshal(answer, &grant)
	return LeaseID(grant.Hold), err
}

// KeepAlive renews a lease for its full length; ErrLeaseExpired says that it is over.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	uri := fmt.Sprintf("/leases/%d/touch", lease)
	status, body, err := c.do(ctx, call{c.http, fasthttp.MethodPost, uri, nil, renewTimeout})
	switch {
	case err != nil:
	case status == fasthttp.StatusNotFound:
		err = ErrLeaseExpired
	case status != fasthttp.StatusOK:
		err = unexpected(status, body)
	}
	return leaseError("keep lease alive", lease, err)
}

// Revoke ends a lease, and deletes the keys attached to it. One that is over already is left
// alone.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	uri := fmt.Sprintf("/leases/%d", lease)
	status, body, err := c.do(ctx, call{c.http, fasthttp.MethodDelete, uri, nil, callTimeout})
	if err == nil && status != fasthttp.StatusOK && status != fasthttp.StatusNotFound {
		err = unexpected(status, body)
	}
	return leaseError("revoke lease", lease, err)
}

// leaseError says which request about a lease failed; nil if none did.
func leaseError(operation string, lease LeaseID, err error) error {
	if err == nil {
		return nil
	}
	return &RequestError{operation, strconv.FormatUint(uint64(lease), 10), err}
}
