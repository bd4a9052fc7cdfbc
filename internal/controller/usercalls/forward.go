package usercalls

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"gingertally/internal/peer"
)

const (
	// hedgeDelay is how long a call waits for a controller's answer before it is sent to the next one
	// as well (hedged requests).
	hedgeDelay = 250 * time.Millisecond
	// forwardPause is how long no call is forwarded after one that no peer could serve.
	forwardPause = time.Second
)

// Relayer sends calls to other controllers. *peer.Client implements it.
type Relayer interface {
	// Relay sends a call to a controller and returns the answer.
	Relay(ctx context.Context, to string, request peer.Request) (peer.Response, error)
}

// Forwarder forwards calls to the other controllers.
type Forwarder struct {
	peers        Relayer
	peerAnswered func()       // is called whenever another controller has answered
	pausedUntil  atomic.Int64 // end of the last forwardPause, in Unix nanoseconds
}

// NewForwarder returns a Forwarder that sends calls by peers and calls peerAnswered for each answer.
// peerAnswered must be safe for concurrent use.
func NewForwarder(peers Relayer, peerAnswered func()) *Forwarder {
	return &Forwarder{peers: peers, peerAnswered: peerAnswered}
}

// forward sends a call to the named controllers and returns the first answer other than 503, if there
// is one. It sends to the first controller at once and to each further one after hedgeDelay, or
// earlier if all that were asked have failed. While a forwardPause lasts, as in an outage that affects
// all controllers, it asks none of them.
func (f *Forwarder) forward(ctx context.Context, names []string, call peer.Request) (peer.Response, bool) {
	if time.Now().UnixNano() < f.pausedUntil.Load() {
		return peer.Response{}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call.Body = bytes.Clone(call.Body) // the server reuses its buffer while late requests still run
	answers := make(chan peer.Response, len(names))
	next := time.NewTimer(0)
	defer next.Stop()
	asked, failed := 0, 0
	for failed < len(names) {
		select {
		case <-ctx.Done():
			return peer.Response{}, false
		case answer := <-answers:
			if answer.Status != http.StatusServiceUnavailable {
				return answer, true
			}
			if failed++; failed == asked {
				next.Reset(0)
			}
		case <-next.C:
			if asked < len(names) {
				go func(name string) { answers <- f.request(ctx, name, call) }(names[asked])
				asked++
				next.Reset(hedgeDelay)
			}
		}
	}
	f.pausedUntil.Store(time.Now().Add(forwardPause).UnixNano())
	return peer.Response{}, false
}

// request sends a call to one controller. If it can't be reached, the result has status 503.
func (f *Forwarder) request(ctx context.Context, name string, call peer.Request) peer.Response {
	response, err := f.peers.Relay(ctx, name, call)
	if err != nil {
		return peer.Response{Status: http.StatusServiceUnavailable}
	}
	f.peerAnswered()
	return response
}
