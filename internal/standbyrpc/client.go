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

// ErrUnsupported says that the leader is of a version without the stream.
var ErrUnsupported = errors.New("the leader has no warm state to follow")

// Received is what a follower answers to a frame.
type Received struct {
	At     standby.Position
	Resync bool // its copy was dropped, and it asks for another
}

// Follow follows a leader from a position on, and hands each frame to receive, until the
// stream or ctx ends.
func Follow(ctx context.Context, connection grpc.ClientConnInterface, self string, from standby.Position, receive func(standby.Frame) Received) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := standbypb.NewStandbyClient(connection).Follow(ctx)
	if err != nil {
		return followError(err)
	}
	request := &standbypb.FollowRequest{From: self, Term: from.Term, Sequence: from.Sequence}
	if err := stream.Send(request); err != nil {
		return followError(err)
	}
	last := Received{At: from}
	for {
		message, err := stream.Recv()
		if err != nil {
			return followError(err)
		}
		received := receive(fromWire(message))
		if received == last && !received.Resync {
			continue
		}
		last = received
		answer := &standbypb.FollowRequest{From: self, Term: received.At.Term, Sequence: received.At.Sequence, Resync: received.Resync}
		if err := stream.Send(answer); err != nil {
			return followError(err)
		}
	}
}

func followError(err error) error {
	if status.Code(err) == codes.Unimplemented {
		return ErrUnsupported
	}
	return fmt.Errorf("follow the leader: %w", err)
}
