package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Watch waits for changes, after a revision, of keys with a prefix. If there are none within
// watchBlock, the response has no events. The error is ErrCompacted if the changes are no longer kept,
// or are too large for one response; the keys then have to be listed again. Watch returns as soon as the
// context ends.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (WatchResponse, error) {
	response, err := c.watch(ctx, prefix, after)
	if err != nil {
		return WatchResponse{}, &RequestError{"watch", prefix, err}
	}
	return watchResponseOf(response), nil
}

func (c *Client) watch(ctx context.Context, prefix string, after uint64) (changes wire.News, err error) {
	if err := waitForRate(ctx, c.requests, 1); err != nil {
		return changes, err
	}
	uri := fmt.Sprintf("%s?starts=%s&since=%d&block_ms=%d",
		wire.WatchPath, url.QueryEscape(prefix), after, watchBlock.Milliseconds())
	var response response
	err = c.watches.use(ctx, func(client *fasthttp.HostClient) (err error) {
		response, err = c.do(ctx, request{client: client, method: fasthttp.MethodGet, uri: uri, timeout: watchTimeout})
		return err
	})
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return changes, ErrCompacted // a retry would get a response that is too large again
	case err != nil:
		return changes, err
	case response.status == fasthttp.StatusGone:
		return changes, ErrCompacted
	case response.status != fasthttp.StatusOK:
		return changes, unexpectedStatus(response)
	}
	err = codec.Unmarshal(response.body, &changes)
	return changes, err
}
