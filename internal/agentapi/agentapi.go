// Package agentapi serves the workers' heartbeats: the leader answers them, every
// other node redirects the worker to it, or relays the heartbeat for a worker that
// evidently can't reach it.
package agentapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/wire"
)

// Leader is the leading node, be it this one or another.
type Leader interface {
	// Heartbeat hands a heartbeat to this node's engine; ok is false if this node doesn't
	// hold the leader's lease.
	Heartbeat(report fleet.Heartbeat) (reply core.HeartbeatResponse, ok bool)
	// Name names the node believed to lead; empty if unknown.
	Name() string
	// RelayHeartbeat passes a heartbeat on to the leader.
	RelayHeartbeat(ctx context.Context, body []byte) (status int, reply []byte, err error)
}

// Service serves workers.
type Service struct {
	Self   string
	Leader Leader

	mu          sync.Mutex
	redirects   map[string]redirect // by machine
	lastContact time.Time           // when any worker last reached this node
}

// redirect is what this node did with a machine's last heartbeats.
type redirect struct {
	leader     string    // which it was redirected to
	at         time.Time // when
	relayUntil time.Time // its heartbeats are relayed until then
}

const (
	// returnWithin: a worker redirected to a leader that is here again so soon, while
	// that node still leads, hasn't reached it: it would have stayed. On its way it may
	// have tried several nodes in vain, each for 4 s and a second.
	returnWithin = 25 * time.Second
	// relayFor is how long its heartbeats are then relayed before it is redirected to
	// the leader once more.
	relayFor = time.Minute
	// relayTimeout leaves the worker time to get the answer within its 4 s.
	relayTimeout = 2500 * time.Millisecond
	// maxRedirects bounds the machines remembered.
	maxRedirects = 10_000
)

// Answer is the answer to a heartbeat.
type Answer struct {
	Status int
	Body   []byte
}

// unavailable has the worker try another node.
func unavailable() Answer { return Answer{Status: http.StatusServiceUnavailable} }

// LastContact is when any worker last reached this node.
func (s *Service) LastContact() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastContact
}

// Heartbeat serves a heartbeat that a worker sent to this node.
func (s *Service) Heartbeat(ctx context.Context, body []byte) Answer {
	report, err := wire.ParseHeartbeat(body)
	if err != nil {
		return Answer{Status: http.StatusBadRequest}
	}
	s.noteContact()
	if answer, ok := s.answerAsLeader(report); ok {
		return answer
	}
	leader := s.Leader.Name()
	if leader == "" || leader == s.Self {
		return unavailable()
	}
	if s.shouldRelay(report.Machine, leader, time.Now()) {
		return s.relay(ctx, body)
	}
	return Redirected(leader)
}

// Redirected has a worker report to the leader.
func Redirected(leader string) Answer {
	return Answer{http.StatusMisdirectedRequest, codec.MustMarshal(wire.Redirect{Clerk: leader})}
}

// OrdersPath is where a worker takes direct commands.
const OrdersPath = "/orders"

// DirectCommands is the body of a request to a worker to carry commands out at once.
func DirectCommands(direct core.Direct) []byte {
	return codec.MustMarshal(wire.Orders{Gavel: direct.FencingToken, Shift: direct.Incarnation, Orders: wire.OrdersOf(direct.Commands)})
}

// Accepted is the leader's answer to a worker's heartbeat.
func Accepted(reply core.HeartbeatResponse) Answer {
	orders := wire.Orders{Gavel: reply.FencingToken, Orders: wire.OrdersOf(reply.Commands)}
	return Answer{http.StatusOK, codec.MustMarshal(orders)}
}

// Relayed serves a heartbeat that another node relayed. It never goes further.
func (s *Service) Relayed(body []byte) Answer {
	report, err := wire.ParseHeartbeat(body)
	if err != nil {
		return Answer{Status: http.StatusBadRequest}
	}
	if answer, ok := s.answerAsLeader(report); ok {
		return answer
	}
	return unavailable()
}

func (s *Service) noteContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact = time.Now()
}

// answerAsLeader answers a heartbeat if this node holds the leader's lease.
func (s *Service) answerAsLeader(report fleet.Heartbeat) (Answer, bool) {
	reply, ok := s.Leader.Heartbeat(report)
	if !ok {
		return Answer{}, false
	}
	if !reply.OK {
		return unavailable(), true
	}
	return Accepted(reply), true
}

// relay passes a heartbeat on to the leader, and its answer back.
func (s *Service) relay(ctx context.Context, body []byte) Answer {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	status, reply, err := s.Leader.RelayHeartbeat(ctx, body)
	if err != nil || status != http.StatusOK {
		return unavailable()
	}
	return Answer{http.StatusOK, reply}
}

// shouldRelay notes that a machine is about to be redirected, and tells whether
// it was of late, in vain (docs/design.md, "Safety arguments" 13;
// TestRelayForWorkersThatComeBack).
func (s *Service) shouldRelay(machine, leader string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.redirects == nil || len(s.redirects) > maxRedirects {
		s.redirects = map[string]redirect{}
	}
	last := s.redirects[machine]
	if now.Before(last.relayUntil) {
		return true
	}
	if last.leader == leader && now.Sub(last.at) < returnWithin {
		s.redirects[machine] = redirect{relayUntil: now.Add(relayFor)}
		return true
	}
	s.redirects[machine] = redirect{leader: leader, at: now}
	return false
}
