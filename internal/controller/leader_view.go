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

// This file gives the services for users, workers and operators access to the leader, which may be
// this controller or another one.

// queryTimeout bounds a query to the leader about a job. It is short since the state service can
// answer instead.
const queryTimeout = 400 * time.Millisecond

// userLeader implements userapi.Leader: the user API's access to the leader.
type userLeader struct{ c *Controller }

// View returns what this controller's engine knows of a job. It returns false unless this controller
// leads with a valid lease and knows the job.
func (l userLeader) View(ref string) (core.JobView, bool) {
	t := l.c.term.Load()
	if t == nil {
		return core.JobView{}, false
	}
	view, ok := t.Lookup(ref)
	// The lease is checked after the lookup, because the engine's view may be returned only if the
	// lease was still valid after the engine was read (docs/design.md, "Safety arguments" 9;
	// TestNoAnswerWhileOutcomeUnknown).
	return view, ok && t.HoldsLease()
}

// ViewFromLeader asks the leading controller about a job. It returns false if this controller itself
// leads, or if the leader is unknown, doesn't answer in time or doesn't know the job.
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

// Cancel cancels a job if this controller leads with a valid lease. Otherwise it returns the phase of
// a job that is already over, or jobstore.ErrNotLeader if the job is still active.
func (l userLeader) Cancel(ctx context.Context, ref string) (pipeline.Phase, error) {
	if t := l.c.term.Load(); t != nil && t.HoldsLease() {
		return t.Cancel(ctx, l.c.userJobs, ref)
	}
	return l.finalPhase(ctx, ref)
}

// finalPhase returns the stored phase of a job that is over. The error is jobstore.ErrNotLeader if
// the job is still active, since only the leader may cancel it.
func (l userLeader) finalPhase(ctx context.Context, ref string) (pipeline.Phase, error) {
	state, err := l.c.userJobs.Load(ctx, ref)
	switch {
	case err != nil:
	case !state.Found:
		err = jobstore.ErrUnknownJob
	case state.Phase == pipeline.Active:
		err = jobstore.ErrNotLeader
	}
	return state.Phase, err
}

// viewMessage is the form in which controllers send a core.JobView to each other.
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

// agentLeader implements agentapi.Leader: the worker API's access to the leader.
type agentLeader struct{ c *Controller }

// Heartbeat passes a worker's heartbeat to the engine and returns its response. It returns false
// unless this controller leads with a valid lease.
func (l agentLeader) Heartbeat(heartbeat fleet.Heartbeat) (core.HeartbeatResponse, bool) {
	t := l.c.term.Load()
	if t == nil {
		return core.HeartbeatResponse{}, false
	}
	return t.Heartbeat(heartbeat)
}

// Name returns the name of the controller that is believed to lead. It is empty if this controller
// has contact neither with the state service nor with its peers: the last known name may be out of
// date, and workers would be redirected in circles.
func (l agentLeader) Name() string {
	if !l.c.health.CanServe(time.Now()) {
		return ""
	}
	return l.c.elector.Leader()
}

// RelayHeartbeat forwards a worker's encoded heartbeat to the leader and returns the leader's
// answer.
func (l agentLeader) RelayHeartbeat(ctx context.Context, body []byte) (agentapi.Answer, error) {
	request := peer.Request{Method: http.MethodPost, Path: agentapi.HeartbeatPath, Body: bytes.Clone(body)}
	response, err := l.c.peers.Relay(ctx, l.c.elector.Leader(), request)
	return agentapi.Answer{Status: response.Status, Body: response.Body}, err
}

// operatorTerm returns this controller's present term for the operator API; false if it has none. The
// term's lease may have expired (operatorapi.Term.HoldsLease).
func (c *Controller) operatorTerm() (operatorapi.Term, bool) {
	t := c.term.Load()
	return t, t != nil
}

// status returns the status of this controller alone, as operators see it.
func (c *Controller) status(now time.Time) operatorapi.Status {
	return operatorapi.Status{
		Node: c.settings.Member, Version: Version, Role: c.elector.Role().String(), Leader: c.elector.Leader(),
		ServesUsers: c.healthStatus() == http.StatusOK, Standby: c.replicator.Status(now), Admission: c.overload.Status(now),
	}
}
