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

// ErrUnsupported reports that the leader's version doesn't have the stream.
var ErrUnsupported = errors.New("the leader's version has no stream of the warm state")

// Acknowledgement is a follower's answer to a frame.
type Acknowledgement struct {
	At     standby.Position // the position of its copy
	Resync bool             // it has dropped its copy, and requests that the stream restart from At
}

// Follow receives a leader's frames from a position on and passes each to receive. It sends the result
// back, unless that repeats the last one and doesn't set Resync. It returns once the stream or ctx
// ends, always with an error: ErrUnsupported, or one that says how the stream ended.
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
	lastSent := Acknowledgement{At: from}
	if err := stream.Send(followRequest(self, lastSent)); err != nil {
		return followError(err)
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			return followError(err)
		}
		acknowledgement := receive(fromWire(message))
		if acknowledgement == lastSent && !acknowledgement.Resync {
			continue // the leader already has this acknowledgement
		}
		lastSent = acknowledgement
		if err := stream.Send(followRequest(self, acknowledgement)); err != nil {
			return followError(err)
		}
	}
}

// followRequest returns the message that tells the leader a follower's position.
func followRequest(self string, acknowledgement Acknowledgement) *standbypb.FollowRequest {
	return &standbypb.FollowRequest{
		From: self, Term: acknowledgement.At.Term, Sequence: acknowledgement.At.Sequence, Resync: acknowledgement.Resync,
	}
}

// followError returns the error of Follow for the error with which the stream ended.
func followError(err error) error {
	if status.Code(err) == codes.Unimplemented {
		return ErrUnsupported
	}
	return fmt.Errorf("follow the leader: %w", err)
}
