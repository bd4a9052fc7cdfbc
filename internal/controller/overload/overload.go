// Package overload runs admission control in a controller. Every controller admits or refuses
// submissions by its gate; the leader collects the counts of all controllers, plans the policy, stores
// it and sends it to all.
//
// It owns the gate, the counts, and the key adm/policy in the state service, which the leader writes
// under its term. Package admission computes the policy and the decisions. All methods may be called
// from any goroutine; RunLeader runs once per term.
package overload

import (
	"context"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/peer"
)

// PolicyKey is the key of the policy in the state service.
const PolicyKey = "adm/policy"

// ExchangePath is the path of the call by which the leader sends the policy to another controller and
// receives its counts.
const ExchangePath = "/admission"

// Controller runs admission control in a controller. It is a *Node, or Disabled.
type Controller interface {
	// Run keeps the policy up to date while no leader sends it, until ctx ends.
	Run(ctx context.Context) error
	// RunLeader plans, stores and sends policies as the leader of a term, until ctx ends.
	RunLeader(ctx context.Context, term Term) error
	// ServeExchange applies the policy that the leader sent, and answers with this controller's counts.
	ServeExchange(body []byte) peer.Response
	// Status returns the status that operators see; nil if admission control is off.
	Status(now time.Time) *Status
}

// Disabled is the Controller if admission control is off: all jobs are admitted.
type Disabled struct{}

// Run implements Controller. It returns at once.
func (Disabled) Run(context.Context) error { return nil }

// RunLeader implements Controller. It returns at once.
func (Disabled) RunLeader(context.Context, Term) error { return nil }

// ServeExchange implements Controller. It tells the leader that admission control is off here.
func (Disabled) ServeExchange([]byte) peer.Response {
	return peer.Response{Status: statusExchangeRefused}
}

// Status implements Controller.
func (Disabled) Status(time.Time) *Status { return nil }

// Term is what the planning of policies uses of the leader's term.
type Term interface {
	// Number returns the term's number.
	Number() uint64
	// HoldsLease reports whether this controller still holds a valid leader's lease, and so may act.
	HoldsLease() bool
	// Load returns the engine's capacity and backlog; capacityKnown is false while a new leader doesn't
	// know the capacity yet.
	Load(now time.Time) (load admission.Load, capacityKnown bool)
	// StoreValue writes a value to the state service under the leader's term.
	StoreValue(ctx context.Context, key string, value []byte) error
	// SetFairOrder sets whether waiting jobs are ordered by their teams' fair shares, and by which
	// weights.
	SetFairOrder(on bool, weights map[string]float64)
}
