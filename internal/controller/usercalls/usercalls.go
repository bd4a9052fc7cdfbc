// Package usercalls serves users' calls at a controller. A call that the controller can't serve itself
// is forwarded to others, within the time that the user waits.
//
// Its only state is the pause after a call that no controller could serve. All methods may be called
// from any goroutine.
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

// submitTimeout and pollTimeout bound the handling of a call, forwarding included: a user waits 5 s
// for a submission and 2 s for a poll. The attempt to serve the call here gets localAttemptFraction
// of that, or only localTimeoutInOutage while the state service doesn't serve this controller.
const (
	submitTimeout        = 4 * time.Second
	pollTimeout          = 1700 * time.Millisecond
	localAttemptFraction = 0.5
	localTimeoutInOutage = 300 * time.Millisecond
)

// StoreFreshWithin is how recently the state service must have served this controller for it to count as
// available, so that calls wait for it.
const StoreFreshWithin = 2 * time.Second

const contentTypeCBOR = "application/cbor"

// Service serves users' calls.
type Service struct {
	Users     *userapi.Service
	Health    *health.Tracker
	Forwarder *Forwarder
	// PeersLeaderFirst returns the names of the other controllers, the leader's first.
	PeersLeaderFirst func() []string
}

// Handle serves a user's call here, or forwards it if this controller can't serve it (503).
func (s *Service) Handle(ctx context.Context, request *fasthttp.RequestCtx, method, path string) {
	limit := submitTimeout
	if method == fasthttp.MethodGet {
		limit = pollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	localTimeout := time.Duration(float64(limit) * localAttemptFraction)
	fresh := s.Health.StoreServedWithin(time.Now(), StoreFreshWithin)
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
	if forwarded, ok := s.Forwarder.forward(ctx, s.PeersLeaderFirst(), call); ok {
		writeForwarded(request, forwarded)
		return
	}
	if !fresh {
		request.SetConnectionClose() // the user's next attempt may reach a controller that can serve it
	}
	writeAnswer(request, answer)
}

// HandleForwarded serves a call that another controller forwarded. It never forwards it again.
func (s *Service) HandleForwarded(ctx context.Context, request peer.Request) peer.Response {
	answer := s.serveWithin(ctx, submitTimeout, request.Method, request.Path, request.Body)
	if answer.Body == nil {
		return peer.Response{Status: answer.Status}
	}
	return peer.Response{Status: answer.Status, Body: codec.MustMarshal(answer.Body)}
}

// serveWithin is serve with a time limit.
func (s *Service) serveWithin(
	ctx context.Context, limit time.Duration, method, path string, body []byte,
) userapi.Answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.serve(ctx, method, path, body)
}

// serve serves a user's call at this controller; an unknown path or method gets status 404.
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

// writeAnswer writes this controller's answer to the response.
func writeAnswer(request *fasthttp.RequestCtx, answer userapi.Answer) {
	request.SetStatusCode(answer.Status)
	setRetryAfter(request, answer.RetryAfter)
	if answer.Body != nil {
		request.SetContentType(contentTypeCBOR)
		request.SetBody(codec.MustMarshal(answer.Body))
	}
}

// writeForwarded writes another controller's answer to the response.
func writeForwarded(request *fasthttp.RequestCtx, answer peer.Response) {
	request.SetStatusCode(answer.Status)
	request.SetContentType(contentTypeCBOR)
	request.SetBody(answer.Body)
	setRetryAfter(request, forwardedRetryAfter(answer))
}

// setRetryAfter sets the header Retry-After, rounded up to whole seconds, if wait isn't 0.
func setRetryAfter(request *fasthttp.RequestCtx, wait time.Duration) {
	if wait > 0 {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
}

// forwardedRetryAfter returns the pause that another controller's refusal under overload asks for, or
// 0 if the answer is none. It is in the body because answers between controllers have no headers.
func forwardedRetryAfter(answer peer.Response) time.Duration {
	var refusal userapi.Refusal
	if answer.Status != fasthttp.StatusTooManyRequests || codec.Unmarshal(answer.Body, &refusal) != nil {
		return 0
	}
	return time.Duration(refusal.RetryAfterS * float64(time.Second))
}
