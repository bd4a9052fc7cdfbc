// Package peer carries requests between the controllers over gRPC: a node that
// can't serve a request itself passes it on to one that may.
package peer

import (
	"context"
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

// maxMessage bounds a message between nodes: a user's or worker's body and a little.
const maxMessage = 128 << 10

// Handler serves a relayed request.
type Handler func(ctx context.Context, from, method, path string, body []byte) (status int, reply []byte)

type server struct {
	peerpb.UnimplementedPeerServer
	handle Handler
}

// Relay serves a request that another node passed on.
func (s *server) Relay(ctx context.Context, r *peerpb.Request) (*peerpb.Reply, error) {
	status, body := s.handle(ctx, r.From, r.Method, r.Path, r.Body)
	return &peerpb.Reply{Status: int32(status), Body: body}, nil
}

// Serve answers the other nodes until ctx ends.
func Serve(ctx context.Context, ln net.Listener, h Handler) error {
	s := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage), grpc.MaxConcurrentStreams(64),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 4 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 4 * time.Second, PermitWithoutStream: true}),
		grpc.ReadBufferSize(8<<10), grpc.WriteBufferSize(8<<10))
	peerpb.RegisterPeerServer(s, &server{handle: h})
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// Client reaches the other nodes by name, over one connection each.
type Client struct {
	self  string
	conns map[string]*grpc.ClientConn
}

// NewClient makes a client; addrs are the other nodes' addresses by name.
func NewClient(self string, addrs map[string]string) (*Client, error) {
	c := &Client{self: self, conns: map[string]*grpc.ClientConn{}}
	for name, addr := range addrs {
		conn, err := grpc.NewClient("passthrough:///"+addr,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second,
				Backoff: backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 2 * time.Second}}),
			grpc.WithReadBufferSize(8<<10), grpc.WithWriteBufferSize(8<<10),
			grpc.WithDisableServiceConfig(), grpc.WithNoProxy())
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", name, err)
		}
		c.conns[name] = conn
	}
	return c, nil
}

// Relay passes a request on to a node.
func (c *Client) Relay(ctx context.Context, to, method, path string, body []byte) (int, []byte, error) {
	conn := c.conns[to]
	if conn == nil {
		return 0, nil, fmt.Errorf("no peer %q", to)
	}
	r, err := peerpb.NewPeerClient(conn).Relay(ctx, &peerpb.Request{From: c.self, Method: method, Path: path, Body: body})
	if err != nil {
		return 0, nil, fmt.Errorf("relay to %s: %w", to, err)
	}
	return int(r.Status), r.Body, nil
}

// Close ends all connections.
func (c *Client) Close() {
	for name, conn := range c.conns {
		if err := conn.Close(); err != nil {
			slog.Debug("close peer", "peer", name, "error", err)
		}
	}
}
