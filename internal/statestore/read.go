package statestore

import (
	"context"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Get reads a key. Found is false if the key doesn't exist.
func (c *Client) Get(ctx context.Context, key string) (keyValue KeyValue, found bool, err error) {
	item, found, err := c.get(ctx, key)
	if err != nil {
		return KeyValue{}, false, &RequestError{"get", key, err}
	}
	return keyValueOf(item), found, nil
}

func (c *Client) get(ctx context.Context, key string) (item wire.StoreItem, found bool, err error) {
	if err := waitForRate(ctx, c.requests, 1); err != nil {
		return item, false, err
	}
	response, err := c.do(ctx, c.getRequest(key))
	switch {
	case err != nil:
		return item, false, err
	case response.status == fasthttp.StatusNotFound:
		return item, false, nil
	case response.status != fasthttp.StatusOK:
		return item, false, unexpectedStatus(response)
	}
	err = codec.Unmarshal(response.body, &item)
	return item, true, err
}

func (c *Client) getRequest(key string) request {
	return request{client: c.http, method: fasthttp.MethodGet, uri: wire.StorePath + "/" + key, timeout: callTimeout}
}

// IsServing reads a key to find out whether the state service serves this controller at present. It
// doesn't wait for the rate limits, and a response that a rate limit is reached counts as service:
// otherwise a busy controller would conclude that there is an outage.
func (c *Client) IsServing(ctx context.Context, key string) bool {
	response, err := c.do(ctx, c.getRequest(key))
	return err == nil || response.status == fasthttp.StatusTooManyRequests
}

// List reads all keys with a prefix, in the order of the keys. A watch that starts after the
// returned revision misses no change: it is the revision of the first page. Changes that are made
// while further pages are read may be seen both in the list and by the watch.
func (c *Client) List(ctx context.Context, prefix string) (keyValues []KeyValue, revision uint64, err error) {
	after := ""
	for {
		page, err := c.listPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, &RequestError{"list", prefix, err}
		}
		if after == "" {
			revision = page.Ledger
		}
		for _, item := range page.Rows {
			keyValues = append(keyValues, keyValueOf(item))
		}
		if !page.HasNext || len(page.Rows) == 0 {
			return keyValues, revision, nil
		}
		after = page.Rows[len(page.Rows)-1].Path
	}
}

// listPage reads one page of keys with a prefix: those that follow the key after, or the first ones
// if after is empty.
func (c *Client) listPage(ctx context.Context, prefix, after string) (page wire.StorePage, err error) {
	if err := waitForRate(ctx, c.requests, 1); err != nil {
		return page, err
	}
	uri := fmt.Sprintf("%s?starts=%s&most=%d", wire.StorePath, url.QueryEscape(prefix), pageSize)
	if after != "" {
		uri += "&since=" + url.QueryEscape(after)
	}
	response, err := c.do(ctx, request{client: c.http, method: fasthttp.MethodGet, uri: uri, timeout: listTimeout})
	if err != nil {
		return page, err
	}
	if response.status != fasthttp.StatusOK {
		return page, unexpectedStatus(response)
	}
	err = codec.Unmarshal(response.body, &page)
	return page, err
}
