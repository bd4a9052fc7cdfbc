package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
)

// Paths of the operators' interface to drains, which any controller serves. Bodies are JSON.
const (
	// DrainsPath takes new plans (POST, a drain.Plan). A plan's name and a verb behind it change
	// its phase: DrainsPath/NAME/pause, resume or cancel (POST).
	DrainsPath = "/drains"
	// drainPreviewPath tells what a plan would do (POST, a drain.Plan).
	drainPreviewPath = DrainsPath + "/preview"
)

// drainVerbs are the phases that operators may take a plan to.
var drainVerbs = map[string]drain.Phase{"pause": drain.Paused, "resume": drain.Running, "cancel": drain.Cancelled}

// drainCallTimeout bounds an operator's call, which reaches the state service or the leader.
const drainCallTimeout = 3 * time.Second

// drainRetryAfter is when an operator whose call couldn't be served may come again, in seconds.
const drainRetryAfter = "1"

// drainError is the body of an answer that isn't 200.
type drainError struct {
	Error string `json:"error"`
}

// handleDrain serves a call about drains.
func (d *Daemon) handleDrain(ctx context.Context, request *fasthttp.RequestCtx, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, drainCallTimeout)
	defer cancel()
	status, body := http.StatusMethodNotAllowed, encodeJSON(drainError{"POST only"})
	switch name, verb, changes := strings.Cut(strings.TrimPrefix(path, DrainsPath+"/"), "/"); {
	case d.coreConfig.Drain == nil:
		status, body = http.StatusNotFound, encodeJSON(drainError{"drains are off"})
	case method != fasthttp.MethodPost:
	case path == DrainsPath:
		status, body = d.createDrain(ctx, request.PostBody())
	case path == drainPreviewPath:
		status, body = d.previewAnywhere(ctx, request.PostBody())
	case changes:
		status, body = d.changeDrain(ctx, name, verb)
	default:
		status, body = http.StatusNotFound, encodeJSON(drainError{"no such call"})
	}
	if status == http.StatusServiceUnavailable {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, drainRetryAfter)
	}
	request.SetContentType(contentTypeJSON)
	request.SetStatusCode(status)
	request.SetBody(body)
}

// createDrain writes a new plan. A repeat of the call changes nothing.
func (d *Daemon) createDrain(ctx context.Context, body []byte) (int, []byte) {
	var plan drain.Plan
	if err := json.Unmarshal(body, &plan); err != nil {
		return http.StatusBadRequest, encodeJSON(drainError{err.Error()})
	}
	stored, err := d.jobs.CreateDrainPlan(ctx, plan, time.Now())
	return drainAnswer(stored, err)
}

// changeDrain takes a plan to another phase.
func (d *Daemon) changeDrain(ctx context.Context, id, verb string) (int, []byte) {
	phase, known := drainVerbs[verb]
	if !known {
		return http.StatusNotFound, encodeJSON(drainError{"no such verb"})
	}
	return drainAnswer(d.jobs.ChangeDrainPlan(ctx, id, phase))
}

// drainAnswer is the answer to a call that changes a plan.
func drainAnswer(stored drain.StoredPlan, err error) (int, []byte) {
	status := http.StatusServiceUnavailable
	switch {
	case err == nil:
		return http.StatusOK, encodeJSON(stored.Plan)
	case errors.Is(err, drain.ErrBadPlan):
		status = http.StatusBadRequest
	case errors.Is(err, jobstore.ErrUnknownPlan):
		status = http.StatusNotFound
	case errors.Is(err, jobstore.ErrOtherPlan), errors.Is(err, jobstore.ErrPlanOver):
		status = http.StatusConflict
	}
	return status, encodeJSON(drainError{err.Error()})
}

// previewAnywhere tells what a plan would do, by the leader's word.
func (d *Daemon) previewAnywhere(ctx context.Context, body []byte) (int, []byte) {
	status, answer := d.previewDrain(body)
	leader := d.elector.Leader()
	if status != http.StatusServiceUnavailable || leader == "" || leader == d.settings.Member {
		return status, answer
	}
	relayed, relayedAnswer, err := d.peers.Relay(ctx, leader, fasthttp.MethodPost, drainPreviewPath, append([]byte(nil), body...))
	if err != nil {
		return status, answer
	}
	return relayed, relayedAnswer
}

// previewDrain tells what a plan would do, if this node leads.
func (d *Daemon) previewDrain(body []byte) (int, []byte) {
	var plan drain.Plan
	err := json.Unmarshal(body, &plan)
	if err == nil {
		err = plan.Check()
	}
	if err != nil {
		return http.StatusBadRequest, encodeJSON(drainError{err.Error()})
	}
	s := d.session.Load()
	if s == nil || !s.holdsLease() {
		return http.StatusServiceUnavailable, encodeJSON(drainError{"the leader can't be asked"})
	}
	s.mu.Lock()
	preview := s.engine.PreviewDrain(time.Now(), plan)
	s.mu.Unlock()
	return http.StatusOK, encodeJSON(preview)
}

// encodeJSON is a message in JSON.
func encodeJSON(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		return []byte("{}") // plain data; can't happen
	}
	return body
}
