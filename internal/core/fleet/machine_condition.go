package fleet

import (
	"maps"
	"slices"
	"time"
)

// StartBlock is the reason why a machine may not be sent starts.
type StartBlock uint8

// Reasons why a machine may not be sent starts. If several apply, StartBlock returns the first one.
const (
	NotBlocked             StartBlock = iota
	BlockedDraining                   // it is being emptied before its release
	BlockedQuarantined                // too many attempts have failed on it
	BlockedCordoned                   // operators have cordoned it
	BlockedUnreachable                // the answers to its heartbeats get lost
	BlockedNotLive                    // it sends no heartbeats, or not yet
	BlockedUnconfirmedTerm            // a start of an earlier term may still reach it
)

var startBlockNames = [...]string{"none", "draining", "quarantined", "cordoned", "unreachable", "not live",
	"term not confirmed"}

// String returns the reason's name.
func (b StartBlock) String() string { return startBlockNames[b] }

// Withdraws reports whether the reason takes the machine out of placement altogether. A machine
// that is blocked for another reason may still be expected to take tasks soon.
func (b StartBlock) Withdraws() bool { return b >= BlockedDraining && b <= BlockedUnreachable }

// condition holds what decides, besides the machine's state, whether work is placed on it.
type condition struct {
	draining          bool            // it is being emptied before its release
	quarantined       bool            // too many attempts have failed on it
	cordoned          bool            // takes no more starts, at the operators' request
	cordonPlanned     bool            // about to be cordoned; used only if no other machine has room
	startsPausedUntil time.Time       // no new work before; also when to retry a failed release
	failedJobs        map[string]bool // jobs of the attempts that failed on it since the last success
	failures          int             // exits with errors on it since the last success
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

// ToBeReleased reports whether the machine is to be released once it is empty: it is draining or
// quarantined. A cordon alone doesn't release it.
func (m *Machine) ToBeReleased() bool { return m.draining || m.quarantined }

// Draining reports whether the machine is being emptied before its release.
func (m *Machine) Draining() bool { return m.draining }

// StartDraining begins to empty the machine: it is sent no more starts.
func (m *Machine) StartDraining() { m.draining = true }

// StopDraining ends the draining of the machine without a release.
func (m *Machine) StopDraining() { m.draining = false }

// Cordoned reports whether operators have withdrawn the machine from placement.
func (m *Machine) Cordoned() bool { return m.cordoned }

// CordonPlanned reports whether the machine is about to be cordoned.
func (m *Machine) CordonPlanned() bool { return m.cordonPlanned }

// SetCordon sets whether the operators' drain plans cordon the machine now, and whether they are
// about to. It returns false if nothing changes.
func (m *Machine) SetCordon(cordoned, planned bool) bool {
	if m.cordoned == cordoned && m.cordonPlanned == planned {
		return false
	}
	m.cordoned, m.cordonPlanned = cordoned, planned
	return true
}

// PauseStarts keeps new work from being placed on the machine until the given time.
func (m *Machine) PauseStarts(until time.Time) { m.startsPausedUntil = until }

// StartsPaused reports whether no new work may be placed on the machine for the moment. Work that
// is already placed may still be started.
func (m *Machine) StartsPaused(now time.Time) bool { return m.startsPausedUntil.After(now) }

// ScaleInRequested records that the machine's release was requested. The machine counts as draining
// from then on.
func (m *Machine) ScaleInRequested() { m.draining, m.failedScaleIns = true, 0 }

// ScaleInFailed records that a release request failed or has no known outcome. The request is
// repeated from retryAt on.
func (m *Machine) ScaleInFailed(retryAt time.Time) {
	m.failedScaleIns++
	m.startsPausedUntil = retryAt
}

// ScaleInToRetry reports whether a release request has failed since ScaleInRequested.
func (m *Machine) ScaleInToRetry() bool { return m.failedScaleIns > 0 }

// ScaleInPending reports whether the machine is being released and the request must not be repeated
// now.
func (m *Machine) ScaleInPending(now time.Time) bool {
	return m.state == ScalingIn && (m.failedScaleIns == 0 || now.Before(m.startsPausedUntil))
}

// Quarantined reports whether the machine is quarantined because too many attempts failed on it.
func (m *Machine) Quarantined() bool { return m.quarantined }

// Quarantine permanently withdraws the machine from placement; it is released once it is empty.
func (m *Machine) Quarantine() { m.quarantined = true }

// RecordFailure counts an exit with an error of one of the job's attempts against the machine.
func (m *Machine) RecordFailure(ref string) {
	if m.failedJobs == nil {
		m.failedJobs = map[string]bool{}
	}
	m.failures++
	m.failedJobs[ref] = true
}

// ClearFailures resets the count of failures on the machine.
func (m *Machine) ClearFailures() { m.failures, m.failedJobs = 0, nil }

// Failures returns the number of exits with errors on the machine since the last success there.
func (m *Machine) Failures() int { return m.failures }

// FailedJobs lists the references of the jobs whose exits Failures counts, sorted.
func (m *Machine) FailedJobs() []string {
	if len(m.failedJobs) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m.failedJobs))
}

// History is what a leader passes on to the next one about a machine, besides its state.
type History struct {
	Quarantined, Draining, ListedRunning bool
	FirstSeen, IdleSince                 time.Time
	Failures                             int
	FailedJobs                           []string
}

// History returns the machine's history for the next leader.
func (m *Machine) History() History {
	return History{
		Quarantined: m.quarantined, Draining: m.draining, ListedRunning: m.listedRunning,
		FirstSeen: m.firstSeen, IdleSince: m.idleSince,
		Failures: m.failures, FailedJobs: m.FailedJobs(),
	}
}

// RestoreHistory sets the machine's history as received from the previous leader.
func (m *Machine) RestoreHistory(h History) {
	m.quarantined, m.draining, m.listedRunning = h.Quarantined, h.Draining, h.ListedRunning
	m.firstSeen, m.idleSince = h.FirstSeen, h.IdleSince
	for _, ref := range h.FailedJobs {
		m.RecordFailure(ref)
	}
	m.failures = h.Failures
}
