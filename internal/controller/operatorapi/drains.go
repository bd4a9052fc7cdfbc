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

// Paths of the operators' interface for drains. All calls are POST requests.
const (
	// DrainsPath is the path to create a plan; the body is a drain.Plan. A plan's ID and a verb
	// after it change the plan's phase: DrainsPath/ID/pause, resume or cancel.
	DrainsPath = "/drains"
	// DrainPreviewPath is the path to ask what a plan would do; the body is a drain.Plan.
	DrainPreviewPath = DrainsPath + "/preview"
)

// drainVerbs maps the verbs of calls to the phases to which operators can change a plan.
var drainVerbs = map[string]drain.Phase{"pause": drain.Paused, "resume": drain.Running, "cancel": drain.Cancelled}

// drainCallTimeout bounds the handling of a call, which asks the state service or the leader.
const drainCallTimeout = 3 * time.Second

// drainRetryAfter is the Retry-After header of an answer with status 503, in seconds.
const drainRetryAfter = "1"

// drainError is the body of an answer with another status than 200.
type drainError struct {
	Error string `json:"error"`
}

// drainAnswer is the answer to a call about drains; body is its JSON body.
type drainAnswer struct {
	status int
	body   []byte
}

func drainFailure(status int, message string) drainAnswer {
	return drainAnswer{status, encodeJSON(drainError{message})}
}

// HandleDrain serves a call whose path is DrainsPath or below it.
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
	case !s.DrainsEnabled:
		return drainFailure(http.StatusNotFound, "drains are off")
	case method != fasthttp.MethodPost:
		return drainFailure(http.StatusMethodNotAllowed, "POST only")
	case path == DrainsPath:
		return s.createDrain(ctx, body)
	case path == DrainPreviewPath:
		return s.previewOrRelay(ctx, body)
	case changes:
		return s.changeDrain(ctx, plan, verb)
	}
	return drainFailure(http.StatusNotFound, "no such call")
}

// createDrain stores a new plan. Repeating the call changes nothing and returns the stored plan.
func (s *Service) createDrain(ctx context.Context, body []byte) drainAnswer {
	var plan drain.Plan
	if err := json.Unmarshal(body, &plan); err != nil {
		return drainFailure(http.StatusBadRequest, err.Error())
	}
	stored, err := s.Jobs.CreateDrainPlan(ctx, plan, time.Now())
	return drainOutcome(stored, err)
}

// changeDrain changes a plan's phase to that of a verb.
func (s *Service) changeDrain(ctx context.Context, id, verb string) drainAnswer {
	phase, known := drainVerbs[verb]
	if !known {
		return drainFailure(http.StatusNotFound, "no such verb")
	}
	stored, err := s.Jobs.ChangeDrainPlan(ctx, id, phase)
	return drainOutcome(stored, err)
}

// drainOutcome returns the answer to a call that creates or changes a plan: the stored plan, or the
// error.
func drainOutcome(stored drain.StoredPlan, err error) drainAnswer {
	status := http.StatusServiceUnavailable
	switch {
	case err == nil:
		return drainAnswer{http.StatusOK, encodeJSON(stored.Plan)}
	case errors.Is(err, drain.ErrBadPlan):
		status = http.StatusBadRequest
	case errors.Is(err, jobstore.ErrUnknownPlan):
		status = http.StatusNotFound
	case errors.Is(err, jobstore.ErrOtherPlan), errors.Is(err, jobstore.ErrPlanPhase):
		status = http.StatusConflict
	}
	return drainFailure(status, err.Error())
}

// previewOrRelay previews a plan if this controller leads or the plan is invalid, and otherwise
// relays the call to the leader, if one is known.
func (s *Service) previewOrRelay(ctx context.Context, body []byte) drainAnswer {
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

// PreviewDrain answers a preview that another controller relayed to this one. It isn't relayed
// again.
func (s *Service) PreviewDrain(body []byte) peer.Response {
	answer := s.preview(body)
	return peer.Response{Status: answer.status, Body: answer.body}
}

// preview returns what a plan would do. The status is 503 if this controller doesn't lead, and 400
// if the plan is invalid, which any controller can tell.
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
