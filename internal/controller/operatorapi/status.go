package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gingertally/internal/controller/overload"
	"gingertally/internal/controller/replication"
	"gingertally/internal/core"
	"gingertally/internal/peer"
)

// StatusPath is where operators ask any controller for the status.
const StatusPath = "/statusz"

// What is shown for controllers whose version isn't known.
const (
	olderVersion = "before 0.3.0"
	noAnswer     = "no answer"
)

// Status is what an operator is shown. Its JSON is part of the operators' interface.
type Status struct {
	Node      string              `json:"node"`             // the controller that tells
	Version   string              `json:"version"`          // its version
	Role      string              `json:"role"`             // its part in leader election
	Leader    string              `json:"leader,omitempty"` // as far as it knows
	Serves    bool                `json:"serves_users"`
	Leading   *core.Status        `json:"leading,omitempty"`   // what it knows as the leader, while its lease is valid
	Standby   *replication.Status `json:"standby,omitempty"`   // its part in the warm standby
	Admission *overload.Status    `json:"admission,omitempty"` // what it applies
	// Policies are the numbers of the admission policies that the controllers apply.
	Policies map[string]uint64 `json:"policies,omitempty"`
	// Standbys are those of all controllers that could be asked.
	Standbys map[string]*replication.Status `json:"standbys,omitempty"`
	// Versions of all controllers, as far as the one that was asked could find out.
	Versions map[string]string `json:"versions,omitempty"`
}

// statusTimeout bounds the wait for the other controllers' status.
const statusTimeout = time.Second

// HandleStatus answers an operator with the deployment's status.
func (s *Service) HandleStatus(ctx context.Context, request *fasthttp.RequestCtx) {
	request.SetContentType(contentTypeJSON)
	request.SetBody(encodeJSON(s.deployment(ctx)))
}

// PeerStatus answers another controller with this one's status.
func (s *Service) PeerStatus() []byte { return encodeJSON(s.own(time.Now())) }

// own is the status of this controller, and of the deployment if it leads.
func (s *Service) own(now time.Time) Status {
	status := s.Own(now)
	if term, ok := s.leading(); ok {
		leading := term.Status(now)
		status.Leading = &leading
	}
	return status
}

// deployment is the leader's status if it can be had, else this controller's, with
// the versions of all controllers.
func (s *Service) deployment(ctx context.Context) Status {
	own := s.own(time.Now())
	names := s.Peers.PeersFirst()
	shown := own
	all := summary{
		versions: map[string]string{},
		standbys: map[string]*replication.Status{},
		policies: map[string]uint64{},
	}
	all.add(own.Node, &own)
	for i, status := range s.peersStatus(ctx, names) {
		all.add(names[i], status)
		if status != nil && own.Leading == nil && status.Leading != nil {
			shown = *status
		}
	}
	shown.Versions, shown.Standbys, shown.Policies = all.versions, all.standbys, all.policies
	return shown
}

// summary is what is shown of each controller.
type summary struct {
	versions map[string]string
	standbys map[string]*replication.Status
	policies map[string]uint64
}

// add adds a controller; nil stands for one that doesn't answer.
func (a *summary) add(name string, status *Status) {
	switch {
	case status == nil:
		a.versions[name] = noAnswer
		return
	case status.Version == "":
		a.versions[name] = olderVersion
	default:
		a.versions[name] = status.Version
	}
	if status.Standby != nil {
		a.standbys[name] = status.Standby
	}
	if status.Admission != nil {
		a.policies[name] = status.Admission.Number
	}
}

// peersStatus asks the other controllers for their status, in the order of their names; nil
// stands for no answer.
func (s *Service) peersStatus(ctx context.Context, names []string) []*Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make([]*Status, len(names))
	var requests sync.WaitGroup
	for i, name := range names {
		requests.Go(func() {
			var status Status
			response, err := s.Peers.Relay(ctx, name, peer.Request{Method: http.MethodGet, Path: StatusPath})
			if err == nil && response.Status == http.StatusOK && json.Unmarshal(response.Body, &status) == nil {
				answers[i] = &status
			}
		})
	}
	requests.Wait()
	return answers
}
