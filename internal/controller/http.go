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

// Paths for the load balancer's health checks and for the collection of metrics.
const (
	healthPath  = "/healthz"
	metricsPath = "/metrics"
)

const contentTypeCBOR = "application/cbor"

// A connection is closed after it has been idle for idleHeartbeats heartbeat intervals plus
// idleSlack, so that the connections of machines that have vanished don't use up the sockets.
const (
	idleHeartbeats = 4
	idleSlack      = 10 * time.Second
)

const (
	httpReadTimeout  = 30 * time.Second
	httpWriteTimeout = 10 * time.Second
)

// serveHTTP serves users, workers and operators until ctx ends. When few connections are left, it
// closes connections once their request is answered.
func (c *Controller) serveHTTP(ctx context.Context, listener net.Listener) error {
	var server *fasthttp.Server
	server = &fasthttp.Server{
		Handler: func(request *fasthttp.RequestCtx) {
			c.handle(ctx, request)
			open := int(server.GetOpenConnectionsCount())
			isHeartbeat := string(request.Path()) == agentapi.HeartbeatPath
			if limits.AlmostFull(open, server.Concurrency) || limits.ReservedForWorkers(open, server.Concurrency) && !isHeartbeat {
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

// discardLogger discards fasthttp's log messages, which are about connections that clients broke.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// rejectUnreadable answers a request that fasthttp couldn't read, for example because it is too
// large or isn't HTTP.
func rejectUnreadable(request *fasthttp.RequestCtx, _ error) {
	request.SetStatusCode(fasthttp.StatusBadRequest)
}

// handle routes a request by its path and method.
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
		c.metrics.CountCall(methodLabel(method), request.Response.StatusCode(), time.Since(began))
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleHeartbeat answers a worker's heartbeat.
func (c *Controller) handleHeartbeat(ctx context.Context, request *fasthttp.RequestCtx) {
	answer := c.agents.Heartbeat(ctx, request.PostBody())
	c.metrics.CountHeartbeat(answer.Status)
	request.SetStatusCode(answer.Status)
	if answer.Body != nil {
		request.SetContentType(contentTypeCBOR)
		request.SetBody(answer.Body)
	}
}

// healthStatus returns the status for the load balancer: 200 if the machine types are known, without
// which submissions can't be checked, and the health tracker says that this controller can serve
// users, itself or by forwarding their calls; else 503.
func (c *Controller) healthStatus() int {
	if len(c.machineTypes.Types()) == 0 || !c.health.CanServe(time.Now()) {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusOK
}

// methodLabel returns the value of the metrics' method label. Unusual methods share one value, so
// that clients can't create any number of time series.
func methodLabel(method string) string {
	if method == fasthttp.MethodGet || method == fasthttp.MethodPost {
		return method
	}
	return "other"
}
