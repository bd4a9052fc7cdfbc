package client

import (
	"errors"
	"fmt"
	"time"
)

// Causes of a CallError that callers tell apart.
var (
	// ErrRefused says that the controllers will never accept the job or the plan as it is.
	ErrRefused = errors.New("refused")
	// ErrNotFound says that no such job was accepted, or that there is no such plan.
	ErrNotFound = errors.New("not found")
	// ErrConflict says that a plan can't be changed like this, or that its name is taken.
	ErrConflict = errors.New("conflict")
	// ErrGaveUp says that no usable answer came in time.
	ErrGaveUp = errors.New("gave up")
)

// CallError says which call of which controller failed, and why.
type CallError struct {
	// Operation is what was asked, such as "cancel job j-000412".
	Operation string
	// Addr is whom it was asked of.
	Addr string
	// Err is the cause: one of those above, the context's error, or an error of the answer's form.
	Err error
}

func (e *CallError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Operation, e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// noAnswerError says that a try got no answer.
type noAnswerError struct{ err error }

func (e *noAnswerError) Error() string { return fmt.Sprintf("no answer: %v", e.err) }

func (e *noAnswerError) Unwrap() error { return e.err }

// undecidedError is an answer that leaves a user's call undecided.
type undecidedError struct {
	status     int
	retryAfter time.Duration // when to try again
}

func (e *undecidedError) Error() string { return fmt.Sprintf("status %d", e.status) }
