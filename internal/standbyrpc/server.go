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

// Source is the leader's end of the stream. Its methods may be called at the same time.
type Source interface {
	// Join has a follower served from a position on. The channel is signalled when there
	// may be a next frame. It fails on a node that doesn't lead.
	Join(follower string, from standby.Position) (wake <-chan struct{}, err error)
	// Next is the next frame for a follower, if there is one. It fails once the node leads
	// no longer.
	Next(follower string) (frame standby.Frame, ok bool, err error)
	// Acknowledge notes a follower's position; resync says that its copy was dropped.
	Acknowledge(follower string, at standby.Position, resync bool)
	// Leave forgets a follower, unless it has joined anew since.
	Leave(follower string, wake <-chan struct{})
}

type server struct {
	standbypb.UnimplementedStandbyServer
	source Source
}

// Register has a gRPC server serve followers.
func Register(registrar grpc.ServiceRegistrar, source Source) {
	standbypb.RegisterStandbyServer(registrar, &server{source: source})
}

// pollEvery is how often a stream looks for a frame that nothing has signalled, such as a
// heartbeat.
const pollEvery = 100 * time.Millisecond

// Follow serves one follower until it or the leader's term ends.
func (s *server) Follow(stream standbypb.Standby_FollowServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	wake, err := s.source.Join(first.From, standby.Position{Term: first.Term, Sequence: first.Sequence})
	if err != nil {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	defer s.source.Leave(first.From, wake)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		s.receive(stream) // ends at the latest once this call has returned
	}()
	return s.send(ctx, stream, first.From, wake)
}

// receive takes in the follower's positions until the stream ends.
func (s *server) receive(stream standbypb.Standby_FollowServer) {
	for {
		request, err := stream.Recv()
		if err != nil {
			return
		}
		s.source.Acknowledge(request.From, standby.Position{Term: request.Term, Sequence: request.Sequence}, request.Resync)
	}
}

// send sends frames as they come. A follower that is slow holds up this stream alone.
func (s *server) send(ctx context.Context, stream standbypb.Standby_FollowServer, follower string, wake <-chan struct{}) error {
	poll := time.NewTicker(pollEvery)
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
