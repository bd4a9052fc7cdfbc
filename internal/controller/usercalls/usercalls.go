// Package usercalls serves users' calls at a controller: by itself, or, where it can't, by forwarding them
// to another one, always within the time that the user waits.
//
// It owns nothing but the pause after forwarding in vain. All methods may be called from any goroutine.
package usercalls

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/health"
	"gingertally/internal/peer"
	"gingertally/internal/userapi"
)

// How long a call is worked on in all: a user waits 5 s for a submission and 2 s
// for a poll. Of that, localAttemptFraction of it is this controller's own try, or, while the state
// service doesn't serve it, no more than localTimeoutInOutage.
const (
	submitTimeout        = 4 * time.Second
	pollTimeout          = 1700 * time.Millisecond
	localAttemptFraction = 0.5
	localTimeoutInOutage = 300 * time.Millisecond
)

// StoreFresh is how recently the state service must have served this controller for it to be worth
// waiting for.
const StoreFresh = 2 * time.Second

const contentTypeCBOR = "application/cbor"

// Service serves users' calls.
type Service struct {
	Users     *userapi.Service
	Health    *health.Tracker
	Forwarder *Forwarder
	// PeersFirst lists the other controllers, the leader before the rest.
	PeersFirst func() []string
}

// Handle serves a user's call here, or has another controller serve it.
func (s *Service) Handle(ctx context.Context, request *fasthttp.RequestCtx, method, path string) {
	limit := submitTimeout
	if method == fasthttp.MethodGet {
		limit = pollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	localTimeout := time.Duration(float64(limit) * localAttemptFraction)
	fresh := s.Health.StoreFresh(time.Now(), StoreFresh)
	if !fresh {
		localTimeout = localTimeoutInOutage
	}
	body := request.PostBody()
	answer := s.serveWithin(ctx, localTimeout, method, path, body)
	if answer.Status != fasthttp.StatusServiceUnavailable {
		writeAnswer(request, answer)
		return
	}
	call := peer.Request{Method: method, Path: path, Body: body}
	if forwarded, ok := s.Forwarder.forward(ctx, s.PeersFirst(), call); ok {
		writeForwarded(request, forwarded)
		return
	}
	if !fresh {
		request.SetConnectionClose() // the next try may reach a controller that is better off
	}
	writeAnswer(request, answer)
}

// Forwarded serves a call that another controller has forwarded. It never goes further.
func (s *Service) Forwarded(ctx context.Context, request peer.Request) peer.Response {
	answer := s.serveWithin(ctx, submitTimeout, request.Method, request.Path, request.Body)
	if answer.Body == nil {
		return peer.Response{Status: answer.Status}
	}
	return peer.Response{Status: answer.Status, Body: codec.MustMarshal(answer.Body)}
}

// serveWithin serves a user's call at this controller within a time.
func (s *Service) serveWithin(
	ctx context.Context, limit time.Duration, method, path string, body []byte,
) userapi.Answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.serve(ctx, method, path, body)
}

// serve serves a user's call at this controller.
func (s *Service) serve(ctx context.Context, method, path string, body []byte) userapi.Answer {
	rest := strings.TrimPrefix(path, userapi.RunsPath)
	job, hasRef := strings.CutPrefix(rest, "/")
	switch {
	case method == fasthttp.MethodPost && rest == "":
		return s.Users.Submit(ctx, body)
	case method == fasthttp.MethodGet && hasRef:
		return s.Users.Get(ctx, job)
	case method == fasthttp.MethodPost && hasRef && strings.HasSuffix(rest, userapi.CancelSuffix):
		return s.Users.Cancel(ctx, strings.TrimSuffix(job, userapi.CancelSuffix))
	}
	return userapi.Answer{Status: fasthttp.StatusNotFound}
}

// writeAnswer puts this controller's answer to a user's call on the wire.
func writeAnswer(request *fasthttp.RequestCtx, answer userapi.Answer) {
	request.SetStatusCode(answer.Status)
	setRetryAfter(request, answer.RetryAfter)
	if answer.Body != nil {
		request.SetContentType(contentTypeCBOR)
		request.SetBody(codec.MustMarshal(answer.Body))
	}
}

// writeForwarded puts another controller's answer to a user's call on the wire.
func writeForwarded(request *fasthttp.RequestCtx, answer peer.Response) {
	request.SetStatusCode(answer.Status)
	request.SetContentType(contentTypeCBOR)
	request.SetBody(answer.Body)
	setRetryAfter(request, forwardedRetryAfter(answer))
}

// setRetryAfter tells a user when to come back, in whole seconds.
func setRetryAfter(request *fasthttp.RequestCtx, wait time.Duration) {
	if wait > 0 {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
}

// forwardedRetryAfter is the wait that another controller's refusal asks for: between controllers an
// answer has no header.
func forwardedRetryAfter(answer peer.Response) time.Duration {
	var refusal userapi.Refusal
	if answer.Status != fasthttp.StatusTooManyRequests || codec.Unmarshal(answer.Body, &refusal) != nil {
		return 0
	}
	return time.Duration(refusal.RetryAfterS * float64(time.Second))
}
