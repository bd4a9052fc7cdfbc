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

// If there are more machines than a node has sockets, each worker must still be answered. Once too
// few connections are left, the node closes those that workers keep open. Before it did, the
// workers that connected first kept their connections, and all others were refused for good.
func TestMoreWorkersThanSockets(t *testing.T) {
	const workers, rounds = 400, 3
	settings := &config.Settings{}
	settings.Deployment.Resources.MaxSockets = 64 // far fewer than workers
	c := &Controller{
		settings: settings,
		limits:   limits.New(settings),
		metrics:  metrics.New(),
		agents:   &agentapi.Service{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	listener := listen(t)
	var serving errgroup.Group
	serving.Go(func() error { return c.serveHTTP(ctx, listener) })
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
			status, stays := sendDummyHeartbeat(t, connections[i])
			if status == fasthttp.StatusBadRequest { // the body isn't a heartbeat, but the request was handled
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

// sendDummyHeartbeat sends a body that isn't a heartbeat to the path of heartbeats, and returns the
// status of the answer and whether the connection stays open.
func sendDummyHeartbeat(t *testing.T, connection net.Conn) (status int, stays bool) {
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
