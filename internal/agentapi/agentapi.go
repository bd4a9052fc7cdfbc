// Package agentapi serves the workers' reports: the leader answers them, every
// other node sends the worker there, or passes the report on for a worker that
// evidently can't reach it.
package agentapi

import (
	"context"
	"sync"
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/wire"
)

// Leader is the leading node, here or elsewhere.
type Leader interface {
	// Report hands a report to this node's engine; ok is false if this node may
	// not act.
	Report(r fleet.Report) (reply core.Reply, ok bool)
	// Name names the node believed to lead; empty if unknown.
	Name() string
	// RelayReport passes a report on to the leader.
	RelayReport(ctx context.Context, body []byte) (status int, reply []byte, err error)
}

// Service serves workers.
type Service struct {
	Self   string
	Leader Leader

	mu      sync.Mutex
	sent    map[string]sentAway
	lastAny time.Time
}

// sentAway is what this node did with a machine's last reports.
type sentAway struct {
	leader     string    // which it was sent to
	at         time.Time // when
	relayUntil time.Time // its reports are passed on until then
}

const (
	// comesBack: a worker sent to a leader that is here again so soon, while that
	// node still leads, hasn't reached it: it would have stayed. On its way it may
	// have tried several nodes in vain, each for 4 s and a second.
	comesBack = 25 * time.Second
	// relayFor is how long its reports are then passed on before it is sent to
	// the leader once more.
	relayFor = time.Minute
	// relayTimeout leaves the worker time to get the answer within its 4 s.
	relayTimeout = 2500 * time.Millisecond
	// maxSent bounds the machines remembered.
	maxSent = 10_000
)

// Answer is the answer to a report.
type Answer struct {
	Status int
	Body   []byte
}

// LastContact is when any worker last reached this node.
func (s *Service) LastContact() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAny
}

// Beat serves a report. A relayed one is never sent further.
func (s *Service) Beat(ctx context.Context, body []byte, relayed bool) Answer {
	rep, err := wire.ParseReport(body)
	if err != nil {
		return Answer{Status: 400}
	}
	if !relayed {
		s.mu.Lock()
		s.lastAny = time.Now()
		s.mu.Unlock()
	}
	if reply, ok := s.Leader.Report(rep); ok {
		if !reply.OK {
			return Answer{Status: 503}
		}
		return Answer{200, wire.MustMarshal(wire.Orders{Gavel: reply.Token, Orders: wire.OrdersOf(reply.Commands)})}
	}
	name := s.Leader.Name()
	if relayed || name == "" || name == s.Self {
		return Answer{Status: 503}
	}
	if s.shouldRelay(rep.Machine, name, time.Now()) {
		ctx, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		status, reply, err := s.Leader.RelayReport(ctx, body)
		if err != nil || status != 200 {
			return Answer{Status: 503}
		}
		return Answer{200, reply}
	}
	return Answer{421, wire.MustMarshal(wire.Redirect{Clerk: name})}
}

// shouldRelay notes that a machine is about to be sent away, and tells whether
// it was of late, in vain.
func (s *Service) shouldRelay(machine, leader string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil || len(s.sent) > maxSent {
		s.sent = map[string]sentAway{}
	}
	w := s.sent[machine]
	if now.Before(w.relayUntil) {
		return true
	}
	if w.leader == leader && now.Sub(w.at) < comesBack {
		s.sent[machine] = sentAway{relayUntil: now.Add(relayFor)}
		return true
	}
	s.sent[machine] = sentAway{leader: leader, at: now}
	return false
}
