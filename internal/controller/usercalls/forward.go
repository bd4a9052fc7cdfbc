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
	// hedgeDelay is how long one controller is waited for before the next is asked too.
	hedgeDelay = 250 * time.Millisecond
	// forwardPause is how long no peer is asked after none could serve a call.
	forwardPause = time.Second
)

// Relayer carries a call to another controller. *peer.Client implements it.
type Relayer interface {
	// Relay sends a call and returns the answer.
	Relay(ctx context.Context, to string, request peer.Request) (peer.Response, error)
}

// Forwarder forwards calls to the other controllers.
type Forwarder struct {
	peers        Relayer
	peerAnswered func()       // is told that another controller has answered
	pausedUntil  atomic.Int64 // until when no peer is asked, in Unix nanoseconds
}

// NewForwarder makes a forwarder.
func NewForwarder(peers Relayer, peerAnswered func()) *Forwarder {
	return &Forwarder{peers: peers, peerAnswered: peerAnswered}
}

// forward asks the named controllers to serve a call, one a little after the other,
// and takes the first answer that settles it. When none could a moment ago, as in
// an outage that all see, they aren't asked.
func (f *Forwarder) forward(ctx context.Context, names []string, call peer.Request) (peer.Response, bool) {
	if time.Now().UnixNano() < f.pausedUntil.Load() {
		return peer.Response{}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call.Body = bytes.Clone(call.Body) // the server reuses its buffer
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

// request has one controller serve a call; one that can't be reached can't serve it.
func (f *Forwarder) request(ctx context.Context, name string, call peer.Request) peer.Response {
	response, err := f.peers.Relay(ctx, name, call)
	if err != nil {
		return peer.Response{Status: http.StatusServiceUnavailable}
	}
	f.peerAnswered()
	return response
}
