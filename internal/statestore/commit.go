package statestore

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Commit executes all changes of a transaction if all its conditions hold, and returns their
// revision. Otherwise it changes nothing, and the error is a *ConflictError with the keys whose
// conditions failed. After any other error, NotExecuted and ErrUnknownOutcome tell whether the
// changes may have been made.
func (c *Client) Commit(ctx context.Context, compares []Compare, ops []Op) (uint64, error) {
	revision, err := c.commit(ctx, compares, ops)
	if err != nil {
		return 0, &RequestError{"commit", firstKey(compares, ops), err}
	}
	return revision, nil
}

// firstKey returns the key that identifies a transaction in errors; it is empty if there is none.
func firstKey(compares []Compare, ops []Op) string {
	switch {
	case len(ops) > 0:
		return ops[0].Key
	case len(compares) > 0:
		return compares[0].Key
	}
	return ""
}

func (c *Client) commit(ctx context.Context, compares []Compare, ops []Op) (uint64, error) {
	if err := waitForRate(ctx, c.requests, 1); err != nil {
		return 0, err
	}
	if len(ops) > 0 {
		if err := waitForRate(ctx, c.writes, len(ops)); err != nil {
			return 0, err
		}
	}
	body, err := codec.Marshal(commitMessage(compares, ops))
	if err != nil {
		return 0, fmt.Errorf("encode transaction: %w", err)
	}
	response, err := c.do(ctx, request{
		client: c.http, method: fasthttp.MethodPost, uri: wire.CommitPath, body: body, timeout: callTimeout,
	})
	if err != nil {
		return 0, err
	}
	return commitResult(response)
}

// commitResult returns the revision of a transaction, or the error that the response stands for.
// After a response that can't be decoded or has an unexpected status, the outcome is unknown.
func commitResult(r response) (uint64, error) {
	var result wire.CommitResult
	switch r.status {
	case fasthttp.StatusOK, fasthttp.StatusConflict:
		if err := codec.Unmarshal(r.body, &result); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
	case fasthttp.StatusBadRequest:
		return 0, fmt.Errorf("%w: %.*s", ErrRejected, maxErrorBodyBytes, r.body)
	default:
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, unexpectedStatus(r))
	}
	if r.status == fasthttp.StatusConflict {
		return 0, &ConflictError{Keys: result.Failed}
	}
	return result.Ledger, nil
}
