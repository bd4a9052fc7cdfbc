// Package testserver runs HTTP servers for tests of clients. Only tests import it.
package testserver

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Start serves requests with a handler on a free loopback port until the test ends, and returns the
// address.
func Start(t testing.TB, handler fasthttp.RequestHandler) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(listener) // returns when the listener is closed
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}
