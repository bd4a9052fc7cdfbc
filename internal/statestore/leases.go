package statestore

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/wire"
)

// Calls about leases don't wait for the node's part of the rates: a renewal that waits
// loses the lease.

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	body := wire.MustMarshal(wire.LeaseRequest{LifeMS: ttl.Milliseconds()})
	status, answer, err := c.do(ctx, call{c.http, fasthttp.MethodPost, "/leases", body, callTimeout})
	if err != nil {
		return 0, err
	}
	if status != fasthttp.StatusOK {
		return 0, unexpected("grant", status)
	}
	var grant wire.LeaseGrant
	if err := wire.Unmarshal(answer, &grant); err != nil {
		return 0, err
	}
	return grant.Hold, nil
}

// Touch renews a lease; ErrNotFound says that it is over.
func (c *Client) Touch(ctx context.Context, lease uint64) error {
	uri := fmt.Sprintf("/leases/%d/touch", lease)
	status, _, err := c.do(ctx, call{c.http, fasthttp.MethodPost, uri, nil, renewTimeout})
	switch {
	case err != nil:
		return err
	case status == fasthttp.StatusNotFound:
		return ErrNotFound
	case status != fasthttp.StatusOK:
		return unexpected("touch", status)
	}
	return nil
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	uri := fmt.Sprintf("/leases/%d", lease)
	status, _, err := c.do(ctx, call{c.http, fasthttp.MethodDelete, uri, nil, callTimeout})
	if err == nil && status != fasthttp.StatusOK && status != fasthttp.StatusNotFound {
		return unexpected("revoke", status)
	}
	return err
}
