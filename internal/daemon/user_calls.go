package daemon

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
	"gingertally/internal/userapi"
)

// How long a call is worked on in all: a user waits 5 s for a submission and 2 s
// for a poll. Of that, ownPart of it is this node's own try, or, while the state
// service doesn't serve it, no more than ownTryInTrouble.
const (
	submitTimeout   = 4 * time.Second
	pollTimeout     = 1700 * time.Millisecond
	ownPart         = 0.5
	ownTryInTrouble = 300 * time.Millisecond
)

// handleUserCall serves a user's call here, or has another node serve it.
func (d *Daemon) handleUserCall(ctx context.Context, request *fasthttp.RequestCtx, method, path string) {
	limit := submitTimeout
	if method == fasthttp.MethodGet {
		limit = pollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	own := time.Duration(float64(limit) * ownPart)
	fresh := d.health.StoreFresh(time.Now(), storeFresh)
	if !fresh {
		own = ownTryInTrouble
	}
	body := request.PostBody()
	answer := d.serveUserWithin(ctx, own, method, path, body)
	if answer.Status == fasthttp.StatusServiceUnavailable {
		call := forwardedCall{method: method, path: path, body: body}
		if forwarded, ok := d.forwarder.forward(ctx, d.peersFirst(), call); ok {
			request.SetStatusCode(forwarded.status)
			request.SetContentType(contentTypeCBOR)
			request.SetBody(forwarded.body)
			setRetryAfter(request, forwardedRetryAfter(forwarded))
			return
		}
		if !fresh {
			request.SetConnectionClose() // the next try may reach a node that is better off
		}
	}
	writeAnswer(request, answer)
}

// setRetryAfter tells a user when to come back, in whole seconds.
func setRetryAfter(request *fasthttp.RequestCtx, pause time.Duration) {
	if pause > 0 {
		request.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(pause.Seconds()))))
	}
}

// forwardedRetryAfter is the pause that another node's refusal asks for: between nodes an
// answer has no header.
func forwardedRetryAfter(answer peerAnswer) time.Duration {
	var refusal userapi.Refusal
	if answer.status != fasthttp.StatusTooManyRequests || codec.Unmarshal(answer.body, &refusal) != nil {
		return 0
	}
	return time.Duration(refusal.RetryAfterS * float64(time.Second))
}

// writeAnswer puts the answer to a user's call on the wire.
func writeAnswer(request *fasthttp.RequestCtx, answer userapi.Answer) {
	request.SetStatusCode(answer.Status)
	setRetryAfter(request, answer.RetryAfter)
	if answer.Body != nil {
		request.SetContentType(contentTypeCBOR)
		request.SetBody(codec.MustMarshal(answer.Body))
	}
}

// serveUserWithin serves a user's call at this node within a time.
func (d *Daemon) serveUserWithin(ctx context.Context, limit time.Duration, method, path string, body []byte) userapi.Answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d.serveUser(ctx, method, path, body)
}

// serveUser serves a user's call at this node.
func (d *Daemon) serveUser(ctx context.Context, method, path string, body []byte) userapi.Answer {
	rest := strings.TrimPrefix(path, runsPath)
	job, named := strings.CutPrefix(rest, "/")
	switch {
	case method == fasthttp.MethodPost && rest == "":
		return d.users.Submit(ctx, body)
	case method == fasthttp.MethodGet && named:
		return d.users.Get(ctx, job)
	case method == fasthttp.MethodPost && named && strings.HasSuffix(rest, cancelVerb):
		return d.users.Cancel(ctx, strings.TrimSuffix(job, cancelVerb))
	}
	return userapi.Answer{Status: fasthttp.StatusNotFound}
}
