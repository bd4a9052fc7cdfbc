package controller

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"gingertally/internal/agentapi"
	"gingertally/internal/config"
	"gingertally/internal/controller/limits"
	"gingertally/internal/controller/metrics"
)

// Where there are more machines than a node has sockets, each is still answered: connections
// that workers keep open are closed when too few are left. Before, those that came first
// kept theirs, and all others were turned away for good.
func TestMoreWorkersThanSockets(t *testing.T) {
	const workers, rounds = 400, 3
	settings := &config.Settings{}
	settings.Params.Resources.MaxSockets = 64 // far fewer than workers
	d := &Controller{
		settings: settings,
		limits:   limits.Of(settings),
		metrics:  metrics.New(),
		agents:   &agentapi.Service{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	listener := listen(t)
	var serving errgroup.Group
	serving.Go(func() error { return d.serveHTTP(ctx, listener) })
	answered := make([]int, workers)
	connections := make([]net.Conn, workers)
	for range rounds {
		for i := range workers {
			if connections[i] == nil {
				connection, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
				if err != nil {
					t.Fatal(err)
				}
				connections[i] = connection
			}
			status, stays := sendReport(t, connections[i])
			if status == fasthttp.StatusBadRequest { // the body is no heartbeat, but it was looked at
				answered[i]++
			}
			if !stays {
				_ = connections[i].Close()
				connections[i] = nil
			}
		}
	}
	for i, n := range answered {
		if n < rounds-1 {
			t.Errorf("worker %d was answered %d times in %d rounds", i, n, rounds)
		}
	}
	for _, connection := range connections {
		if connection != nil {
			_ = connection.Close()
		}
	}
	cancel()
	if err := serving.Wait(); err != nil && ctx.Err() == nil {
		t.Error(err)
	}
}

// sendReport sends something on a connection in place of a heartbeat, and tells the answer's
// status and whether the connection stays open.
func sendReport(t *testing.T, connection net.Conn) (status int, stays bool) {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://node" + agentapi.HeartbeatPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyString("x")
	if err := connection.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	writer := bufio.NewWriter(connection)
	if request.Write(writer) != nil || writer.Flush() != nil {
		return 0, false
	}
	if response.Read(bufio.NewReader(connection)) != nil {
		return 0, false
	}
	return response.StatusCode(), !response.ConnectionClose()
}
