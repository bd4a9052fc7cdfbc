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

// Watch waits until keys with a prefix change after a revision, or a few seconds have passed; the
// response then has no events. The error is ErrCompacted if the changes aren't kept any more, so that
// the keys have to be read again.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (WatchResponse, error) {
	news, err := c.watch(ctx, prefix, after)
	if err != nil {
		return WatchResponse{}, &RequestError{"watch", prefix, err}
	}
	return watchResponseOf(news), nil
}

func (c *Client) watch(ctx context.Context, prefix string, after uint64) (news wire.News, err error) {
	if err := waitForRate(ctx, c.requests, 1); err != nil {
		return news, err
	}
	uri := fmt.Sprintf("%s?starts=%s&since=%d&block_ms=%d",
		wire.WatchPath, url.QueryEscape(prefix), after, watchBlock.Milliseconds())
	response, err := c.do(ctx, request{client: c.watches, method: fasthttp.MethodGet, uri: uri, timeout: watchTimeout})
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return news, ErrCompacted // the response to the same watch would be as large again
	case err != nil:
		return news, err
	case response.status == fasthttp.StatusGone:
		return news, ErrCompacted
	case response.status != fasthttp.StatusOK:
		return news, unexpectedStatus(response)
	}
	err = codec.Unmarshal(response.body, &news)
	return news, err
}
