package daemon

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/userapi"
	"gingertally/internal/wire"
)

const (
	runsPath = "/v2/runs"
	beatPath = "/agent/beat"
	viewPath = "/view/" // between nodes only
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

// idleReports is for how many report periods a connection may be idle: those of
// machines that are gone without a word must not take the sockets of others.
const idleReports = 4

func (d *Daemon) serveHTTP(ctx context.Context, ln net.Listener) error {
	var s *fasthttp.Server
	s = &fasthttp.Server{
		Handler: func(rc *fasthttp.RequestCtx) {
			d.handle(ctx, rc)
			if crowded(int(s.GetOpenConnectionsCount()), s.Concurrency) && string(rc.Path()) != beatPath {
				rc.SetConnectionClose()
			}
		},
		MaxRequestBodySize:    wire.MaxBody,
		Concurrency:           d.clientConns(),
		IdleTimeout:           idleReports*d.core.ReportEvery + 10*time.Second,
		ReadTimeout:           30 * time.Second,
		WriteTimeout:          10 * time.Second,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ErrorHandler:          badRequest,
		Logger:                quiet{},
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Shutdown() })
	defer stop()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve clients: %w", err)
	}
	return nil
}

// crowded tells whether what is left of a node's connections is wanted by workers:
// users' are then closed once answered, and spread over the other nodes.
func crowded(open, most int) bool { return open > most*9/10 }

// quiet drops fasthttp's lines about broken connections, which are the peers' affair.
type quiet struct{}

// Printf takes fasthttp's line.
func (quiet) Printf(string, ...any) {}

// badRequest answers what fasthttp couldn't read: too large, or not HTTP.
func badRequest(rc *fasthttp.RequestCtx, _ error) { rc.SetStatusCode(400) }

func (d *Daemon) handle(ctx context.Context, rc *fasthttp.RequestCtx) {
	path, method := string(rc.Path()), string(rc.Method())
	switch path {
	case "/healthz":
		rc.SetStatusCode(d.healthz())
		return
	case "/metrics":
		d.metrics.handler(rc)
		return
	case statusPath:
		rc.SetContentType("application/json")
		rc.SetBody(d.statusAnywhere(ctx))
		return
	}
	body := rc.PostBody()
	if method == "POST" && path == beatPath {
		a := d.agents.Beat(ctx, body, false)
		d.metrics.report(a.Status)
		rc.SetStatusCode(a.Status)
		if a.Body != nil {
			rc.SetContentType("application/cbor")
			rc.SetBody(a.Body)
		}
		return
	}
	if !strings.HasPrefix(path, runsPath) {
		rc.SetStatusCode(404)
		return
	}
	begun := time.Now()
	d.userCall(ctx, rc, method, path, body)
	d.metrics.call(knownMethod(method), rc.Response.StatusCode(), time.Since(begun))
}

// userCall serves a user's call here, or has another node serve it.
func (d *Daemon) userCall(ctx context.Context, rc *fasthttp.RequestCtx, method, path string, body []byte) {
	limit := submitTimeout
	if method == "GET" {
		limit = pollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	own := time.Duration(float64(limit) * ownPart)
	fresh := d.health.StoreFresh(time.Now(), storeFresh)
	if !fresh {
		own = ownTryInTrouble
	}
	a := d.ownTry(ctx, own, method, path, body)
	if a.Status == 503 {
		if status, reply, ok := d.passer.elsewhere(ctx, d.peersFirst(), method, path, body); ok {
			rc.SetStatusCode(status)
			rc.SetContentType("application/cbor")
			rc.SetBody(reply)
			return
		}
		if !fresh {
			rc.SetConnectionClose() // the next try may reach a node that is better off
		}
	}
	rc.SetStatusCode(a.Status)
	if a.RetryAfter {
		rc.Response.Header.Set("Retry-After", "1")
	}
	if a.Body != nil {
		rc.SetContentType("application/cbor")
		rc.SetBody(wire.MustMarshal(a.Body))
	}
}

// knownMethod keeps what clients make up out of the counters' labels.
func knownMethod(m string) string {
	if m == "GET" || m == "POST" {
		return m
	}
	return "other"
}

func (d *Daemon) ownTry(ctx context.Context, limit time.Duration, method, path string, body []byte) userapi.Answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d.user(ctx, method, path, body)
}

// healthz is 200 once this node can judge submissions, and while it can serve
// users or knows a node that may.
func (d *Daemon) healthz() int {
	if len(d.types()) == 0 || !d.health.Serves(time.Now()) {
		return 503
	}
	return 200
}

// user serves a user's call at this node.
func (d *Daemon) user(ctx context.Context, method, path string, body []byte) userapi.Answer {
	rest := strings.TrimPrefix(path, runsPath)
	switch {
	case method == "POST" && rest == "":
		return d.users.Submit(ctx, body)
	case method == "GET" && strings.HasPrefix(rest, "/"):
		return d.users.Get(ctx, rest[1:])
	case method == "POST" && strings.HasPrefix(rest, "/") && strings.HasSuffix(rest, "/withdraw"):
		return d.users.Withdraw(ctx, strings.TrimSuffix(rest[1:], "/withdraw"))
	}
	return userapi.Answer{Status: 404}
}

// relayed serves what another node passed on.
func (d *Daemon) relayed(ctx context.Context, _, method, path string, body []byte) (int, []byte) {
	switch path {
	case beatPath:
		a := d.agents.Beat(ctx, body, true)
		return a.Status, a.Body
	case pingPath:
		return 200, nil
	case promisePath:
		return d.grantExtension(ctx), nil
	case statusPath:
		return 200, d.status(time.Now()).encode()
	}
	if ref, ok := strings.CutPrefix(path, viewPath); ok {
		v, ok := d.View(ref)
		if !ok {
			return 404, nil
		}
		return 200, encodeView(v)
	}
	a := d.ownTry(ctx, submitTimeout, method, path, body)
	if a.Body == nil {
		return a.Status, nil
	}
	return a.Status, wire.MustMarshal(a.Body)
}

type view struct {
	Phase         pipeline.Phase `cbor:"p"`
	Done, Running int
}

func encodeView(v core.JobView) []byte { return wire.MustMarshal(view(v)) }

func decodeView(b []byte) (core.JobView, bool) {
	var v view
	err := wire.Unmarshal(b, &v)
	return core.JobView(v), err == nil
}
