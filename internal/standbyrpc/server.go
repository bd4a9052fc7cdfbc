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

// Source is the leader's end of the stream. Its methods are called concurrently.
type Source interface {
	// Join begins to serve a follower from a position on. The channel is signalled when there may
	// be another frame. The error says that this controller doesn't lead.
	Join(follower string, from standby.Position) (wake <-chan struct{}, err error)
	// Next returns the next frame for a follower; false if there is none now. The error says that
	// this controller doesn't lead any more.
	Next(follower string) (frame standby.Frame, ok bool, err error)
	// Acknowledge takes in what a follower has; resync requests a snapshot for it.
	Acknowledge(follower string, at standby.Position, resync bool)
	// Leave ends the serving of a follower, unless it has joined again since and so has another
	// channel.
	Leave(follower string, wake <-chan struct{})
}

// server implements the gRPC service.
type server struct {
	standbypb.UnimplementedStandbyServer
	source Source
}

// Register adds the stream of a source to a gRPC server.
func Register(registrar grpc.ServiceRegistrar, source Source) {
	standbypb.RegisterStandbyServer(registrar, &server{source: source})
}

// pollInterval is how often a stream asks for a frame that no signal announces, such as a heartbeat.
const pollInterval = 100 * time.Millisecond

// Follow serves one follower until its stream or the leader's term ends.
//
// The goroutine that receives isn't waited for: gRPC lets its Recv return only once this method has
// returned.
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

// positionOf returns the position in a follower's message.
func positionOf(request *standbypb.FollowRequest) standby.Position {
	return standby.Position{Term: request.Term, Sequence: request.Sequence}
}

// receive passes the follower's messages to the source until the stream ends.
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
