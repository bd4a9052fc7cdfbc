package cloud

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Causes of a RequestError that callers tell apart.
var (
	// ErrNoCapacity says that the cloud has no such machines at the moment. Nothing was created.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable says that the request was certainly not executed.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome says that the request may have been executed, or may yet be.
	ErrUnknownOutcome = errors.New("unknown outcome")
)

// RequestError says which operation failed, and why. Err is one of the causes above, an
// *UnexpectedStatusError, or an error of codec for an answer that couldn't be read.
type RequestError struct {
	Operation string
	Err       error
}

func (e *RequestError) Error() string { return fmt.Sprintf("cloud: %s: %v", e.Operation, e.Err) }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// UnexpectedStatusError is an answer with a status that the protocol doesn't have.
type UnexpectedStatusError struct{ Status int }

func (e *UnexpectedStatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// statusError is the cause that an answer's status stands for; nil if the request was executed.
func statusError(response *fasthttp.Response) error {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusTooManyRequests:
		return fmt.Errorf("%w: too many requests", ErrUnavailable)
	case fasthttp.StatusServiceUnavailable:
		var refusal wire.ErrorMessage
		if codec.Unmarshal(response.Body(), &refusal) == nil && refusal.Error == wire.ErrorNoCapacity {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return &UnexpectedStatusError{status}
	}
}
