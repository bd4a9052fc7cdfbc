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

// StatusPath is the path at which any controller answers with the status.
const StatusPath = "/statusz"

// Texts shown in place of the versions of controllers whose version isn't known.
const (
	olderVersion = "before 0.3.0" // its status has no version
	noAnswer     = "no answer"    // its status couldn't be read
)

// Status is the status of a controller and, if it leads, of the deployment. Its JSON form is part
// of the operators' interface.
type Status struct {
	Node        string              `json:"node"`                // name of the controller whose status this is
	Version     string              `json:"version"`             // of the controller
	Role        string              `json:"role"`                // its role in leader election
	Leader      string              `json:"leader,omitempty"`    // name of the leader that it knows of
	ServesUsers bool                `json:"serves_users"`        // whether it serves users, as its health check says
	Leading     *core.Status        `json:"leading,omitempty"`   // the deployment; nil unless it leads with a valid lease
	Standby     *replication.Status `json:"standby,omitempty"`   // nil if the warm standby is disabled
	Admission   *overload.Status    `json:"admission,omitempty"` // nil if admission control is disabled

	// These maps are by name of a controller. They are set only in answers to operators.

	// Policies holds the number of the admission policy that each controller applies, unless its
	// status couldn't be read or it has admission control disabled.
	Policies map[string]uint64 `json:"policies,omitempty"`
	// Standbys holds each controller's status of the warm standby, unless its status couldn't be
	// read or it has the warm standby disabled.
	Standbys map[string]*replication.Status `json:"standbys,omitempty"`
	// Versions holds the version of each controller, or noAnswer or olderVersion in its place.
	Versions map[string]string `json:"versions,omitempty"`
}

// statusTimeout bounds the wait for the status of the other controllers, which are asked
// concurrently.
const statusTimeout = time.Second

// HandleStatus answers an operator with the deployment's status.
func (s *Service) HandleStatus(ctx context.Context, request *fasthttp.RequestCtx) {
	request.SetContentType(contentTypeJSON)
	request.SetBody(encodeJSON(s.deploymentStatus(ctx)))
}

// PeerStatus returns the body of the answer to another controller that asks for this one's status.
func (s *Service) PeerStatus() []byte { return encodeJSON(s.ownStatus(time.Now())) }

// ownStatus returns the status of this controller and, if it leads, of the deployment.
func (s *Service) ownStatus(now time.Time) Status {
	status := s.OwnStatus(now)
	if term, ok := s.leading(); ok {
		leading := term.Status(now)
		status.Leading = &leading
	}
	return status
}

// deploymentStatus returns the leader's status if that can be read, else this controller's,
// together with what is known of each controller's version, standby and admission policy.
func (s *Service) deploymentStatus(ctx context.Context) Status {
	own := s.ownStatus(time.Now())
	names := s.Peers.PeersLeaderFirst()
	shown := own
	all := controllersSummary{
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

// controllersSummary collects what a status shows of each controller, by name.
type controllersSummary struct {
	versions map[string]string
	standbys map[string]*replication.Status
	policies map[string]uint64
}

// add adds a controller; status is nil if it couldn't be read.
func (c *controllersSummary) add(name string, status *Status) {
	switch {
	case status == nil:
		c.versions[name] = noAnswer
		return
	case status.Version == "":
		c.versions[name] = olderVersion
	default:
		c.versions[name] = status.Version
	}
	if status.Standby != nil {
		c.standbys[name] = status.Standby
	}
	if status.Admission != nil {
		c.policies[name] = status.Admission.Number
	}
}

// peersStatus asks other controllers for their status. The results are in the order of names; nil
// stands for a controller whose status couldn't be read.
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
