// Package peer carries requests between the controllers over gRPC: a node that
// can't serve a request itself passes it on to one that may.
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
	// maxMessage bounds a message between nodes: a user's or worker's body and a little.
	maxMessage = 128 << 10
	// maxStreams bounds the requests of one node at once. A node that relays the heartbeats
	// of a zone with more than a thousand machines has about one of them under way for
	// each, since the leader may hold an answer for 2 s.
	maxStreams = 2048
	// bufferSize keeps the many mostly idle connections small.
	bufferSize = 8 << 10
)

// Signs of life between nodes, and how a lost connection is made again.
const (
	keepaliveEvery   = 10 * time.Second
	keepaliveTimeout = 4 * time.Second
	keepaliveLeast   = 4 * time.Second // more often a client may not ask
	connectTimeout   = 2 * time.Second
	redialFirst      = 200 * time.Millisecond
	redialMost       = 2 * time.Second
	redialFactor     = 1.5
	redialJitter     = 0.2
)

// Handler serves a relayed request.
type Handler func(ctx context.Context, from, method, path string, body []byte) (status int, reply []byte)

type server struct {
	peerpb.UnimplementedPeerServer
	handle Handler
}

// Relay serves a request that another node passed on.
func (s *server) Relay(ctx context.Context, request *peerpb.Request) (*peerpb.Reply, error) {
	status, body := s.handle(ctx, request.From, request.Method, request.Path, request.Body)
	return &peerpb.Reply{Status: int32(status), Body: body}, nil
}

// Serve answers the other nodes until ctx ends. Further services between the nodes may be
// registered beside the relay.
func Serve(ctx context.Context, listener net.Listener, handle Handler, register ...func(grpc.ServiceRegistrar)) error {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveEvery, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveLeast, PermitWithoutStream: true}),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
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

// Client reaches the other nodes by name, over one connection each.
type Client struct {
	self        string
	connections map[string]*grpc.ClientConn
}

// NewClient makes a client; addrs are the other nodes' addresses by name.
func NewClient(self string, addrs map[string]string) (*Client, error) {
	c := &Client{self: self, connections: map[string]*grpc.ClientConn{}}
	for name, addr := range addrs {
		connection, err := dial(addr)
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", name, err)
		}
		c.connections[name] = connection
	}
	return c, nil
}

// dial prepares a connection, which is made when it is first used.
func dial(addr string) (*grpc.ClientConn, error) {
	redial := backoff.Config{BaseDelay: redialFirst, Multiplier: redialFactor, Jitter: redialJitter, MaxDelay: redialMost}
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectTimeout, Backoff: redial}),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
	)
}

// ErrUnknownPeer says that no node has the name.
var ErrUnknownPeer = errors.New("no such peer")

// Relay passes a request on to a node.
func (c *Client) Relay(ctx context.Context, to, method, path string, body []byte) (int, []byte, error) {
	connection := c.connections[to]
	if connection == nil {
		return 0, nil, fmt.Errorf("%w: %q", ErrUnknownPeer, to)
	}
	request := &peerpb.Request{From: c.self, Method: method, Path: path, Body: body}
	reply, err := peerpb.NewPeerClient(connection).Relay(ctx, request)
	if err != nil {
		return 0, nil, fmt.Errorf("relay to %s: %w", to, err)
	}
	return int(reply.Status), reply.Body, nil
}

// Connection is the connection to a node, for services other than the relay.
func (c *Client) Connection(to string) (grpc.ClientConnInterface, error) {
	connection := c.connections[to]
	if connection == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownPeer, to)
	}
	return connection, nil
}

// Close ends all connections.
func (c *Client) Close() {
	for name, connection := range c.connections {
		if err := connection.Close(); err != nil {
			slog.Debug("close peer", "peer", name, "error", err)
		}
	}
}
