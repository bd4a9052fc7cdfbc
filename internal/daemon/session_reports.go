package daemon

import (
	"context"
	"net/http"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/standby"
)

// holdReply is for how long at a time the answer to a report of a machine with
// room is held, for the next round to place something there and the store to take
// that. Workers wait 4 s for an answer.
const holdReply = 250 * time.Millisecond

// report hands a worker's report to the engine, if this node holds the leader's lease,
// and checks the lease once more at the moment of answering (docs/design.md, "Who may
// act"; TestOneLeader).
func (s *leaderSession) report(report fleet.Report) (core.Reply, bool) {
	if !s.holdsLease() {
		return core.Reply{}, false
	}
	effects := s.step(core.ReportIn{Report: report})
	if effects.Reply != nil && effects.Reply.OK {
		s.noteContact() // a late copy says nothing about whom this node reaches
	}
	for effects.Reply != nil && effects.Reply.Hold {
		if !sleep(s.ctx, holdReply) || !s.holdsLease() {
			return core.Reply{}, false
		}
		effects = s.step(core.Collect{Report: report})
	}
	if effects.Reply == nil || !s.holdsLease() {
		return core.Reply{}, false
	}
	s.daemon.metrics.countCommands(effects.Reply.Commands)
	s.noteAnswer(effects.Reply)
	return *effects.Reply, true
}

// noteAnswer notes the first answer and the first start of a term, which end its takeover.
func (s *leaderSession) noteAnswer(reply *core.Reply) {
	if s.daemon.warm == nil || !reply.OK || s.startedAny.Load() {
		return
	}
	s.daemon.warm.reach(standby.FirstAnswer)
	for _, command := range reply.Commands {
		if command.Op == fleet.Start {
			s.startedAny.Store(true)
			s.daemon.warm.reach(standby.FirstStart)
			return
		}
	}
}

// agentLeader is the leading node as the workers' service sees it.
type agentLeader struct{ daemon *Daemon }

// Report hands a worker's report to the engine, if this node leads.
func (a agentLeader) Report(report fleet.Report) (core.Reply, bool) {
	s := a.daemon.session.Load()
	if s == nil {
		return core.Reply{}, false
	}
	return s.report(report)
}

// Name is empty on a node that reaches nobody: what it last knew would send
// workers round in circles.
func (a agentLeader) Name() string {
	if !a.daemon.health.Serves(time.Now()) {
		return ""
	}
	return a.daemon.elector.Leader()
}

// RelayReport passes a worker's report on to the leader.
func (a agentLeader) RelayReport(ctx context.Context, body []byte) (int, []byte, error) {
	leader := a.daemon.elector.Leader()
	return a.daemon.peers.Relay(ctx, leader, http.MethodPost, beatPath, append([]byte(nil), body...))
}
