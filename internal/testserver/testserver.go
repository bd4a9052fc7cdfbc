// Package testserver serves HTTP to the clients under test. Only tests call it.
package testserver

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Start serves a handler on a loopback address until the test ends, and returns the address.
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
		_ = server.Serve(listener) // ends with the listener
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}
