package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"

	"gingertally/internal/wire"
)

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Item, bool, error) {
	var item Item
	if err := take(ctx, c.requests, 1); err != nil {
		return item, false, err
	}
	status, body, err := c.do(ctx, call{c.http, fasthttp.MethodGet, "/store/" + key, nil, callTimeout})
	switch {
	case err != nil:
		return item, false, err
	case status == fasthttp.StatusNotFound:
		return item, false, nil
	case status != fasthttp.StatusOK:
		return item, false, unexpected("get "+key, status)
	}
	if err := wire.Unmarshal(body, &item); err != nil {
		return item, false, err
	}
	return item, true, nil
}

// Serves tells whether the state service serves this node at present, at the cost of a read.
// It doesn't wait for the node's part of the rates, and an answer that a rate is used up
// counts as service: either would make a busy node take itself for one in an outage.
func (c *Client) Serves(ctx context.Context, key string) bool {
	status, _, err := c.do(ctx, call{c.http, fasthttp.MethodGet, "/store/" + key, nil, callTimeout})
	return err == nil || status == fasthttp.StatusTooManyRequests
}

// List reads all keys with a prefix, and the revision from which to watch on:
// that of the first page, so that nothing is missed.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var items []Item
	var revision uint64
	after := ""
	for {
		page, err := c.listPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Ledger
		}
		items = append(items, page.Rows...)
		if !page.HasNext || len(page.Rows) == 0 {
			return items, revision, nil
		}
		after = page.Rows[len(page.Rows)-1].Path
	}
}

// listPage reads one page of a list, from the first key after one; empty: from the start.
func (c *Client) listPage(ctx context.Context, prefix, after string) (wire.StorePage, error) {
	var page wire.StorePage
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
		return page, unexpected("list "+prefix, status)
	}
	err = wire.Unmarshal(body, &page)
	return page, err
}

// Commit applies changes if all conditions hold, and returns their revision.
func (c *Client) Commit(ctx context.Context, conditions []wire.Condition, changes []wire.Change) (uint64, error) {
	if err := take(ctx, c.requests, 1); err != nil {
		return 0, err
	}
	if len(changes) > 0 {
		if err := take(ctx, c.writes, len(changes)); err != nil {
			return 0, err
		}
	}
	body, err := wire.Marshal(wire.Commit{If: conditions, Apply: changes})
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
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
		if err := wire.Unmarshal(answer, &result); err != nil {
			return 0, err
		}
	case fasthttp.StatusBadRequest:
		return 0, fmt.Errorf("%w: commit: %.*s", ErrRefused, shownBytes, answer)
	default:
		return 0, unexpected("commit: "+string(answer), status)
	}
	if status == fasthttp.StatusConflict {
		return 0, &ConflictError{Failed: result.Failed}
	}
	return result.Ledger, nil
}

// Follow waits for changes with a prefix after a revision.
func (c *Client) Follow(ctx context.Context, prefix string, since uint64) (wire.News, error) {
	var news wire.News
	if err := take(ctx, c.requests, 1); err != nil {
		return news, err
	}
	query := fmt.Sprintf("/follow?starts=%s&since=%d&block_ms=%d", url.QueryEscape(prefix), since, watchBlock.Milliseconds())
	status, body, err := c.do(ctx, call{c.watches, fasthttp.MethodGet, query, nil, watchTimeout})
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return news, ErrCompacted // asked for again, it would be as large
	case err != nil:
		return news, err
	case status == fasthttp.StatusGone:
		return news, ErrCompacted
	case status != fasthttp.StatusOK:
		return news, unexpected("follow", status)
	}
	err = wire.Unmarshal(body, &news)
	return news, err
}
