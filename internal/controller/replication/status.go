package replication

import (
	"time"

	"gingertally/internal/controller/metrics"
	"gingertally/internal/standby"
)

// Status is the state of a controller's part in the warm standby, as shown to operators. Its JSON
// form is part of the operators' interface.
type Status struct {
	State    string `json:"state"`
	Term     uint64 `json:"term"`     // the leader's own term; on a follower, that of its complete copy, else 0
	Sequence uint64 `json:"sequence"` // number of that term's newest change, or of the newest in the copy
	Entries  int    `json:"entries"`  // in the copy, which a leader keeps as it was at the takeover

	// Set unless this controller leads.
	LagChanges uint64        `json:"lag_changes"` // changes that the copy is known to lack
	LagTime    time.Duration `json:"lag_ns"`      // since the last frame of the copy's leader; 0 if none has come

	// Counts since the controller's start.
	Snapshots  uint64 `json:"snapshots"`  // snapshots received completely
	Gaps       uint64 `json:"gaps"`       // frames that showed that changes or parts of a snapshot are missing
	Mismatches uint64 `json:"mismatches"` // copies dropped because their digest differed from the leader's

	// Followers is set on the leader: how many changes each follower hasn't acknowledged. The
	// leader's own decision log is listed as logFollower; it acknowledges nothing.
	Followers map[string]uint64 `json:"followers,omitempty"`

	// LastTakeover is nil unless this controller has claimed leadership since it last saw a leader
	// lost.
	LastTakeover *TakeoverStatus `json:"last_takeover,omitempty"`
	Log          string          `json:"log"` // state of the decision log: logOff, logOK or logFailed
}

// TakeoverStatus describes the last takeover by a controller.
type TakeoverStatus struct {
	Term uint64 `json:"term"`
	Warm bool   `json:"warm"` // the engine started from the copy
	// Phases holds, by name of a phase that was reached, the time from when the controller saw the
	// leader's lease gone until then; it is negative for the previous leader's last frame.
	Phases map[string]time.Duration `json:"phases_ns"`
}

// States of the decision log (Status.Log).
const (
	logOff    = "off"
	logOK     = "ok"
	logFailed = "failed"
)

// Status implements Replicator.
func (n *Node) Status(now time.Time) *Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts, at := n.standby.Counts(), n.standby.Position()
	s := &Status{
		State: n.standby.State().String(), Term: at.Term, Sequence: at.Sequence, Entries: n.standby.Replica().Size(),
		Snapshots: counts.Snapshots, Gaps: counts.Gaps, Mismatches: counts.Mismatches, Log: n.logState(),
	}
	if n.publisher != nil {
		s.Term, s.Sequence, s.Followers = n.term, n.publisher.Newest(), map[string]uint64{}
		for name, acknowledged := range n.publisher.Followers() {
			s.Followers[name] = s.Sequence - min(s.Sequence, acknowledged)
		}
	} else {
		s.LagChanges, s.LagTime = n.standby.Lag(now)
	}
	if n.takeover.Term != 0 {
		s.LastTakeover = takeoverStatus(&n.takeover)
	}
	return s
}

// logState returns the state of the decision log. A log that couldn't be opened counts as off.
func (n *Node) logState() string {
	switch {
	case n.log == nil:
		return logOff
	case n.log.failed.Load():
		return logFailed
	}
	return logOK
}

func takeoverStatus(t *standby.Takeover) *TakeoverStatus {
	s := &TakeoverStatus{Term: t.Term, Warm: t.Warm, Phases: map[string]time.Duration{}}
	for _, phase := range standby.TakeoverPhases() {
		if since, known := t.Since(phase); known {
			s.Phases[phase.String()] = since
		}
	}
	return s
}

// metricsState returns the present state for the metrics.
func (n *Node) metricsState() metrics.StandbyState {
	s := n.Status(time.Now())
	current := s.State == standby.Following.String() || s.State == standby.Active.String()
	return metrics.StandbyState{
		Current:    current,
		LagChanges: s.LagChanges,
		Lag:        s.LagTime,
		Snapshots:  s.Snapshots,
		Drops:      s.Gaps + s.Mismatches,
	}
}
