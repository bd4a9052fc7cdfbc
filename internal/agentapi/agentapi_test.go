package agentapi

import (
	"context"
	"errors"
	"testing"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/wire"
)

// fakeLeader is the leading node as a test sets it up.
type fakeLeader struct {
	holdsLease  bool // this node
	name        string
	response    core.HeartbeatResponse
	unreachable bool // for relayed heartbeats
	heartbeats  int  // that this node's engine was handed
	relayed     int  // heartbeats that were to be relayed
}

func (l *fakeLeader) Heartbeat(fleet.Heartbeat) (core.HeartbeatResponse, bool) {
	if l.holdsLease {
		l.heartbeats++
	}
	return l.response, l.holdsLease
}

func (l *fakeLeader) Name() string { return l.name }

func (l *fakeLeader) RelayHeartbeat(context.Context, []byte) (Answer, error) {
	l.relayed++
	if l.unreachable {
		return Answer{}, errors.New("cut off")
	}
	return Answer{Status: 200, Body: []byte{1}}, nil
}

// encodedHeartbeat is a heartbeat of a machine without tasks.
func encodedHeartbeat(machine string) []byte {
	return codec.MustMarshal(map[string]any{"stall": machine, "endpoint": "x:1", "build": "g8", "yard": "a", "loaners": true,
		"shift": 1, "tick": 1, "gavel": 0, "lots": []any{}})
}

// Only a node that holds the leader's lease answers a heartbeat with 200: any other 200 would have
// the worker stay at a node that can't command it, and keep its lease without a leader that knows.
func TestHeartbeatAnsweredOnlyUnderLease(t *testing.T) {
	ctx := context.Background()
	l := &fakeLeader{}
	s := &Service{Self: "n-0", Leader: l}
	if a := s.Heartbeat(ctx, []byte("nonsense")); a.Status != 400 || l.heartbeats != 0 {
		t.Fatalf("malformed heartbeat: %d", a.Status)
	}
	// No valid lease, and no leader known.
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 503 {
		t.Fatalf("no leader: %d", a.Status)
	}
	l.name = "n-0" // this node, but without a valid lease at the moment
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 503 {
		t.Fatalf("no valid lease: %d", a.Status)
	}
	l.holdsLease, l.response = true, core.HeartbeatResponse{OK: true, FencingToken: 7}
	var o wire.Orders
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 200 || codec.Unmarshal(a.Body, &o) != nil || o.Gavel != 7 {
		t.Fatalf("valid lease: %d, %+v", a.Status, o)
	}
	l.response = core.HeartbeatResponse{}
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 503 {
		t.Fatalf("refused by the core: %d", a.Status)
	}
}

// A worker that comes back after its redirect evidently can't reach the leader. Its heartbeats are
// relayed: if it were redirected in circles, it would lose its tasks when its lease expires.
func TestRelayForWorkersThatComeBack(t *testing.T) {
	ctx := context.Background()
	l := &fakeLeader{name: "n-1"}
	s := &Service{Self: "n-0", Leader: l}
	var r wire.Redirect
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 421 || codec.Unmarshal(a.Body, &r) != nil || r.Clerk != "n-1" {
		t.Fatalf("first heartbeat: %d, %+v", a.Status, r)
	}
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-2")); a.Status != 421 {
		t.Fatalf("another worker's first heartbeat: %d", a.Status)
	}
	for range 3 {
		if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 200 {
			t.Fatalf("back again: %d", a.Status)
		}
	}
	if l.relayed != 3 {
		t.Fatalf("%d relayed", l.relayed)
	}
	l.unreachable = true
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 503 {
		t.Fatalf("relay fails: %d", a.Status)
	}
	// What another node relayed is not relayed again.
	if a := s.Relayed(encodedHeartbeat("m-2")); a.Status != 503 || l.relayed != 4 {
		t.Fatalf("relayed twice: %d", a.Status)
	}
	// After a change of leader it is redirected first.
	l.name, l.unreachable = "n-2", false
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-2")); a.Status != 421 {
		t.Fatalf("after a change of leader: %d", a.Status)
	}
}
