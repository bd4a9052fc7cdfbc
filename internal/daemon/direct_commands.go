package daemon

import (
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/agentapi"
	"gingertally/internal/core"
)

// maxDirectCommands bounds the direct commands under way. One that can't go now is
// repeated with the worker's next heartbeat anyway.
const maxDirectCommands = 32

const (
	// directTimeout bounds one direct command.
	directTimeout = 3 * time.Second
	// directIdle is how long a connection to a worker is kept for the next one.
	directIdle = 10 * time.Second
)

// commandSender sends direct commands to workers, a few at a time.
type commandSender struct {
	http  *fasthttp.Client
	slots chan struct{}
}

func newCommandSender() *commandSender {
	return &commandSender{
		http: &fasthttp.Client{MaxConnsPerHost: 1, MaxIdleConnDuration: directIdle, ReadTimeout: directTimeout,
			WriteTimeout: directTimeout, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		slots: make(chan struct{}, maxDirectCommands),
	}
}

// send sends commands to a worker, unless too many are under way or the session's
// lease isn't valid any more.
func (c *commandSender) send(session *leaderSession, commands core.Direct) {
	select {
	case c.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.slots }()
		if session.holdsLease() {
			c.post(commands)
		}
	}()
}

func (c *commandSender) post(commands core.Direct) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + commands.Addr + agentapi.OrdersPath)
	request.Header.SetContentType(contentTypeCBOR)
	request.SetBodyRaw(agentapi.DirectCommands(commands))
	err := c.http.DoTimeout(request, response, directTimeout)
	slog.Debug("direct commands", "machine", commands.Machine, "status", response.StatusCode(), "error", err)
}
