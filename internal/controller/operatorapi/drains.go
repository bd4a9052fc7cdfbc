package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
	"gingertally/internal/peer"
)

// Paths of the operators' interface to drains.
const (
	// DrainsPath takes new plans (POST, a drain.Plan). A plan's name and a verb behind it change
	// its phase: DrainsPath/NAME/pause, resume or cancel (POST).
	DrainsPath = "/drains"
	// DrainPreviewPath tells what a plan would do (POST, a drain.Plan).
	DrainPreviewPath = DrainsPath + "/preview"
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

// drainAnswer is the answer to a call about drains.
type drainAnswer struct {
	status int
	body   []byte
}

func drainFailure(status int, message string) drainAnswer {
	return drainAnswer{status, encodeJSON(drainError{message})}
}

// HandleDrain serves a call about drains.
func (s *Service) HandleDrain(ctx context.Context, request *fasthttp.RequestCtx, method, path string) {
	ctx, cancel := context.WithTimeout(ctx, drainCallTimeout)
	defer cancel()
	answer := s.serveDrain(ctx, method, path, request.PostBody())
	if answer.status == http.StatusServiceUnavailable {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, drainRetryAfter)
	}
	request.SetContentType(contentTypeJSON)
	request.SetStatusCode(answer.status)
	request.SetBody(answer.body)
}

func (s *Service) serveDrain(ctx context.Context, method, path string, body []byte) drainAnswer {
	plan, verb, changes := strings.Cut(strings.TrimPrefix(path, DrainsPath+"/"), "/")
	switch {
	case !s.Drains:
		return drainFailure(http.StatusNotFound, "drains are off")
	case method != fasthttp.MethodPost:
		return drainFailure(http.StatusMethodNotAllowed, "POST only")
	case path == DrainsPath:
		return s.createDrain(ctx, body)
	case path == DrainPreviewPath:
		return s.previewAnywhere(ctx, body)
	case changes:
		return s.changeDrain(ctx, plan, verb)
	}
	return drainFailure(http.StatusNotFound, "no such call")
}

// createDrain writes a new plan. A repeat of the call changes nothing.
func (s *Service) createDrain(ctx context.Context, body []byte) drainAnswer {
	var plan drain.Plan
	if err := json.Unmarshal(body, &plan); err != nil {
		return drainFailure(http.StatusBadRequest, err.Error())
	}
	stored, err := s.Jobs.CreateDrainPlan(ctx, plan, time.Now())
	return drainOutcome(stored, err)
}

// changeDrain takes a plan to another phase.
func (s *Service) changeDrain(ctx context.Context, id, verb string) drainAnswer {
	phase, known := drainVerbs[verb]
	if !known {
		return drainFailure(http.StatusNotFound, "no such verb")
	}
	stored, err := s.Jobs.ChangeDrainPlan(ctx, id, phase)
	return drainOutcome(stored, err)
}

// drainOutcome is the answer to a call that changes a plan.
func drainOutcome(stored drain.StoredPlan, err error) drainAnswer {
	status := http.StatusServiceUnavailable
	switch {
	case err == nil:
		return drainAnswer{http.StatusOK, encodeJSON(stored.Plan)}
	case errors.Is(err, drain.ErrBadPlan):
		status = http.StatusBadRequest
	case errors.Is(err, jobstore.ErrUnknownPlan):
		status = http.StatusNotFound
	case errors.Is(err, jobstore.ErrOtherPlan), errors.Is(err, jobstore.ErrPlanOver):
		status = http.StatusConflict
	}
	return drainFailure(status, err.Error())
}

// previewAnywhere tells what a plan would do, as the leader sees it.
func (s *Service) previewAnywhere(ctx context.Context, body []byte) drainAnswer {
	answer := s.preview(body)
	leader := s.Peers.Leader()
	if answer.status != http.StatusServiceUnavailable || leader == "" || leader == s.Self {
		return answer
	}
	request := peer.Request{Method: http.MethodPost, Path: DrainPreviewPath, Body: bytes.Clone(body)}
	response, err := s.Peers.Relay(ctx, leader, request)
	if err != nil {
		return answer
	}
	return drainAnswer{response.Status, response.Body}
}

// PreviewDrain tells another controller what a plan would do, if this one leads.
func (s *Service) PreviewDrain(body []byte) peer.Response {
	answer := s.preview(body)
	return peer.Response{Status: answer.status, Body: answer.body}
}

// preview tells what a plan would do, if this controller leads.
func (s *Service) preview(body []byte) drainAnswer {
	var plan drain.Plan
	err := json.Unmarshal(body, &plan)
	if err == nil {
		err = plan.Check()
	}
	if err != nil {
		return drainFailure(http.StatusBadRequest, err.Error())
	}
	term, ok := s.leading()
	if !ok {
		return drainFailure(http.StatusServiceUnavailable, "the leader can't be asked")
	}
	return drainAnswer{http.StatusOK, encodeJSON(term.PreviewDrain(time.Now(), plan))}
}
