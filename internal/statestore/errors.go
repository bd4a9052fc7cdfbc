package statestore

import (
	"errors"
	"fmt"
)

// Causes of errors, which callers tell apart with errors.Is. Every error of a Client is a
// *RequestError that wraps one of these, a *ConflictError, an *UnexpectedStatusError or
// codec.ErrMalformed.
var (
	// ErrUnavailable says that the request was not executed: the state service can't serve it now,
	// or a rate is used up. It may be sent again later.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome says that the request may have been executed, or may yet be: there was no
	// response, or none that can be understood.
	ErrUnknownOutcome = errors.New("unknown outcome")
	// ErrLeaseExpired says that a lease has ended.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrRejected says that the request was not executed and never can be, for example because it
	// is larger than the state service takes.
	ErrRejected = errors.New("rejected")
	// ErrCompacted says that the changes from which a watch starts aren't kept any more.
	ErrCompacted = errors.New("compacted")
)

// NotExecuted returns whether an error says that a transaction was not executed.
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

// ConflictError says that a transaction was not executed since some of its conditions failed.
type ConflictError struct {
	Keys []string // of the conditions that failed
}

func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Keys) }

// UnexpectedStatusError says that a response has a status that the protocol doesn't have.
type UnexpectedStatusError struct {
	Status int
	Body   []byte // the beginning of it
}

func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("unexpected status %d: %s", e.Status, e.Body)
}

// unexpectedStatus returns the error for a response with an unexpected status.
func unexpectedStatus(r response) error {
	return &UnexpectedStatusError{Status: r.status, Body: r.body[:min(len(r.body), maxShownBytes)]}
}
