package agentapi

import (
	"sync"
	"time"
)

const (
	// returnWithin is how soon after its redirect a worker has to be back for this node to conclude
	// that it didn't reach the leader: had it reached the leader, it would have stayed there.
	// Before coming back it may have tried several nodes in vain, for 4 s each and with a pause of a
	// second in between.
	returnWithin = 25 * time.Second
	// relayFor is how long the heartbeats of such a worker are relayed before it is redirected to
	// the leader once more.
	relayFor = time.Minute
	// maxRedirects bounds the number of machines that are remembered. Above it, all are forgotten.
	maxRedirects = 10_000
)

// redirectHistory remembers which machines this node redirected to a leader, so that it can relay
// the heartbeats of those that come back. The zero value is empty and ready for use, by any
// goroutine.
type redirectHistory struct {
	mu        sync.Mutex
	byMachine map[string]routing
}

// routing is what this node did with a machine's latest heartbeats. Either the machine was
// redirected (leader and at are set), or its heartbeats are relayed (relayUntil is set).
type routing struct {
	leader     string
	at         time.Time
	relayUntil time.Time
}

// shouldRelay decides whether a machine's heartbeat is relayed to the leader, and records the
// decision, unless the machine's heartbeats are being relayed already. If it returns false, the
// caller redirects the machine (docs/design.md, "Safety arguments" 13;
// TestRelayForWorkersThatComeBack).
func (h *redirectHistory) shouldRelay(machine, leader string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byMachine == nil || len(h.byMachine) > maxRedirects {
		h.byMachine = map[string]routing{}
	}
	last := h.byMachine[machine]
	if now.Before(last.relayUntil) {
		return true
	}
	if last.leader == leader && now.Sub(last.at) < returnWithin {
		h.byMachine[machine] = routing{relayUntil: now.Add(relayFor)}
		return true
	}
	h.byMachine[machine] = routing{leader: leader, at: now}
	return false
}
