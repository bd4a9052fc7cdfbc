package fleet

import (
	"maps"
	"slices"
	"time"
)

// StartBlock is why a machine may not be sent starts.
type StartBlock uint8

// Reasons for which a machine may not be sent starts, the strongest first among those that
// withdraw it from placement.
const (
	NotBlocked             StartBlock = iota
	BlockedDraining                   // it is being emptied, to be released
	BlockedQuarantined                // too much has failed on it
	BlockedCordoned                   // operators asked for it
	BlockedUnreachable                // answers to its heartbeats don't arrive
	BlockedNotLive                    // it doesn't send heartbeats, or not yet
	BlockedUnconfirmedTerm            // a start of an earlier term may still reach it
)

var startBlockNames = [...]string{"none", "draining", "quarantined", "cordoned", "unreachable", "not live",
	"term not confirmed"}

// String returns the reason's name.
func (b StartBlock) String() string { return startBlockNames[b] }

// Withdraws reports whether the reason takes the machine out of placement altogether. The other
// reasons pass by themselves, so that the machine may count as coming.
func (b StartBlock) Withdraws() bool { return b >= BlockedDraining && b <= BlockedUnreachable }

// condition is what decides, beside the machine's state, whether it is given work.
type condition struct {
	draining          bool
	quarantined       bool
	cordoned          bool            // no more starts, at the operators' request
	cordonPlanned     bool            // it is about to be cordoned, and used only if nothing else has room
	startsPausedUntil time.Time       // nothing is placed there until then
	failedJobs        map[string]bool // jobs that failed on it since something last succeeded
	failures          int             // how often any did
}

// StartBlock returns why the machine may not be sent starts, or NotBlocked if it may
// (docs/design.md, safety arguments 5 and 6; TestCopyRevivesNothing).
func (m *Machine) StartBlock() StartBlock {
	switch {
	case m.draining:
		return BlockedDraining
	case m.quarantined:
		return BlockedQuarantined
	case m.cordoned:
		return BlockedCordoned
	case m.OneWayLoss.Unreachable():
		return BlockedUnreachable
	case m.state != Live:
		return BlockedNotLive
	case !m.termConfirmed:
		return BlockedUnconfirmedTerm
	}
	return NotBlocked
}

// ToBeReleased reports whether the machine is to be released once it is empty: it drains, or is
// in quarantine. A cordon alone doesn't release it.
func (m *Machine) ToBeReleased() bool { return m.draining || m.quarantined }

// Draining reports whether the machine is being emptied.
func (m *Machine) Draining() bool { return m.draining }

// StartDraining lets the machine run empty.
func (m *Machine) StartDraining() { m.draining = true }

// StopDraining gives up emptying the machine.
func (m *Machine) StopDraining() { m.draining = false }

// Cordoned reports whether operators have withdrawn the machine from placement.
func (m *Machine) Cordoned() bool { return m.cordoned }

// CordonPlanned reports whether the machine is about to be cordoned.
func (m *Machine) CordonPlanned() bool { return m.cordonPlanned }

// SetCordon takes over what the operators' plans say of the machine. It returns false if
// nothing changes.
func (m *Machine) SetCordon(cordoned, planned bool) bool {
	if m.cordoned == cordoned && m.cordonPlanned == planned {
		return false
	}
	m.cordoned, m.cordonPlanned = cordoned, planned
	return true
}

// PauseStarts has nothing placed on the machine for a while.
func (m *Machine) PauseStarts(until time.Time) { m.startsPausedUntil = until }

// StartsPaused reports whether nothing is to be placed on the machine for the moment. What has
// been placed may still be started.
func (m *Machine) StartsPaused(now time.Time) bool { return m.startsPausedUntil.After(now) }

// ScaleInRequested notes that the machine's release is asked for, with which it drains.
func (m *Machine) ScaleInRequested() { m.draining, m.failedScaleIns = true, 0 }

// ScaleInFailed notes that the outcome of its release isn't known; it is asked for again after
// a pause.
func (m *Machine) ScaleInFailed(retryAt time.Time) {
	m.failedScaleIns++
	m.startsPausedUntil = retryAt
}

// ScaleInToRetry reports whether the release that was last asked for has failed.
func (m *Machine) ScaleInToRetry() bool { return m.failedScaleIns > 0 }

// ScaleInPending reports whether a release is under way that must not be asked for again now.
func (m *Machine) ScaleInPending(now time.Time) bool {
	return m.state == ScalingIn && (m.failedScaleIns == 0 || now.Before(m.startsPausedUntil))
}

// Quarantined reports whether too much has failed on the machine.
func (m *Machine) Quarantined() bool { return m.quarantined }

// Quarantine withdraws the machine for good: it is to be released once it is empty.
func (m *Machine) Quarantine() { m.quarantined = true }

// RecordFailure counts an exit of a job with an error against the machine.
func (m *Machine) RecordFailure(ref string) {
	if m.failedJobs == nil {
		m.failedJobs = map[string]bool{}
	}
	m.failures++
	m.failedJobs[ref] = true
}

// ClearFailures forgets the exits with errors on the machine.
func (m *Machine) ClearFailures() { m.failures, m.failedJobs = 0, nil }

// Failures counts the exits with errors on the machine since something last succeeded there.
func (m *Machine) Failures() int { return m.failures }

// FailedJobs lists the jobs to which Failures happened, by name.
func (m *Machine) FailedJobs() []string {
	if len(m.failedJobs) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m.failedJobs))
}

// History is what a leader hands on of a machine to the next one, besides its state.
type History struct {
	Quarantined, Draining, ListedRunning bool
	FirstSeen, IdleSince                 time.Time
	Failures                             int
	FailedJobs                           []string
}

// History returns what the next leader may take over.
func (m *Machine) History() History {
	return History{
		Quarantined: m.quarantined, Draining: m.draining, ListedRunning: m.listedRunning,
		FirstSeen: m.firstSeen, IdleSince: m.idleSince,
		Failures: m.failures, FailedJobs: m.FailedJobs(),
	}
}

// RestoreHistory takes over what the leader before knew of the machine.
func (m *Machine) RestoreHistory(h History) {
	m.quarantined, m.draining, m.listedRunning = h.Quarantined, h.Draining, h.ListedRunning
	m.firstSeen, m.idleSince = h.FirstSeen, h.IdleSince
	for _, ref := range h.FailedJobs {
		m.RecordFailure(ref)
	}
	m.failures = h.Failures
}
