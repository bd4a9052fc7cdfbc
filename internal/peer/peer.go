// Package peer carries calls between the controllers over gRPC: a controller that can't serve a
// call itself relays it to one that can. A Client owns one connection to each other controller, which
// gRPC opens when it is first used and reopens when it is lost. A Client is safe for concurrent use.
package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"gingertally/internal/peer/peerpb"
)

const (
	// maxMessageBytes bounds the size of a message that a controller receives from another: the body
	// of a user's or worker's request and some overhead.
	maxMessageBytes = 128 << 10
	// maxStreams bounds the concurrent calls on one connection. A controller that relays the
	// heartbeats of a zone with more than a thousand machines has about one call in flight for
	// each machine, since the leader may delay its response by up to 2 s.
	maxStreams = 2048
	// bufferBytes is small, since the connections are mostly idle.
	bufferBytes = 8 << 10
)

// Settings for keepalives, and for the backoff between attempts to connect.
const (
	keepaliveInterval    = 10 * time.Second
	keepaliveTimeout     = 4 * time.Second
	keepaliveMinInterval = 4 * time.Second // the server disconnects clients that ping more often
	connectTimeout       = 2 * time.Second
	backoffBase          = 200 * time.Millisecond
	backoffMax           = 2 * time.Second
	backoffFactor        = 1.5
	backoffJitter        = 0.2
)

// Request is a call that one controller relays to another: an HTTP request without headers.
type Request struct {
	Method string
	Path   string
	Body   []byte
}

// Response is the answer to a Request.
type Response struct {
	Status int // an HTTP status code
	Body   []byte
}

// Handler serves a relayed request. It is called from many goroutines at once.
type Handler func(ctx context.Context, request Request) Response

// server implements the gRPC service Peer with a Handler.
type server struct {
	peerpb.UnimplementedPeerServer
	handle Handler
}

// Relay serves a request that another controller has relayed.
func (s *server) Relay(ctx context.Context, message *peerpb.Request) (*peerpb.Reply, error) {
	request := Request{Method: message.Method, Path: message.Path, Body: message.Body}
	response := s.handle(ctx, request)
	return &peerpb.Reply{Status: int32(response.Status), Body: response.Body}, nil
}

// Serve serves the other controllers' calls on listener until ctx ends. The functions in register may
// add further services to the same server.
func Serve(ctx context.Context, listener net.Listener, handle Handler, register ...func(grpc.ServiceRegistrar)) error {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveMinInterval,
			PermitWithoutStream: true,
		}),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
	)
	peerpb.RegisterPeerServer(s, &server{handle: handle})
	for _, add := range register {
		add(s)
	}
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	if err := s.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// Client reaches the other controllers by name, over one connection each.
type Client struct {
	self        string
	connections map[string]*grpc.ClientConn
}

// NewClient returns the client of the controller named self. Addrs holds the addresses of the other
// controllers by name.
func NewClient(self string, addrs map[string]string) (*Client, error) {
	c := &Client{self: self, connections: map[string]*grpc.ClientConn{}}
	for name, addr := range addrs {
		connection, err := dial(addr)
		if err != nil {
			return nil, fmt.Errorf("connect to peer %s at %s: %w", name, addr, err)
		}
		c.connections[name] = connection
	}
	return c, nil
}

// dial prepares a connection, which gRPC opens when it is first used.
func dial(addr string) (*grpc.ClientConn, error) {
	retry := backoff.Config{
		BaseDelay:  backoffBase,
		Multiplier: backoffFactor,
		Jitter:     backoffJitter,
		MaxDelay:   backoffMax,
	}
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectTimeout, Backoff: retry}),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
	)
}

// ErrUnknownPeer says that no other controller has the given name. Calls to the leader also fail
// with it while no leader is known, since its name is then empty.
var ErrUnknownPeer = errors.New("no such peer")

// Relay sends a request to the controller named to and returns its response. An error names the call
// and the peer. Unless it is ErrUnknownPeer, the peer may have served the request nevertheless.
func (c *Client) Relay(ctx context.Context, to string, request Request) (Response, error) {
	connection, err := c.Connection(to)
	if err != nil {
		return Response{}, fmt.Errorf("relay %s %s: %w", request.Method, request.Path, err)
	}
	message := &peerpb.Request{From: c.self, Method: request.Method, Path: request.Path, Body: request.Body}
	reply, err := peerpb.NewPeerClient(connection).Relay(ctx, message)
	if err != nil {
		return Response{}, fmt.Errorf("relay %s %s to %s: %w", request.Method, request.Path, to, err)
	}
	return Response{Status: int(reply.Status), Body: reply.Body}, nil
}

// Connection returns the connection to the controller named to, for services other than the relay.
func (c *Client) Connection(to string) (grpc.ClientConnInterface, error) {
	connection := c.connections[to]
	if connection == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownPeer, to)
	}
	return connection, nil
}

// Close closes all connections.
func (c *Client) Close() {
	for name, connection := range c.connections {
		if err := connection.Close(); err != nil {
			slog.Debug("closing connection to peer failed", "peer", name, "error", err)
		}
	}
}
