package controller

import (
	"context"
	"net/http"
	"strings"

	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/controller/overload"
)

// viewPath is where a controller asks the leader about a job; between controllers only.
const viewPath = "/view/"

// servePeer serves what another controller forwarded or asks.
func (c *Controller) servePeer(ctx context.Context, _, method, path string, body []byte) (status int, reply []byte) {
	switch path {
	case heartbeatPath:
		answer := c.agents.Relayed(body)
		return answer.Status, answer.Body
	case pingPath:
		return http.StatusOK, nil
	case extensionPath:
		return c.grantExtension(ctx), nil
	case overload.ExchangePath:
		return c.overload.ServeExchange(body)
	case operatorapi.DrainPreviewPath:
		return c.operators.PreviewDrain(body)
	case operatorapi.StatusPath:
		return http.StatusOK, c.operators.PeerStatus()
	}
	if ref, ok := strings.CutPrefix(path, viewPath); ok {
		return c.serveView(ref)
	}
	return c.users.Forwarded(ctx, method, path, body)
}

// serveView tells another controller what this one, as the leader, knows of a job.
func (c *Controller) serveView(ref string) (status int, reply []byte) {
	view, ok := userLeader{c}.View(ref)
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, encodeView(view)
}
