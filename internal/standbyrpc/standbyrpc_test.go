package standbyrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"gingertally/internal/standby"
)

// testSource is a Source with a real Publisher. Without one, it is that of a controller that doesn't
// lead.
type testSource struct {
	mu         sync.Mutex
	publisher  *standby.Publisher // nil if this controller doesn't lead
	wake       chan struct{}
	leaveCalls int // number of calls of Leave
}

var errNotLeading = errors.New("not leading")

// Join implements Source.
func (s *testSource) Join(follower string, from standby.Position) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.publisher == nil {
		return nil, errNotLeading
	}
	s.publisher.AddFollower(follower, from)
	return s.wake, nil
}

// Next implements Source.
func (s *testSource) Next(follower string) (standby.Frame, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.publisher == nil {
		return standby.Frame{}, false, errNotLeading
	}
	frame, ok := s.publisher.Next(time.Now(), follower)
	return frame, ok, nil
}

// Acknowledge implements Source.
func (s *testSource) Acknowledge(follower string, at standby.Position, resync bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.publisher == nil:
	case resync:
		s.publisher.AddFollower(follower, at)
	default:
		s.publisher.Acknowledge(follower, at)
	}
}

// Leave implements Source.
func (s *testSource) Leave(string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveCalls++
}

// publishChanges publishes a change for each number from from up to, not including, to, and signals
// them.
func (s *testSource) publishChanges(from, to int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := from; i < to; i++ {
		s.publisher.Publish([]standby.Entry{{Key: fmt.Sprint("k", i%50), Value: fmt.Append(nil, i)}})
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// caughtUp reports whether follower b has all changes.
func (s *testSource) caughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publisher.CaughtUp("b")
}

// serve serves a source on the loopback interface and returns a connection to the server. A nil source
// means a version without the stream.
func serve(t *testing.T, s *testSource) *grpc.ClientConn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	if s != nil {
		Register(server, s)
	}
	go func() { _ = server.Serve(listener) }() // returns after Stop
	t.Cleanup(server.Stop)
	connection, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// newLeader returns the Source of a leader in term 3.
func newLeader() *testSource {
	options := standby.Options{QueueBound: 1000, SnapshotInterval: time.Millisecond, Heartbeat: 20 * time.Millisecond}
	return &testSource{publisher: standby.NewPublisher(3, options), wake: make(chan struct{}, 1)}
}

// A follower receives a snapshot and then each change, requests a snapshot after it has dropped its
// copy, and ends up with the leader's state. Otherwise every takeover would be a cold one.
func TestFollow(t *testing.T) {
	s := newLeader()
	connection := serve(t, s)
	s.publishChanges(0, 200)
	replica := standby.NewReplica()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	frames := 0
	ended := make(chan error, 1)
	go func() {
		ended <- Follow(ctx, connection, "b", replica.Position(), func(f standby.Frame) Acknowledgement {
			if frames++; frames == 4 {
				replica.Reset() // as after a digest that differs
				return Acknowledgement{Resync: true}
			}
			outcome := replica.Apply(f)
			return Acknowledgement{At: replica.Position(), Resync: outcome.NeedsSnapshot()}
		})
	}()
	for i := range 20 {
		s.publishChanges(200+20*i, 220+20*i)
		time.Sleep(2 * time.Millisecond)
	}
	for deadline := time.Now().Add(20 * time.Second); !s.caughtUp(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the follower didn't catch up")
		}
	}
	cancel()
	if err := <-ended; err == nil {
		t.Fatal("no error when the stream ended")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := fmt.Sprint(replica.Entries()), fmt.Sprint(s.publisher.Snapshot().Entries); got != want {
		t.Fatalf("the follower has %s, the leader %s", got, want)
	}
	if s.publisher.Snapshots("b") < 2 {
		t.Fatalf("%d snapshots, want at least 2", s.publisher.Snapshots("b"))
	}
}

// A controller that doesn't lead refuses followers, and one whose version doesn't have the stream is
// distinguished by ErrUnsupported. Otherwise followers would keep asking it without a long pause.
func TestNobodyToFollow(t *testing.T) {
	receive := func(standby.Frame) Acknowledgement { return Acknowledgement{} }
	err := Follow(t.Context(), serve(t, &testSource{}), "b", standby.Position{}, receive)
	if err == nil || errors.Is(err, ErrUnsupported) {
		t.Fatalf("error from a controller that doesn't lead: %v", err)
	}
	if err := Follow(t.Context(), serve(t, nil), "b", standby.Position{}, receive); !errors.Is(err, ErrUnsupported) {
		t.Fatalf("error from a version without the stream: %v", err)
	}
}

// Frames don't change when they are sent and received, and a frame of a kind that only a later version
// knows is treated as a heartbeat. It must neither end the stream nor change the copy.
func TestFramesOnTheWire(t *testing.T) {
	for _, f := range []standby.Frame{
		{
			Kind: standby.Snapshot, Term: 1, Sequence: 9, Newest: 12, Part: 2, Last: true, HasDigest: true, Digest: 77,
			Entries: []standby.Entry{{Key: "a", Value: []byte("x")}},
		},
		{
			Kind: standby.Changes, Term: 1, Sequence: 9, Newest: 9,
			Entries: []standby.Entry{{Key: "a"}, {Key: "b", Value: []byte{0}}},
		},
		{Kind: standby.Heartbeat, Term: 2, Sequence: 1, Newest: 1, HasDigest: true},
		{Kind: standby.HandOver, Term: 2, Successor: "c"},
	} {
		if got := fromWire(toWire(f)); fmt.Sprintf("%#v", got) != fmt.Sprintf("%#v", f) {
			t.Errorf("%#v became %#v", f, got)
		}
	}
	later := toWire(standby.Frame{Kind: standby.Changes, Term: 4})
	later.Kind = 99
	if got := fromWire(later); got.Kind != standby.Heartbeat {
		t.Errorf("an unknown kind became %v", got.Kind)
	}
}

// The stream ends with the leader's term although nothing closes the connection, so that the follower
// can follow the next leader, which may be the same controller. The stream once stayed open forever.
func TestStreamEndsWithTheTerm(t *testing.T) {
	s := newLeader()
	connection := serve(t, s)
	s.publishChanges(0, 10)
	ended := make(chan error, 1)
	received := make(chan struct{}, 1000)
	replica := standby.NewReplica()
	go func() {
		ended <- Follow(t.Context(), connection, "b", standby.Position{}, func(f standby.Frame) Acknowledgement {
			replica.Apply(f)
			received <- struct{}{}
			return Acknowledgement{At: replica.Position()}
		})
	}()
	<-received
	s.mu.Lock()
	s.publisher = nil
	s.mu.Unlock()
	select {
	case err := <-ended:
		if err == nil || errors.Is(err, ErrUnsupported) {
			t.Fatalf("the stream ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the stream didn't end with the term")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaveCalls != 1 {
		t.Fatalf("Leave was called %d times, want 1", s.leaveCalls)
	}
}
