package controller

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"gingertally/internal/agentapi"
	"gingertally/internal/codec"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/core/pipeline"
	"gingertally/internal/jobstore"
	"gingertally/internal/peer"
)

// The leader, be it this controller or another, as those see it whom a controller serves.

// queryTimeout is short: the state service answers as well.
const queryTimeout = 400 * time.Millisecond

// userLeader is the leader as users' calls see it (userapi.Leader).
type userLeader struct{ c *Controller }

// View is what this controller, as the leader with a valid lease, knows of a job.
func (l userLeader) View(ref string) (core.JobView, bool) {
	t := l.c.term.Load()
	if t == nil {
		return core.JobView{}, false
	}
	view, ok := t.Lookup(ref)
	// Checked after the look-up: what was known then may be told only while the lease
	// is still valid (docs/design.md, "Safety arguments" 9; TestNoAnswerInDoubt).
	return view, ok && t.HoldsLease()
}

// ViewFromLeader asks the leading controller about a job.
func (l userLeader) ViewFromLeader(ctx context.Context, ref string) (core.JobView, bool) {
	leader := l.c.elector.Leader()
	if leader == "" || leader == l.c.settings.Member {
		return core.JobView{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := l.c.peers.Relay(ctx, leader, peer.Request{Method: http.MethodGet, Path: viewPath + ref})
	if err != nil || response.Status != http.StatusOK {
		return core.JobView{}, false
	}
	return decodeView(response.Body)
}

// Cancel cancels a job as the leader. Any other controller only tells what is final already.
func (l userLeader) Cancel(ctx context.Context, ref string) (pipeline.Phase, error) {
	if t := l.c.term.Load(); t != nil && t.HoldsLease() {
		return t.Cancel(ctx, l.c.jobs, ref)
	}
	return l.finalPhase(ctx, ref)
}

// finalPhase is a job's phase as the store has it, if that is final.
func (l userLeader) finalPhase(ctx context.Context, ref string) (pipeline.Phase, error) {
	state, err := l.c.jobs.Load(ctx, ref)
	switch {
	case err != nil:
	case !state.Found:
		err = jobstore.ErrUnknownJob
	case state.Phase == pipeline.Active:
		err = jobstore.ErrNotLeader
	}
	return state.Phase, err
}

// viewMessage is a job's view between controllers.
type viewMessage struct {
	Phase   pipeline.Phase `cbor:"p"`
	Done    int            `cbor:"Done"`
	Running int            `cbor:"Running"`
}

func encodeView(view core.JobView) []byte {
	return codec.MustMarshal(viewMessage{Phase: view.Phase, Done: view.Done, Running: view.Running})
}

func decodeView(body []byte) (core.JobView, bool) {
	var message viewMessage
	err := codec.Unmarshal(body, &message)
	return core.JobView{Phase: message.Phase, Done: message.Done, Running: message.Running}, err == nil
}

// agentLeader is the leader as workers' heartbeats see it (agentapi.Leader).
type agentLeader struct{ c *Controller }

// Heartbeat hands a worker's heartbeat to the engine, if this controller leads.
func (l agentLeader) Heartbeat(heartbeat fleet.Heartbeat) (core.HeartbeatResponse, bool) {
	t := l.c.term.Load()
	if t == nil {
		return core.HeartbeatResponse{}, false
	}
	return t.Heartbeat(heartbeat)
}

// Name is empty on a controller that reaches nobody: what it last knew would send
// workers round in circles.
func (l agentLeader) Name() string {
	if !l.c.health.Serves(time.Now()) {
		return ""
	}
	return l.c.elector.Leader()
}

// RelayHeartbeat passes a worker's heartbeat on to the leader.
func (l agentLeader) RelayHeartbeat(ctx context.Context, body []byte) (agentapi.Answer, error) {
	request := peer.Request{Method: http.MethodPost, Path: agentapi.HeartbeatPath, Body: bytes.Clone(body)}
	response, err := l.c.peers.Relay(ctx, l.c.elector.Leader(), request)
	return agentapi.Answer{Status: response.Status, Body: response.Body}, err
}

// operatorTerm is this controller's term as operators' calls see it.
func (c *Controller) operatorTerm() (operatorapi.Term, bool) {
	t := c.term.Load()
	return t, t != nil
}

// status is what operators are shown of this controller alone.
func (c *Controller) status(now time.Time) operatorapi.Status {
	return operatorapi.Status{
		Node: c.settings.Member, Version: Version, Role: c.elector.Role().String(), Leader: c.elector.Leader(),
		Serves: c.healthStatus() == http.StatusOK, Standby: c.replicator.Status(now), Admission: c.overload.Status(now),
	}
}
