package agentapi

import (
	"net/http"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/wire"
)

// Answer is the answer to a heartbeat: an HTTP status and an encoded body, which may be empty.
type Answer struct {
	Status int
	Body   []byte
}

// AcceptedAnswer returns the leader's answer to a heartbeat: the fencing token and the commands to
// the worker. Only this answer renews the worker's lease.
func AcceptedAnswer(response core.HeartbeatResponse) Answer {
	orders := wire.Orders{Gavel: response.FencingToken, Orders: wire.OrdersOf(response.Commands)}
	return Answer{Status: http.StatusOK, Body: codec.MustMarshal(orders)}
}

// RedirectAnswer returns the answer that tells a worker to send its heartbeats to the leader
// instead.
func RedirectAnswer(leader string) Answer {
	return Answer{Status: http.StatusMisdirectedRequest, Body: codec.MustMarshal(wire.Redirect{Clerk: leader})}
}

// tryAnotherNodeAnswer tells a worker that this node can't answer its heartbeat. The worker then
// tries the next node.
func tryAnotherNodeAnswer() Answer { return Answer{Status: http.StatusServiceUnavailable} }

// malformedAnswer says that the heartbeat couldn't be read.
func malformedAnswer() Answer { return Answer{Status: http.StatusBadRequest} }

const (
	// HeartbeatPath is the path at which a controller accepts heartbeats.
	HeartbeatPath = wire.HeartbeatPath
	// DirectCommandsPath is the path at which a worker accepts direct commands.
	DirectCommandsPath = wire.OrdersPath
)

// DirectCommandsBody returns the encoded body of a request to DirectCommandsPath of a worker.
func DirectCommandsBody(direct core.DirectCommands) []byte {
	return codec.MustMarshal(wire.Orders{
		Gavel: direct.FencingToken, Shift: direct.Incarnation, Orders: wire.OrdersOf(direct.Commands),
	})
}
