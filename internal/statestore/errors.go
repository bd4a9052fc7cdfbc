package statestore

import (
	"errors"
	"fmt"
)

// Causes of errors, to be tested for with errors.Is. Every error of a Client is a *RequestError that
// wraps one of these, a *ConflictError, an *UnexpectedStatusError, codec.ErrMalformed or, if a
// transaction can't be encoded, the encoder's error.
var (
	// ErrUnavailable says that the request was not executed, since the state service can't serve it
	// now or a rate limit is reached. It may be sent again later.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome says that the request may have been executed, or may still be: there was no
	// response, or none that can be interpreted.
	ErrUnknownOutcome = errors.New("unknown outcome")
	// ErrLeaseExpired says that a lease has ended.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrRejected says that the request was not executed and never can be, for example because it
	// is larger than the state service accepts.
	ErrRejected = errors.New("rejected")
	// ErrCompacted says that the changes that a watch asks for can't be read: the state service no
	// longer keeps them, or they are too large for one response.
	ErrCompacted = errors.New("compacted")
)

// NotExecuted returns whether an error means that a request was certainly not executed.
func NotExecuted(err error) bool {
	var conflict *ConflictError
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRejected) || errors.As(err, &conflict)
}

// RequestError says which request failed and why.
type RequestError struct {
	Operation string // get, list, commit, …
	Key       string // the key, prefix or lease, or one key of a transaction; empty if there is none
	Err       error  // the cause
}

func (e *RequestError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("state service: %s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("state service: %s %s: %v", e.Operation, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// ConflictError says that a transaction was not executed because some of its conditions failed.
type ConflictError struct {
	Keys []string // the keys whose conditions failed
}

func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Keys) }

// UnexpectedStatusError says that a response has a status that the protocol doesn't define for the
// request.
type UnexpectedStatusError struct {
	Status int
	Body   []byte // the first bytes of the response's body
}

func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("unexpected status %d: %s", e.Status, e.Body)
}

// unexpectedStatus returns the error for a response with an unexpected status.
func unexpectedStatus(r response) error {
	return &UnexpectedStatusError{Status: r.status, Body: r.body[:min(len(r.body), maxErrorBodyBytes)]}
}
