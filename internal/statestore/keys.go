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

// Get reads a key; false if it doesn't exist.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, bool, error) {
	if err := take(ctx, c.requests, 1); err != nil {
		return KeyValue{}, false, &RequestError{"get", key, err}
	}
	item, found, err := c.getItem(ctx, key)
	if err != nil {
		return KeyValue{}, false, &RequestError{"get", key, err}
	}
	return keyValueOf(item), found, nil
}

func (c *Client) getItem(ctx context.Context, key string) (item wire.StoreItem, found bool, err error) {
	status, body, err := c.do(ctx, call{c.http, fasthttp.MethodGet, "/store/" + key, nil, callTimeout})
	switch {
	case err != nil:
		return item, false, err
	case status == fasthttp.StatusNotFound:
		return item, false, nil
	case status != fasthttp.StatusOK:
		return item, false, unexpected(status, body)
	}
	err = codec.Unmarshal(body, &item)
	return item, true, err
}

// Serves tells whether the state service serves this node at present, at the cost of a read.
// It doesn't wait for the node's part of the rates, and an answer that a rate is used up
// counts as service: either would make a busy node take itself for one in an outage.
func (c *Client) Serves(ctx context.Context, key string) bool {
	status, _, err := c.do(ctx, call{c.http, fasthttp.MethodGet, "/store/" + key, nil, callTimeout})
	return err == nil || status == fasthttp.StatusTooManyRequests
}

// List reads all keys with a prefix, in order, and the revision from which to watch on:
// that of the first page, so that nothing is missed.
func (c *Client) List(ctx context.Context, prefix string) ([]KeyValue, uint64, error) {
	var keyValues []KeyValue
	var revision uint64
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

// listPage reads one page of a list, from the first key after one; empty: from the start.
func (c *Client) listPage(ctx context.Context, prefix, after string) (page wire.StorePage, err error) {
	if err := take(ctx, c.requests, 1); err != nil {
		return page, err
	}
	query := fmt.Sprintf("/store?starts=%s&most=%d", url.QueryEscape(prefix), pageSize)
	if after != "" {
		query += "&since=" + url.QueryEscape(after)
	}
	status, body, err := c.do(ctx, call{c.http, fasthttp.MethodGet, query, nil, listTimeout})
	if err != nil {
		return page, err
	}
	if status != fasthttp.StatusOK {
		return page, unexpected(status, body)
	}
	err = codec.Unmarshal(body, &page)
	return page, err
}

// Commit applies all changes of a transaction if all conditions hold, and returns their
// revision; else a *ConflictError names the keys that differ.
func (c *Client) Commit(ctx context.Context, compares []Compare, ops []Op) (uint64, error) {
	revision, err := c.commit(ctx, compares, ops)
	if err != nil {
		key := ""
		if len(ops) > 0 {
			key = ops[0].Key
		}
		return 0, &RequestError{"commit", key, err}
	}
	return revision, nil
}

func (c *Client) commit(ctx context.Context, compares []Compare, ops []Op) (uint64, error) {
	if err := take(ctx, c.requests, 1); err != nil {
		return 0, err
	}
	if len(ops) > 0 {
		if err := take(ctx, c.writes, len(ops)); err != nil {
			return 0, err
		}
	}
	body, err := codec.Marshal(commitMessage(compares, ops))
	if err != nil {
		return 0, err
	}
	status, answer, err := c.do(ctx, call{c.http, fasthttp.MethodPost, "/commit", body, callTimeout})
	if err != nil {
		return 0, err
	}
	return commitResult(status, answer)
}

// commitResult reads the answer to a transaction.
func commitResult(status int, answer []byte) (uint64, error) {
	var result wire.CommitResult
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusConflict:
		if err := codec.Unmarshal(answer, &result); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
	case fasthttp.StatusBadRequest:
		return 0, fmt.Errorf("%w: %.*s", ErrRejected, shownBytes, answer)
	default:
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, unexpected(status, answer))
	}
	if status == fasthttp.StatusConflict {
		return 0, &ConflictError{Keys: result.Failed}
	}
	return result.Ledger, nil
}

// Watch waits for changes of keys with a prefix after a revision, or until a few seconds have
// passed. ErrCompacted says that they have to be read anew.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (WatchResponse, error) {
	news, err := c.watch(ctx, prefix, after)
	if err != nil {
		return WatchResponse{}, &RequestError{"watch", prefix, err}
	}
	return watchResponseOf(news), nil
}

func (c *Client) watch(ctx context.Context, prefix string, after uint64) (news wire.News, err error) {
	if err := take(ctx, c.requests, 1); err != nil {
		return news, err
	}
	query := fmt.Sprintf("/follow?starts=%s&since=%d&block_ms=%d", url.QueryEscape(prefix), after, watchBlock.Milliseconds())
	status, body, err := c.do(ctx, call{c.watches, fasthttp.MethodGet, query, nil, watchTimeout})
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return news, ErrCompacted // asked for again, it would be as large
	case err != nil:
		return news, err
	case status == fasthttp.StatusGone:
		return news, ErrCompacted
	case status != fasthttp.StatusOK:
		return news, unexpected(status, body)
	}
	err = codec.Unmarshal(body, &news)
	return news, err
}
