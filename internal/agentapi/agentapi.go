// Package agentapi is the controller's side of the workers' interface (PROTOCOL: Workers ->
// controller nodes; Controller nodes -> workers). The leader answers heartbeats. Every other node
// redirects the worker to the leader, or relays the heartbeat for a worker that evidently can't
// reach the leader.
//
// The package keeps in memory which workers this node has recently redirected, and when a worker
// last reached it; neither has to survive a restart. Its callers are the node's HTTP server, for
// workers, and its server for peers, for heartbeats that they relayed. Each call runs in the
// goroutine of its request; a Service is safe for concurrent use.
package agentapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/wire"
)

// Leader is the leading node as a Service needs it, be it this node or another. The controller
// implements it. Its methods are called from the goroutines of requests, many at a time.
type Leader interface {
	// Heartbeat passes a heartbeat to this node's engine and returns the engine's response. ok is
	// false if this node doesn't hold the leader's lease, or no longer once the engine has
	// responded.
	Heartbeat(heartbeat fleet.Heartbeat) (response core.HeartbeatResponse, ok bool)
	// Name returns the name of the node that is believed to lead; it is empty if none is known.
	Name() string
	// RelayHeartbeat forwards an encoded heartbeat to the leader, and returns the leader's answer.
	RelayHeartbeat(ctx context.Context, body []byte) (Answer, error)
}

// Service answers workers. Self and Leader are set before its first use and not changed later.
type Service struct {
	// Self is the name of this node.
	Self string
	// Leader is the leading node.
	Leader Leader

	redirects redirectHistory

	contactMu   sync.Mutex
	lastContact time.Time // when any worker last reached this node
}

// relayTimeout bounds the wait for the leader's answer to a relayed heartbeat. It is shorter than
// the 4 s that a worker waits for the answer to its heartbeat, so that the worker still gets the
// relayed one.
const relayTimeout = 2500 * time.Millisecond

// LastContact returns when any worker last reached this node; the zero time means never.
func (s *Service) LastContact() time.Time {
	s.contactMu.Lock()
	defer s.contactMu.Unlock()
	return s.lastContact
}

func (s *Service) noteContact() {
	s.contactMu.Lock()
	defer s.contactMu.Unlock()
	s.lastContact = time.Now()
}

// Heartbeat answers a heartbeat that a worker sent to this node.
func (s *Service) Heartbeat(ctx context.Context, body []byte) Answer {
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return malformedAnswer()
	}
	s.noteContact()
	if answer, ok := s.answerAsLeader(heartbeat); ok {
		return answer
	}
	leader := s.Leader.Name()
	if leader == "" || leader == s.Self {
		return tryAnotherNodeAnswer()
	}
	if s.redirects.shouldRelay(heartbeat.Machine, leader, time.Now()) {
		return s.relay(ctx, body)
	}
	return RedirectAnswer(leader)
}

// RelayedHeartbeat answers a heartbeat that another node relayed to this one. It is never relayed again,
// so that two nodes that take each other for the leader can't pass it back and forth.
func (s *Service) RelayedHeartbeat(body []byte) Answer {
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return malformedAnswer()
	}
	if answer, ok := s.answerAsLeader(heartbeat); ok {
		return answer
	}
	return tryAnotherNodeAnswer()
}

// answerAsLeader answers a heartbeat if this node holds the leader's lease; else ok is false.
func (s *Service) answerAsLeader(heartbeat fleet.Heartbeat) (answer Answer, ok bool) {
	response, leads := s.Leader.Heartbeat(heartbeat)
	if !leads {
		return Answer{}, false
	}
	if !response.OK {
		return tryAnotherNodeAnswer(), true
	}
	return AcceptedAnswer(response), true
}

// relay forwards a heartbeat to the leader and returns the leader's answer. Unless that is a 200,
// the worker is told to try another node.
func (s *Service) relay(ctx context.Context, body []byte) Answer {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer, err := s.Leader.RelayHeartbeat(ctx, body)
	if err != nil || answer.Status != http.StatusOK {
		return tryAnotherNodeAnswer()
	}
	return answer
}
