package cloud

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/wire"
)

// Causes of a RequestError that callers distinguish, to be tested for with errors.Is.
var (
	// ErrNoCapacity says that the cloud has no machines of the requested type, zone and kind at
	// the moment. Nothing was created.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable says that the request was certainly not executed: it wasn't sent, or the cloud
	// couldn't serve it.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome says that the request may have been executed, or may still be: there was no
	// response.
	ErrUnknownOutcome = errors.New("unknown outcome")
)

// RequestError says which operation failed and why. Err wraps one of the causes above or, for a
// response that can't be decoded, codec.ErrMalformed, or it is an *UnexpectedStatusError.
type RequestError struct {
	Operation string
	Err       error
}

func (e *RequestError) Error() string { return fmt.Sprintf("cloud: %s: %v", e.Operation, e.Err) }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// UnexpectedStatusError says that a response has a status that the protocol doesn't define.
type UnexpectedStatusError struct{ Status int }

func (e *UnexpectedStatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// statusError returns the cause for a response's status; nil if the request was executed.
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
