package standbyrpc

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gingertally/internal/standby"
	"gingertally/internal/standby/standbypb"
)

// ErrUnsupported says that the leader's version doesn't have the stream.
var ErrUnsupported = errors.New("the leader has no warm state to follow")

// Acknowledgement is what a follower answers to a frame.
type Acknowledgement struct {
	At     standby.Position // what its copy has
	Resync bool             // it has dropped its copy and requests a snapshot
}

// Follow receives the frames of a leader, from a position on, and passes each to receive, whose
// result is sent back. It returns once the stream or ctx ends, always with an error: ErrUnsupported,
// or one that says how the stream ended.
func Follow(
	ctx context.Context, connection grpc.ClientConnInterface, self string, from standby.Position,
	receive func(standby.Frame) Acknowledgement,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := standbypb.NewStandbyClient(connection).Follow(ctx)
	if err != nil {
		return followError(err)
	}
	last := Acknowledgement{At: from}
	if err := stream.Send(followRequest(self, last)); err != nil {
		return followError(err)
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			return followError(err)
		}
		received := receive(fromWire(message))
		if received == last && !received.Resync {
			continue // the leader knows
		}
		last = received
		if err := stream.Send(followRequest(self, received)); err != nil {
			return followError(err)
		}
	}
}

// followRequest returns the message that tells the leader what a follower has.
func followRequest(self string, received Acknowledgement) *standbypb.FollowRequest {
	return &standbypb.FollowRequest{
		From: self, Term: received.At.Term, Sequence: received.At.Sequence, Resync: received.Resync,
	}
}

// followError returns the error by which a stream has ended.
func followError(err error) error {
	if status.Code(err) == codes.Unimplemented {
		return ErrUnsupported
	}
	return fmt.Errorf("follow the leader: %w", err)
}
