package controller

import (
	"context"
	"net/http"
	"strings"

	"gingertally/internal/agentapi"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/controller/overload"
	"gingertally/internal/peer"
)

// viewPath is the prefix of the path at which controllers ask the leader about a job. It is followed
// by the job's reference, and is served to other controllers only.
const viewPath = "/view/"

// servePeer serves a request from another controller: one of its own, or a call of a worker, user or
// operator that it forwards.
func (c *Controller) servePeer(ctx context.Context, request peer.Request) peer.Response {
	switch request.Path {
	case agentapi.HeartbeatPath:
		answer := c.agents.RelayedHeartbeat(request.Body)
		return peer.Response{Status: answer.Status, Body: answer.Body}
	case pingPath:
		return peer.Response{Status: http.StatusOK}
	case extensionPath:
		return peer.Response{Status: c.grantExtension(ctx)}
	case overload.ExchangePath:
		return c.overload.ServeExchange(request.Body)
	case operatorapi.DrainPreviewPath:
		return c.operators.PreviewDrain(request.Body)
	case operatorapi.StatusPath:
		return peer.Response{Status: http.StatusOK, Body: c.operators.PeerStatus()}
	}
	if ref, ok := strings.CutPrefix(request.Path, viewPath); ok {
		return c.serveView(ref)
	}
	return c.users.HandleForwarded(ctx, request)
}

// serveView answers another controller's query about a job. The status is 404 unless this controller
// leads with a valid lease and knows the job.
func (c *Controller) serveView(ref string) peer.Response {
	view, ok := userLeader{c}.View(ref)
	if !ok {
		return peer.Response{Status: http.StatusNotFound}
	}
	return peer.Response{Status: http.StatusOK, Body: encodeView(view)}
}
