package term

import (
	"context"
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/agentapi"
	"gingertally/internal/controller/limits"
	"gingertally/internal/core"
)

const (
	// directTimeout bounds one request with direct commands.
	directTimeout = 3 * time.Second
	// directIdle is how long an idle connection to a worker is kept.
	directIdle = 10 * time.Second
)

// DirectSender sends direct commands to workers: commands that don't wait for the answer to a
// heartbeat. It limits the requests in flight. All terms of a controller share it, and it may be
// used from any goroutine.
type DirectSender struct {
	http  *fasthttp.Client
	slots chan struct{} // holds one element per request in flight
}

// NewDirectSender returns a sender without connections, for limits.MaxDirectCommands requests at a
// time.
func NewDirectSender() *DirectSender {
	return &DirectSender{
		http: &fasthttp.Client{MaxConnsPerHost: 1, MaxIdleConnDuration: directIdle, ReadTimeout: directTimeout,
			WriteTimeout: directTimeout, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		slots: make(chan struct{}, limits.MaxDirectCommands),
	}
}

// CloseIdleConnections closes the connections to workers that aren't in use.
func (s *DirectSender) CloseIdleConnections() { s.http.CloseIdleConnections() }

// sendDirectCommands sends commands to a worker in the background. It drops them if too many
// requests are in flight or the lease isn't valid any more: they are repeated with the worker's
// next heartbeat anyway.
func (t *Term) sendDirectCommands(commands core.DirectCommands) {
	select {
	case t.deps.Direct.slots <- struct{}{}:
	default:
		return
	}
	sent := t.background.run(func(context.Context) {
		defer t.deps.Direct.release()
		if t.HoldsLease() {
			t.deps.Direct.post(t.log, commands)
		}
	})
	if !sent {
		t.deps.Direct.release()
	}
}

// release frees the slot of a request.
func (s *DirectSender) release() { <-s.slots }

// post sends commands to a worker and logs the outcome, which needs no other handling.
func (s *DirectSender) post(log *slog.Logger, commands core.DirectCommands) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + commands.Addr + agentapi.DirectCommandsPath)
	request.Header.SetContentType("application/cbor")
	request.SetBodyRaw(agentapi.DirectCommandsBody(commands))
	err := s.http.DoTimeout(request, response, directTimeout)
	log.Debug("direct commands sent", "machine", commands.Machine, "status", response.StatusCode(), "error", err)
}
