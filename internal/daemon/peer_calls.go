package daemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/pipeline"
)

// viewPath is where a node asks the leader about a job; between nodes only.
const viewPath = "/view/"

// servePeer serves what another node forwarded or asks.
func (d *Daemon) servePeer(ctx context.Context, _, method, path string, body []byte) (int, []byte) {
	switch path {
	case heartbeatPath:
		answer := d.agents.Relayed(body)
		return answer.Status, answer.Body
	case pingPath:
		return http.StatusOK, nil
	case extensionPath:
		return d.grantExtension(ctx), nil
	case admissionPath:
		return d.serveExchange(body)
	case drainPreviewPath:
		return d.previewDrain(body)
	case StatusPath:
		return http.StatusOK, d.status(time.Now()).encode()
	}
	if ref, ok := strings.CutPrefix(path, viewPath); ok {
		return d.serveView(ref)
	}
	answer := d.serveUserWithin(ctx, submitTimeout, method, path, body)
	if answer.Body == nil {
		return answer.Status, nil
	}
	return answer.Status, codec.MustMarshal(answer.Body)
}

// serveView tells another node what this one, as the leader, knows of a job.
func (d *Daemon) serveView(ref string) (int, []byte) {
	view, ok := d.View(ref)
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, encodeView(view)
}

// viewMessage is a job's view between nodes.
type viewMessage struct {
	Phase         pipeline.Phase `cbor:"p"`
	Done, Running int
}

func encodeView(view core.JobView) []byte { return codec.MustMarshal(viewMessage(view)) }

func decodeView(body []byte) (core.JobView, bool) {
	var message viewMessage
	err := codec.Unmarshal(body, &message)
	return core.JobView(message), err == nil
}
