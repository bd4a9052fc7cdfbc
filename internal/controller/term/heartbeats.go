package term

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/standby"
)

// responseHold is how long an answer to a heartbeat is held before the engine is asked again. The
// engine holds the answer if a start on the machine is likely, so that the next round can place
// something there and the store can accept it. Workers wait 4 s for an answer.
const responseHold = 250 * time.Millisecond

// Heartbeat passes a worker's heartbeat to the engine and returns the engine's response, which may
// be held for a while. It returns false unless this controller holds the leader's lease. The lease
// is checked once more right before the answer (docs/design.md, "Who may act"; TestOneLeader).
func (t *Term) Heartbeat(heartbeat fleet.Heartbeat) (core.HeartbeatResponse, bool) {
	if !t.HoldsLease() {
		return core.HeartbeatResponse{}, false
	}
	response := t.step(core.HeartbeatReceived{Heartbeat: heartbeat}).Response
	if response != nil && response.OK {
		t.noteContact() // a delayed copy of a heartbeat, which isn't OK, shows no contact
	}
	for response != nil && response.Hold {
		if !t.hold() || !t.HoldsLease() {
			return core.HeartbeatResponse{}, false
		}
		response = t.step(core.HeldResponseDue{Heartbeat: heartbeat}).Response
	}
	if response == nil || !t.HoldsLease() {
		return core.HeartbeatResponse{}, false
	}
	t.deps.Metrics.CountCommands(response.Commands)
	t.recordTakeoverPhases(response)
	return *response, true
}

// hold waits for responseHold. It returns false if the term has ended.
func (t *Term) hold() bool {
	timer := time.NewTimer(responseHold)
	defer timer.Stop()
	select {
	case <-t.done:
		return false
	case <-timer.C:
		return true
	}
}

// recordTakeoverPhases records the term's first answer to a heartbeat and its first start, which
// are the last phases of its takeover. Without the warm standby it does nothing.
func (t *Term) recordTakeoverPhases(response *core.HeartbeatResponse) {
	if !t.deps.Replicator.Enabled() || !response.OK || t.startSent.Load() {
		return
	}
	t.deps.Replicator.PhaseReached(standby.FirstAnswer)
	for _, command := range response.Commands {
		if command.Kind == fleet.Start {
			t.startSent.Store(true)
			t.deps.Replicator.PhaseReached(standby.FirstStart)
			return
		}
	}
}
