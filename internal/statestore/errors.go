package statestore

import (
	"errors"
	"fmt"
)

// Errors of the state service. Every error of a Client is a *RequestError around one of these, a
// *ConflictError, an *UnexpectedStatusError or an error of the codec.
var (
	// ErrUnavailable says that the request was certainly not executed.
	ErrUnavailable = errors.New("unavailable")
	// ErrUnknownOutcome says that the request may have been executed, or may yet be: there was no
	// answer, or none that can be read.
	ErrUnknownOutcome = errors.New("unknown outcome")
	// ErrLeaseExpired says that a lease is over.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrRejected says that the request can never be executed as it stands: it is larger than
	// the state service takes, say.
	ErrRejected = errors.New("rejected")
	// ErrCompacted says that a watch starts too far back: the keys have to be read again.
	ErrCompacted = errors.New("compacted")
)

// NotExecuted tells whether an error says that a transaction was certainly not executed.
func NotExecuted(err error) bool {
	var conflict *ConflictError
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRejected) || errors.As(err, &conflict)
}

// RequestError says which request failed, and why.
type RequestError struct {
	Operation string // get, list, commit, …
	Key       string // key or prefix, or the lease; empty if there is no one key
	Err       error
}

func (e *RequestError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("state service: %s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("state service: %s %s: %v", e.Operation, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// ConflictError names the keys whose conditions failed.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.Keys) }

// UnexpectedStatusError is an answer with a status that the protocol doesn't have.
type UnexpectedStatusError struct {
	Status int
	Body   []byte // the beginning of it
}

func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("unexpected status %d: %s", e.Status, e.Body)
}

// unexpected is an answer with a status that the protocol doesn't have.
func unexpected(status int, body []byte) error {
	return &UnexpectedStatusError{Status: status, Body: body[:min(len(body), shownBytes)]}
}
