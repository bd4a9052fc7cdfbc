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

// fakeLeader is a Leader that a test configures. It counts the heartbeats that it receives while it
// holds the lease, and the attempts to relay one.
type fakeLeader struct {
	holdsLease  bool   // this node holds the leader's lease
	name        string // result of Name
	response    core.HeartbeatResponse
	unreachable bool // relaying to the leader fails
	heartbeats  int  // heartbeats received while holdsLease was set
	relayed     int  // attempts to relay a heartbeat to the leader, including failed ones
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

// encodedHeartbeat returns the encoded heartbeat of a machine without tasks.
func encodedHeartbeat(machine string) []byte {
	return codec.MustMarshal(map[string]any{"stall": machine, "endpoint": "x:1", "build": "g8", "yard": "a", "loaners": true,
		"shift": 1, "tick": 1, "gavel": 0, "lots": []any{}})
}

// Only a node that holds the leader's lease may answer a heartbeat with 200. Any other 200 would
// make the worker stay at a node that can't command it, and renew its lease without the leader's
// knowledge.
func TestHeartbeatAnsweredOnlyUnderLease(t *testing.T) {
	ctx := context.Background()
	l := &fakeLeader{}
	s := &Service{Self: "n-0", Leader: l}
	if a := s.Heartbeat(ctx, []byte("nonsense")); a.Status != 400 || l.heartbeats != 0 {
		t.Fatalf("malformed heartbeat: status %d, want 400 and none passed to the engine", a.Status)
	}
	// No valid lease, and no leader known.
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 503 {
		t.Fatalf("no leader known: status %d, want 503", a.Status)
	}
	l.name = "n-0" // this node, but without a valid lease at the moment
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 503 {
		t.Fatalf("leader without a valid lease: status %d, want 503", a.Status)
	}
	l.holdsLease, l.response = true, core.HeartbeatResponse{OK: true, FencingToken: 7}
	var o wire.Orders
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 200 || codec.Unmarshal(a.Body, &o) != nil || o.Gavel != 7 {
		t.Fatalf("leader with a valid lease: status %d, %+v, want 200 with fencing token 7", a.Status, o)
	}
	l.response = core.HeartbeatResponse{}
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 503 {
		t.Fatalf("heartbeat refused by the engine: status %d, want 503", a.Status)
	}
}

// A worker that comes back soon after its redirect evidently can't reach the leader, so its
// heartbeats are relayed. If it were redirected again and again, its lease would expire and it
// would lose its tasks.
func TestRelayForWorkersThatComeBack(t *testing.T) {
	ctx := context.Background()
	l := &fakeLeader{name: "n-1"}
	s := &Service{Self: "n-0", Leader: l}
	var r wire.Redirect
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 421 || codec.Unmarshal(a.Body, &r) != nil || r.Clerk != "n-1" {
		t.Fatalf("first heartbeat: status %d, %+v, want 421 to n-1", a.Status, r)
	}
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-2")); a.Status != 421 {
		t.Fatalf("another worker's first heartbeat: status %d, want 421", a.Status)
	}
	for range 3 {
		if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 200 {
			t.Fatalf("heartbeat after the redirect: status %d, want 200", a.Status)
		}
	}
	if l.relayed != 3 {
		t.Fatalf("%d heartbeats relayed, want 3", l.relayed)
	}
	l.unreachable = true
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-1")); a.Status != 503 {
		t.Fatalf("relaying fails: status %d, want 503", a.Status)
	}
	// A heartbeat that another node relayed is not relayed again.
	if a := s.RelayedHeartbeat(encodedHeartbeat("m-2")); a.Status != 503 || l.relayed != 4 {
		t.Fatalf("heartbeat relayed by another node: status %d, want 503 without relaying it again", a.Status)
	}
	// After a change of leader, a worker that was redirected is redirected to the new leader first.
	l.name, l.unreachable = "n-2", false
	if a := s.Heartbeat(ctx, encodedHeartbeat("m-2")); a.Status != 421 {
		t.Fatalf("after a change of leader: status %d, want 421", a.Status)
	}
}
