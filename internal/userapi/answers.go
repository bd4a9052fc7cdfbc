package userapi

import (
	"net/http"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/wire"
)

// Paths of the users' interface. A job's own path is RunsPath, a slash and the job's name;
// CancelSuffix follows it in a cancellation.
const (
	RunsPath     = wire.RunsPath
	CancelSuffix = wire.CancelSuffix
)

// Answer is the answer to a call of a user.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Body is the message to encode; nil means that there is no body.
	Body any
	// RetryAfter is how long the user should wait before calling again; 0 means that the answer
	// doesn't say.
	RetryAfter time.Duration
}

// tryAgainPause is how long a user should wait before repeating a call whose outcome is undecided.
const tryAgainPause = time.Second

// acceptedAnswer says that a new job was stored.
func acceptedAnswer(ref string) Answer {
	return Answer{Status: http.StatusCreated, Body: wire.RunStateOf(ref, pipeline.Active, 0, 0)}
}

// JobStateAnswer returns the answer with the state of a job that exists.
func JobStateAnswer(ref string, view core.JobView) Answer {
	return Answer{Status: http.StatusOK, Body: wire.RunStateOf(ref, view.Phase, view.Done, view.Running)}
}

// CancelledAnswer returns the answer to a cancellation, with the phase that the job now has: it is
// cancelled, or was done before.
func CancelledAnswer(ref string, phase pipeline.Phase) Answer {
	return Answer{Status: http.StatusOK, Body: wire.CancelResult{Ref: ref, Status: wire.StatusOf(phase, 0)}}
}

// tryAgainAnswer says that the outcome of a call is undecided: it may or may not have been carried
// out, and may be repeated.
func tryAgainAnswer() Answer {
	return Answer{Status: http.StatusServiceUnavailable, RetryAfter: tryAgainPause}
}

// unknownJobAnswer says that no job with this name was ever accepted.
func unknownJobAnswer() Answer { return Answer{Status: http.StatusNotFound} }

// malformedAnswer says what is wrong with the form of a submission.
func malformedAnswer(err error) Answer {
	return Answer{Status: http.StatusBadRequest, Body: wire.ErrorMessage{Error: err.Error()}}
}

// rejectedAnswer says why a well-formed job will never be accepted as it is.
func rejectedAnswer(err error) Answer {
	return Answer{Status: http.StatusUnprocessableEntity, Body: wire.ErrorMessage{Error: err.Error()}}
}

// overloadedAnswer refuses a job for now, and says when it may be submitted again.
func overloadedAnswer(decision admission.Decision) Answer {
	body := Refusal{Error: "overloaded: " + decision.Reason.String(), RetryAfterS: decision.RetryAfter.Seconds()}
	return Answer{Status: http.StatusTooManyRequests, Body: body, RetryAfter: decision.RetryAfter}
}

// Refusal is the body of the answer to a job that is refused under overload.
type Refusal = wire.OverloadRefusal
