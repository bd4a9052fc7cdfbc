// Package operatorapi serves the operators' interface of a controller: its status and that of the
// deployment, and drains. Bodies are JSON. Any controller may be asked; what only the leader knows is
// asked of the leader.
//
// It owns no state: plans lie in the state service (jobstore), all else is the leader's. All methods may
// be called from any goroutine.
package operatorapi

import (
	"context"
	"encoding/json"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
	"gingertally/internal/peer"
)

const contentTypeJSON = "application/json"

// Peers reaches the other controllers.
type Peers interface {
	// Leader names the controller believed to lead; empty if unknown.
	Leader() string
	// PeersFirst lists the other controllers, the leader before the rest.
	PeersFirst() []string
	// Relay carries a call to another controller.
	Relay(ctx context.Context, to string, request peer.Request) (peer.Response, error)
}

// Term is what operators ask of the leader's term.
type Term interface {
	// HoldsLease tells whether this controller may act.
	HoldsLease() bool
	// Status is what operators are shown of the deployment.
	Status(now time.Time) core.Status
	// PreviewDrain tells what a drain plan would do.
	PreviewDrain(now time.Time, plan drain.Plan) *drain.Preview
}

// Service serves operators.
type Service struct {
	Self   string
	Peers  Peers
	Jobs   *jobstore.Jobs
	Drains bool // whether the operators have switched drains on
	// Term is this controller's term; false unless it leads.
	Term func() (Term, bool)
	// Own is the status of this controller alone.
	Own func(now time.Time) Status
}

// leading is this controller's term, if it holds the lease.
func (s *Service) leading() (Term, bool) {
	term, ok := s.Term()
	return term, ok && term.HoldsLease()
}

// encodeJSON is a message in JSON.
func encodeJSON(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		return []byte("{}") // plain data; can't happen
	}
	return body
}
