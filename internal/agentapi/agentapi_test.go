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

// leader is the leading node as a test sets it.
type leader struct {
	here       bool
	name       string
	reply      core.HeartbeatResponse
	relayed    int
	broken     bool
	heartbeats int
}

func (l *leader) Heartbeat(fleet.Heartbeat) (core.HeartbeatResponse, bool) {
	if l.here {
		l.heartbeats++
	}
	return l.reply, l.here
}

func (l *leader) Name() string { return l.name }

func (l *leader) RelayHeartbeat(context.Context, []byte) (int, []byte, error) {
	l.relayed++
	if l.broken {
		return 0, nil, errors.New("cut off")
	}
	return 200, []byte{1}, nil
}

func beat(machine string) []byte {
	return codec.MustMarshal(map[string]any{"stall": machine, "endpoint": "x:1", "build": "g8", "yard": "a", "loaners": true,
		"shift": 1, "tick": 1, "gavel": 0, "lots": []any{}})
}

func TestReport(t *testing.T) {
	ctx := context.Background()
	l := &leader{}
	s := &Service{Self: "n-0", Leader: l}
	if a := s.Heartbeat(ctx, []byte("nonsense")); a.Status != 400 || l.heartbeats != 0 {
		t.Fatalf("malformed report: %d", a.Status)
	}
	// No valid lease, and no leader known: never a 200, which would keep the worker.
	if a := s.Heartbeat(ctx, beat("m-1")); a.Status != 503 {
		t.Fatalf("no leader: %d", a.Status)
	}
	l.name = "n-0" // this node, but without a valid lease at the moment
	if a := s.Heartbeat(ctx, beat("m-1")); a.Status != 503 {
		t.Fatalf("no valid lease: %d", a.Status)
	}
	l.here, l.reply = true, core.HeartbeatResponse{OK: true, FencingToken: 7}
	var o wire.Orders
	if a := s.Heartbeat(ctx, beat("m-1")); a.Status != 200 || codec.Unmarshal(a.Body, &o) != nil || o.Gavel != 7 {
		t.Fatalf("valid lease: %d, %+v", a.Status, o)
	}
	l.reply = core.HeartbeatResponse{}
	if a := s.Heartbeat(ctx, beat("m-1")); a.Status != 503 {
		t.Fatalf("refused by the core: %d", a.Status)
	}
}

// A worker that comes back from being sent to the leader evidently can't reach
// it: sent in circles, it would lose its tasks when its lease ends.
func TestRelayForWorkersThatComeBack(t *testing.T) {
	ctx := context.Background()
	l := &leader{name: "n-1"}
	s := &Service{Self: "n-0", Leader: l}
	var r wire.Redirect
	if a := s.Heartbeat(ctx, beat("m-1")); a.Status != 421 || codec.Unmarshal(a.Body, &r) != nil || r.Clerk != "n-1" {
		t.Fatalf("first report: %d, %+v", a.Status, r)
	}
	if a := s.Heartbeat(ctx, beat("m-2")); a.Status != 421 {
		t.Fatalf("another worker's first report: %d", a.Status)
	}
	for range 3 {
		if a := s.Heartbeat(ctx, beat("m-1")); a.Status != 200 {
			t.Fatalf("back again: %d", a.Status)
		}
	}
	if l.relayed != 3 {
		t.Fatalf("%d relayed", l.relayed)
	}
	l.broken = true
	if a := s.Heartbeat(ctx, beat("m-1")); a.Status != 503 {
		t.Fatalf("relay fails: %d", a.Status)
	}
	// What another node passed on goes no further.
	if a := s.Relayed(beat("m-2")); a.Status != 503 || l.relayed != 4 {
		t.Fatalf("relayed twice: %d", a.Status)
	}
	// With a new leader it has to be sent there first.
	l.name, l.broken = "n-2", false
	if a := s.Heartbeat(ctx, beat("m-2")); a.Status != 421 {
		t.Fatalf("after a change of leader: %d", a.Status)
	}
}
