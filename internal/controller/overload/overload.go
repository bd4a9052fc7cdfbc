// Package overload is a controller's part in admission control. Every controller decides about
// submissions by its gate; the leader gathers the counts of all, plans the policy, stores it and sends
// it to all.
//
// It owns the key adm/policy, written by the leader under its term, the gate and the counts. What a
// policy says is decided in package admission. All methods may be called from any goroutine; RunLeader
// runs once for each term.
package overload

import (
	"context"
	"time"

	"gingertally/internal/admission"
	"gingertally/internal/peer"
)

// PolicyKey holds the policy in the state service.
const PolicyKey = "adm/policy"

// ExchangePath is where the leader sends a controller the policy and gets its counts.
const ExchangePath = "/admission"

// Controller is a controller's part in admission control: a *Node, or Disabled.
type Controller interface {
	// Run keeps the policy up to date where no leader is heard, until ctx ends.
	Run(ctx context.Context) error
	// RunLeader is the leader's part of one term, until ctx ends.
	RunLeader(ctx context.Context, term Term) error
	// ServeExchange takes the leader's policy, and answers with this controller's counts.
	ServeExchange(body []byte) peer.Response
	// Status is what operators are shown; nil if admission control is off.
	Status(now time.Time) *Status
}

// Disabled is the Controller where operators haven't switched admission control on: all jobs are
// taken.
type Disabled struct{}

// Run implements Controller.
func (Disabled) Run(context.Context) error { return nil }

// RunLeader implements Controller.
func (Disabled) RunLeader(context.Context, Term) error { return nil }

// ServeExchange implements Controller: the leader is told that this controller takes no part.
func (Disabled) ServeExchange([]byte) peer.Response {
	return peer.Response{Status: statusExchangeRefused}
}

// Status implements Controller.
func (Disabled) Status(time.Time) *Status { return nil }

// Term is the leader's term, as the planning of policies needs it.
type Term interface {
	// Number is the term's number.
	Number() uint64
	// HoldsLease tells whether this controller may act.
	HoldsLease() bool
	// Load is what the engine tells of capacity and backlog; settled is false while a new
	// leader doesn't know enough.
	Load(now time.Time) (load admission.Load, settled bool)
	// StoreValue writes a value of the leader's own under its term.
	StoreValue(ctx context.Context, key string, value []byte) error
	// SetFairOrder has jobs ordered by their teams' fair shares, or not.
	SetFairOrder(on bool, weights map[string]float64)
}
