package daemon

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"gingertally/internal/userapi"

	"github.com/valyala/fasthttp"
)

// Paths of the interfaces to users, workers and operators.
const (
	runsPath      = "/v2/runs"
	cancelVerb    = "/withdraw" // after a job's id
	heartbeatPath = "/agent/beat"
	healthPath    = "/healthz"
	metricsPath   = "/metrics"
)

// Content types of bodies.
const (
	contentTypeCBOR = "application/cbor"
	contentTypeJSON = "application/json"
)

// idleHeartbeats is for how many heartbeat intervals a connection may be idle, and idleSlack
// what is added: those of machines that are gone without a word must not take the
// sockets of others.
const (
	idleHeartbeats = 4
	idleSlack      = 10 * time.Second
)

const (
	httpReadTimeout  = 30 * time.Second
	httpWriteTimeout = 10 * time.Second
)

// serveHTTP serves users, workers and operators.
func (d *Daemon) serveHTTP(ctx context.Context, listener net.Listener) error {
	var server *fasthttp.Server
	server = &fasthttp.Server{
		Handler: func(request *fasthttp.RequestCtx) {
			d.handle(ctx, request)
			open := int(server.GetOpenConnectionsCount())
			isReport := string(request.Path()) == heartbeatPath
			if full(open, server.Concurrency) || crowded(open, server.Concurrency) && !isReport {
				request.SetConnectionClose()
			}
		},
		MaxRequestBodySize:    userapi.MaxBody,
		Concurrency:           d.clientConns(),
		IdleTimeout:           idleHeartbeats*d.coreConfig.HeartbeatInterval + idleSlack,
		ReadTimeout:           httpReadTimeout,
		WriteTimeout:          httpWriteTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ErrorHandler:          badRequest,
		Logger:                quiet{},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve clients: %w", err)
	}
	return nil
}

// quiet drops fasthttp's lines about broken connections, which are the peers' affair.
type quiet struct{}

// Printf takes fasthttp's line.
func (quiet) Printf(string, ...any) {}

// badRequest answers what fasthttp couldn't read: too large, or not HTTP.
func badRequest(request *fasthttp.RequestCtx, _ error) {
	request.SetStatusCode(fasthttp.StatusBadRequest)
}

// handle serves one call by its path.
func (d *Daemon) handle(ctx context.Context, request *fasthttp.RequestCtx) {
	path, method := string(request.Path()), string(request.Method())
	switch {
	case path == healthPath:
		request.SetStatusCode(d.healthStatus())
	case path == metricsPath:
		d.metrics.handler(request)
	case path == StatusPath:
		request.SetContentType(contentTypeJSON)
		request.SetBody(d.statusAnywhere(ctx))
	case path == DrainsPath || strings.HasPrefix(path, DrainsPath+"/"):
		d.handleDrain(ctx, request, method, path)
	case path == heartbeatPath && method == fasthttp.MethodPost:
		d.handleHeartbeat(ctx, request)
	case strings.HasPrefix(path, runsPath):
		began := time.Now()
		d.handleUserCall(ctx, request, method, path)
		d.metrics.countCall(knownMethod(method), request.Response.StatusCode(), time.Since(began))
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleHeartbeat serves a worker's heartbeat.
func (d *Daemon) handleHeartbeat(ctx context.Context, request *fasthttp.RequestCtx) {
	answer := d.agents.Heartbeat(ctx, request.PostBody())
	d.metrics.countHeartbeat(answer.Status)
	request.SetStatusCode(answer.Status)
	if answer.Body != nil {
		request.SetContentType(contentTypeCBOR)
		request.SetBody(answer.Body)
	}
}

// healthStatus is 200 once this node can judge submissions, and while it can serve
// users or knows a node that may.
func (d *Daemon) healthStatus() int {
	if len(d.types()) == 0 || !d.health.Serves(time.Now()) {
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
