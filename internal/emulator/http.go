package emulator

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
)

// serve serves a handler on a loopback address until stop is closed, and returns the address. Its goroutines
// belong to a group.
func serve(handler fasthttp.RequestHandler, stop <-chan struct{}, group *sync.WaitGroup) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	group.Go(func() { _ = server.Serve(listener) }) // ends with the listener
	group.Go(func() {
		<-stop
		_ = listener.Close()
	})
	return listener.Addr().String(), nil
}

// reply writes a message with a status.
func reply(request *fasthttp.RequestCtx, status int, message any) {
	request.SetStatusCode(status)
	request.SetBody(codec.MustMarshal(message))
}
