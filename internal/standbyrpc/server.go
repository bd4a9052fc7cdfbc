package standbyrpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gingertally/internal/standby"
	"gingertally/internal/standby/standbypb"
)

// Source is the leader's end of the stream. Its methods may be called concurrently.
type Source interface {
	// Join starts serving a follower from its position. The channel receives a value when there may
	// be another frame. The error reports that this controller doesn't lead.
	Join(follower string, from standby.Position) (wake <-chan struct{}, err error)
	// Next returns the next frame for a follower. Ok is false if there is none now. The error reports
	// that this controller doesn't lead any more.
	Next(follower string) (frame standby.Frame, ok bool, err error)
	// Acknowledge records a follower's position. Resync says that the follower has dropped its copy,
	// and requests that the stream restart from the position.
	Acknowledge(follower string, at standby.Position, resync bool)
	// Leave stops serving a follower. It does nothing if the follower has joined again since, and so
	// has another channel.
	Leave(follower string, wake <-chan struct{})
}

// server implements the gRPC service for a Source.
type server struct {
	standbypb.UnimplementedStandbyServer
	source Source
}

// Register registers the gRPC service that streams the frames of a source.
func Register(registrar grpc.ServiceRegistrar, source Source) {
	standbypb.RegisterStandbyServer(registrar, &server{source: source})
}

// pollInterval is how often a stream asks its source for a frame without a signal, as for heartbeats,
// which become due as time passes.
const pollInterval = 100 * time.Millisecond

// Follow serves one follower until its stream or the leader's term ends.
//
// It doesn't wait for the goroutine that receives, whose Recv may return only after this method has
// returned and so ended the stream.
func (s *server) Follow(stream standbypb.Standby_FollowServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	wake, err := s.source.Join(first.From, positionOf(first))
	if err != nil {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	defer s.source.Leave(first.From, wake)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		s.receive(stream)
	}()
	return s.send(ctx, stream, first.From, wake)
}

// positionOf returns the follower's position in a request.
func positionOf(request *standbypb.FollowRequest) standby.Position {
	return standby.Position{Term: request.Term, Sequence: request.Sequence}
}

// receive passes the follower's positions to the source until the stream ends.
func (s *server) receive(stream standbypb.Standby_FollowServer) {
	for {
		request, err := stream.Recv()
		if err != nil {
			return
		}
		s.source.Acknowledge(request.From, positionOf(request), request.Resync)
	}
}

// send sends frames until ctx or the leader's term ends. A slow follower holds up only its own
// stream.
func (s *server) send(
	ctx context.Context, stream standbypb.Standby_FollowServer, follower string, wake <-chan struct{},
) error {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		frame, ok, err := s.source.Next(follower)
		switch {
		case err != nil:
			return status.Error(codes.FailedPrecondition, err.Error())
		case ok:
			if err := stream.Send(toWire(frame)); err != nil {
				return err
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		case <-poll.C:
		}
	}
}
