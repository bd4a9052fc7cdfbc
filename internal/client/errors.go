package client

import (
	"errors"
	"fmt"
	"time"
)

// Causes of a CallError that callers distinguish, to be tested for with errors.Is.
var (
	// ErrRefused says that the controllers will never accept the job or the plan as it is.
	ErrRefused = errors.New("refused")
	// ErrNotFound says that no such job was accepted, that there is no such plan or change of a plan,
	// or that drains are off.
	ErrNotFound = errors.New("not found")
	// ErrConflict says that a plan can't be changed this way, or that its ID is taken.
	ErrConflict = errors.New("conflict")
	// ErrGaveUp says that there was no usable response: to a user's call within its budget, or to the
	// only try of an operator's call. The call may have been carried out.
	ErrGaveUp = errors.New("gave up")
)

// CallError says which call to which controller failed and why.
type CallError struct {
	// Operation is what was requested, such as "cancel job j-000412".
	Operation string
	// Addr is the address that was called.
	Addr string
	// Err is the cause. It wraps one of the errors above, or is the context's error or that of a
	// response that can't be decoded.
	Err error
}

func (e *CallError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Operation, e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// noAnswerError says that there was no response to a try.
type noAnswerError struct{ err error }

func (e *noAnswerError) Error() string { return fmt.Sprintf("no answer: %v", e.err) }

func (e *noAnswerError) Unwrap() error { return e.err }

// retryableError says that a response doesn't settle a user's call, which then has to be retried.
type retryableError struct {
	status     int
	retryAfter time.Duration // how long to wait before the next try
}

func (e *retryableError) Error() string { return fmt.Sprintf("status %d", e.status) }
