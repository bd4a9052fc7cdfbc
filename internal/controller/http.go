package controller

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/agentapi"
	"gingertally/internal/controller/limits"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/userapi"
)

// Paths of the interfaces to the load balancer and to operators.
const (
	healthPath  = "/healthz"
	metricsPath = "/metrics"
)

const contentTypeCBOR = "application/cbor"

// idleHeartbeats is for how many heartbeat intervals a connection may be idle, and idleSlack
// what is added: those of machines that vanish must not take the
// sockets of others.
const (
	idleHeartbeats = 4
	idleSlack      = 10 * time.Second
)

const (
	httpReadTimeout  = 30 * time.Second
	httpWriteTimeout = 10 * time.Second
)

// serveHTTP serves users, workers and operators until ctx ends.
func (c *Controller) serveHTTP(ctx context.Context, listener net.Listener) error {
	var server *fasthttp.Server
	server = &fasthttp.Server{
		Handler: func(request *fasthttp.RequestCtx) {
			c.handle(ctx, request)
			open := int(server.GetOpenConnectionsCount())
			isHeartbeat := string(request.Path()) == agentapi.HeartbeatPath
			if limits.Full(open, server.Concurrency) || limits.Crowded(open, server.Concurrency) && !isHeartbeat {
				request.SetConnectionClose()
			}
		},
		MaxRequestBodySize:    userapi.MaxBody,
		Concurrency:           c.limits.ClientConns(),
		IdleTimeout:           idleHeartbeats*c.core.HeartbeatInterval + idleSlack,
		ReadTimeout:           httpReadTimeout,
		WriteTimeout:          httpWriteTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ErrorHandler:          rejectUnreadable,
		Logger:                discardLogger{},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve clients: %w", err)
	}
	return nil
}

// discardLogger drops fasthttp's lines about broken connections, which are the clients' affair.
type discardLogger struct{}

// Printf takes fasthttp's line.
func (discardLogger) Printf(string, ...any) {}

// rejectUnreadable answers what fasthttp couldn't read: too large, or not HTTP.
func rejectUnreadable(request *fasthttp.RequestCtx, _ error) {
	request.SetStatusCode(fasthttp.StatusBadRequest)
}

// handle serves one call by its path.
func (c *Controller) handle(ctx context.Context, request *fasthttp.RequestCtx) {
	path, method := string(request.Path()), string(request.Method())
	switch {
	case path == healthPath:
		request.SetStatusCode(c.healthStatus())
	case path == metricsPath:
		c.metrics.Handle(request)
	case path == operatorapi.StatusPath:
		c.operators.HandleStatus(ctx, request)
	case path == operatorapi.DrainsPath || strings.HasPrefix(path, operatorapi.DrainsPath+"/"):
		c.operators.HandleDrain(ctx, request, method, path)
	case path == agentapi.HeartbeatPath && method == fasthttp.MethodPost:
		c.handleHeartbeat(ctx, request)
	case strings.HasPrefix(path, userapi.RunsPath):
		began := time.Now()
		c.users.Handle(ctx, request, method, path)
		c.metrics.CountCall(knownMethod(method), request.Response.StatusCode(), time.Since(began))
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleHeartbeat serves a worker's heartbeat.
func (c *Controller) handleHeartbeat(ctx context.Context, request *fasthttp.RequestCtx) {
	answer := c.agents.Heartbeat(ctx, request.PostBody())
	c.metrics.CountHeartbeat(answer.Status)
	request.SetStatusCode(answer.Status)
	if answer.Body != nil {
		request.SetContentType(contentTypeCBOR)
		request.SetBody(answer.Body)
	}
}

// healthStatus is 200 once this controller can judge submissions, and while it can serve
// users or knows a controller that may.
func (c *Controller) healthStatus() int {
	if len(c.machineTypes.Types()) == 0 || !c.health.Serves(time.Now()) {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusOK
}

// knownMethod keeps what clients make up out of the counters' labels.
func knownMethod(method string) string {
	if method == fasthttp.MethodGet || method == fasthttp.MethodPost {
		return method
	}
	return "other"
}
