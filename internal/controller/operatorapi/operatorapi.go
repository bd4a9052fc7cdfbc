// Package operatorapi serves the operators' interface of a controller: the status of the controller
// and of the deployment, and drains. Bodies are JSON. Operators may call any controller, which asks
// the leader for what only the leader knows.
//
// The package keeps no state: plans are stored in the state service (package jobstore), and
// everything else is read from the controllers. A Service is safe for concurrent use.
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

// Peers gives access to the other controllers.
type Peers interface {
	// Leader returns the name of the controller that is believed to lead; empty if unknown.
	Leader() string
	// PeersLeaderFirst returns the names of the other controllers, the leader's first if it is among
	// them.
	PeersLeaderFirst() []string
	// Relay sends a call to another controller and returns its response.
	Relay(ctx context.Context, to string, request peer.Request) (peer.Response, error)
}

// Term is a term of this controller as the leader.
type Term interface {
	// HoldsLease reports whether this controller's lease as the leader is valid.
	HoldsLease() bool
	// Status returns the deployment's status.
	Status(now time.Time) core.Status
	// PreviewDrain returns what a drain plan would do if it were created now.
	PreviewDrain(now time.Time, plan drain.Plan) *drain.Preview
}

// Service answers the calls of operators. Its fields are set before its first use and not changed
// later.
type Service struct {
	Self          string // name of this controller
	Peers         Peers
	Jobs          *jobstore.Jobs
	DrainsEnabled bool // whether drains are enabled
	// Term returns this controller's present term; false if it has none. The lease may have expired
	// during the term (Term.HoldsLease).
	Term func() (Term, bool)
	// OwnStatus returns the status of this controller alone.
	OwnStatus func(now time.Time) Status
}

// leading returns this controller's term; false unless its lease is valid.
func (s *Service) leading() (Term, bool) {
	term, ok := s.Term()
	return term, ok && term.HoldsLease()
}

// encodeJSON returns the JSON form of a message.
func encodeJSON(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		return []byte("{}") // can't happen: all messages are plain data
	}
	return body
}
