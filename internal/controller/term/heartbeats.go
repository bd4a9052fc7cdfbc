package term

import (
	"time"

	"gingertally/internal/core"
	"gingertally/internal/core/fleet"
	"gingertally/internal/standby"
)

// responseHold is for how long at a time the answer to a heartbeat of a machine with free capacity
// is held, for the next round to place something there and the store to take that. Workers wait 4 s
// for an answer.
const responseHold = 250 * time.Millisecond

// Heartbeat hands a worker's heartbeat to the engine, if this controller holds the leader's lease,
// and checks the lease once more at the moment of answering (docs/design.md, "Who may
// act"; TestOneLeader).
func (t *Term) Heartbeat(heartbeat fleet.Heartbeat) (core.HeartbeatResponse, bool) {
	if !t.HoldsLease() {
		return core.HeartbeatResponse{}, false
	}
	response := t.step(core.HeartbeatReceived{Heartbeat: heartbeat}).Response
	if response != nil && response.OK {
		t.noteContact() // a late copy says nothing about whom this controller reaches
	}
	for response != nil && response.Held {
		if !t.hold() || !t.HoldsLease() {
			return core.HeartbeatResponse{}, false
		}
		response = t.step(core.HeldResponseDue{Heartbeat: heartbeat}).Response
	}
	if response == nil || !t.HoldsLease() {
		return core.HeartbeatResponse{}, false
	}
	t.deps.Metrics.CountCommands(response.Commands)
	t.noteAnswer(response)
	return *response, true
}

// hold waits before a held answer is looked at again; false if the term has ended.
func (t *Term) hold() bool {
	timer := time.NewTimer(responseHold)
	defer timer.Stop()
	select {
	case <-t.over:
		return false
	case <-timer.C:
		return true
	}
}

// noteAnswer notes the first answer and the first start of a term, which end its takeover.
func (t *Term) noteAnswer(response *core.HeartbeatResponse) {
	if !t.deps.Replicator.Enabled() || !response.OK || t.startedAny.Load() {
		return
	}
	t.deps.Replicator.PhaseReached(standby.FirstAnswer)
	for _, command := range response.Commands {
		if command.Kind == fleet.Start {
			t.startedAny.Store(true)
			t.deps.Replicator.PhaseReached(standby.FirstStart)
			return
		}
	}
}
