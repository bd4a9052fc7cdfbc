package statestore

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// errWatchEnded reports that the context of a watch has ended.
var errWatchEnded = errors.New("the watch has ended")

// watchConns holds the connections for watches. Each watch has one to itself, which is closed if the
// context of the watch ends: a watch that nobody waits for any more would else keep its caller and
// its connection for up to watchBlock. It is safe for concurrent use.
type watchConns struct {
	addr string

	mu    sync.Mutex
	inUse int
	idle  []*watchConn
}

// use calls send with the client of a connection for one watch. The connection is closed when ctx ends.
// The error is fasthttp.ErrNoFreeConns if maxWatchConns watches are in flight.
func (p *watchConns) use(ctx context.Context, send func(client *fasthttp.HostClient) error) error {
	conn, err := p.take()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, conn.close)
	err = send(conn.client)
	reusable := stop()
	p.release(conn, reusable)
	return err
}

// take returns an idle connection, or a new one.
func (p *watchConns) take() (*watchConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse >= maxWatchConns {
		return nil, fasthttp.ErrNoFreeConns
	}
	p.inUse++
	if last := len(p.idle) - 1; last >= 0 {
		conn := p.idle[last]
		p.idle = p.idle[:last]
		return conn, nil
	}
	return newWatchConn(p.addr), nil
}

// release takes a connection back.
func (p *watchConns) release(conn *watchConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	if reusable {
		p.idle = append(p.idle, conn)
	}
}

// watchConn is an HTTP client with a single connection, which it opens when it is first needed.
type watchConn struct {
	client *fasthttp.HostClient

	mu     sync.Mutex
	conn   net.Conn // the last one opened
	closed bool
}

func newWatchConn(addr string) *watchConn {
	w := &watchConn{client: newHostClient(addr, watchReadTimeout, 1)}
	w.client.Dial = w.dial
	return w
}

// dial opens the connection, unless it is to be closed.
func (w *watchConn) dial(addr string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		_ = conn.Close()
		return nil, errWatchEnded
	}
	w.conn = conn
	return conn, nil
}

// close ends the request in flight, and closes the connection for good.
func (w *watchConn) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.conn != nil {
		_ = w.conn.Close()
	}
}
