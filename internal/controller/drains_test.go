package controller

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"gingertally/internal/config"
	"gingertally/internal/controller/operatorapi"
	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
	"gingertally/internal/wire"
)

// drainController returns a controller with drains on and a state service in memory. It serves
// operators' calls but doesn't take part in elections.
func drainController(t *testing.T, store *fakeStore) *Controller {
	t.Helper()
	settings := testSettings("n-1", nil, config.Endpoints{State: serveOn(t, store.handle)})
	client := statestore.New(statestore.Options{
		Addr:     settings.Endpoints.State,
		MaxConns: 2,
		Requests: 1000,
		Writes:   1000,
		Burst:    100,
	})
	jobs := jobstore.New(client, jobstore.Limits{ValueBytes: 4000, TxnOps: 12})
	return &Controller{settings: settings, operators: &operatorapi.Service{Self: "n-1", Jobs: jobs, DrainsEnabled: true}}
}

// drainCall makes an operator's call to a controller, and returns the status and the body.
func drainCall(t *testing.T, c *Controller, path string, message any) (int, []byte) {
	t.Helper()
	var request fasthttp.RequestCtx
	request.Request.Header.SetMethod(http.MethodPost)
	request.Request.SetRequestURI(path)
	body, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	request.Request.SetBody(body)
	c.handle(t.Context(), &request)
	return request.Response.StatusCode(), request.Response.Body()
}

// Operators' calls about drains must work at any controller: a repeated call changes nothing,
// another plan with the same ID is refused, the phase of a plan changes only in the permitted ways,
// and no call is accepted while the state service is down.
func TestDrainCalls(t *testing.T) {
	store := &fakeStore{items: map[string]wire.StoreItem{}}
	first, second := drainController(t, store), drainController(t, store)
	plan := drain.Plan{ID: "p1", Selector: drain.Selector{All: true}, MaxAtOnce: 2}
	other := plan
	other.MaxAtOnce = 3
	none := plan
	none.Selector = drain.Selector{}
	for _, c := range []struct {
		name    string
		at      *Controller
		path    string
		message any
		status  int
		phase   drain.Phase
	}{
		{"started", first, operatorapi.DrainsPath, plan, 200, drain.Running},
		{"the same at another controller", second, operatorapi.DrainsPath, plan, 200, drain.Running},
		{"another of this name", second, operatorapi.DrainsPath, other, 409, 0},
		{"selects nothing", first, operatorapi.DrainsPath, none, 400, 0},
		{"not a plan", first, operatorapi.DrainsPath, "x", 400, 0},
		{"paused", second, operatorapi.DrainsPath + "/p1/pause", nil, 200, drain.Paused},
		{"paused again", first, operatorapi.DrainsPath + "/p1/pause", nil, 200, drain.Paused},
		{"resumed", first, operatorapi.DrainsPath + "/p1/resume", nil, 200, drain.Running},
		{"cancelled", first, operatorapi.DrainsPath + "/p1/cancel", nil, 200, drain.Cancelled},
		{"resumed after its end", second, operatorapi.DrainsPath + "/p1/resume", nil, 409, 0},
		{"started again after its end", second, operatorapi.DrainsPath, plan, 200, drain.Cancelled},
		{"unknown", first, operatorapi.DrainsPath + "/p2/pause", nil, 404, 0},
		{"no such verb", first, operatorapi.DrainsPath + "/p1/explode", nil, 404, 0},
	} {
		status, body := drainCall(t, c.at, c.path, c.message)
		var got drain.Plan
		if status != c.status || status == 200 && (json.Unmarshal(body, &got) != nil || got.Phase != c.phase) {
			t.Errorf("%s: status %d, body %s", c.name, status, body)
		}
	}
	store.setDown(true)
	if status, body := drainCall(t, first, operatorapi.DrainsPath, drain.Plan{
		ID:        "p3",
		Selector:  drain.Selector{All: true},
		MaxAtOnce: 1,
	}); status != 503 {
		t.Errorf("while the state service is down: status %d, body %s", status, body)
	}
	first.operators.DrainsEnabled = false
	if status, _ := drainCall(t, first, operatorapi.DrainsPath, plan); status != 404 {
		t.Errorf("with drains off: status %d", status)
	}
}
