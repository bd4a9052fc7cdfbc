package daemon

import (
	"context"
	"net/http"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/standby"
)

// holdResponse is for how long at a time the answer to a heartbeat of a machine with
// room is held, for the next round to place something there and the store to take
// that. Workers wait 4 s for an answer.
const holdResponse = 250 * time.Millisecond

// heartbeat hands a worker's heartbeat to the engine, if this node holds the leader's lease,
// and checks the lease once more at the moment of answering (docs/design.md, "Who may
// act"; TestOneLeader).
func (s *leaderSession) heartbeat(report fleet.Heartbeat) (core.HeartbeatResponse, bool) {
	if !s.holdsLease() {
		return core.HeartbeatResponse{}, false
	}
	effects := s.step(core.HeartbeatReceived{Heartbeat: report})
	if effects.Response != nil && effects.Response.OK {
		s.noteContact() // a late copy says nothing about whom this node reaches
	}
	for effects.Response != nil && effects.Response.Held {
		if !sleep(s.ctx, holdResponse) || !s.holdsLease() {
			return core.HeartbeatResponse{}, false
		}
		effects = s.step(core.HeldResponseDue{Heartbeat: report})
	}
	if effects.Response == nil || !s.holdsLease() {
		return core.HeartbeatResponse{}, false
	}
	s.daemon.metrics.countCommands(effects.Response.Commands)
	s.noteAnswer(effects.Response)
	return *effects.Response, true
}

// noteAnswer notes the first answer and the first start of a term, which end its takeover.
func (s *leaderSession) noteAnswer(reply *core.HeartbeatResponse) {
	if s.daemon.warm == nil || !reply.OK || s.startedAny.Load() {
		return
	}
	s.daemon.warm.reach(standby.FirstAnswer)
	for _, command := range reply.Commands {
		if command.Kind == fleet.Start {
			s.startedAny.Store(true)
			s.daemon.warm.reach(standby.FirstStart)
			return
		}
	}
}

// agentLeader is the leading node as the workers' service sees it.
type agentLeader struct{ daemon *Daemon }

// Heartbeat hands a worker's heartbeat to the engine, if this node leads.
func (a agentLeader) Heartbeat(report fleet.Heartbeat) (core.HeartbeatResponse, bool) {
	s := a.daemon.session.Load()
	if s == nil {
		return core.HeartbeatResponse{}, false
	}
	return s.heartbeat(report)
}

// Name is empty on a node that reaches nobody: what it last knew would send
// workers round in circles.
func (a agentLeader) Name() string {
	if !a.daemon.health.Serves(time.Now()) {
		return ""
	}
	return a.daemon.elector.Leader()
}

// RelayHeartbeat passes a worker's heartbeat on to the leader.
func (a agentLeader) RelayHeartbeat(ctx context.Context, body []byte) (int, []byte, error) {
	leader := a.daemon.elector.Leader()
	return a.daemon.peers.Relay(ctx, leader, http.MethodPost, heartbeatPath, append([]byte(nil), body...))
}
