package emulator

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"gingertally/internal/codec"
)

// serve serves HTTP requests with a handler on a free loopback port until stop is closed, and returns
// the address. Its goroutines are added to group.
func serve(handler fasthttp.RequestHandler, stop <-chan struct{}, group *sync.WaitGroup) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	group.Go(func() { _ = server.Serve(listener) }) // returns when the listener is closed
	group.Go(func() {
		<-stop
		_ = listener.Close()
	})
	return listener.Addr().String(), nil
}

// reply answers a request with a status and a message in CBOR.
func reply(request *fasthttp.RequestCtx, status int, message any) {
	request.SetStatusCode(status)
	request.SetBody(codec.MustMarshal(message))
}
