package replication

import (
	"time"

	"gingertally/internal/controller/metrics"
	"gingertally/internal/standby"
)

// Status is a controller's part in the warm standby, as operators are shown it. Its JSON is part of
// their interface.
type Status struct {
	State    string `json:"state"`
	Term     uint64 `json:"term"`     // that the copy is of, or, of a leader, its own
	Sequence uint64 `json:"sequence"` // of the newest change in it
	Entries  int    `json:"entries"`

	// Of a follower.
	LagChanges uint64        `json:"lag_changes"`
	LagTime    time.Duration `json:"lag_ns"` // since its leader was last heard
	Snapshots  uint64        `json:"snapshots"`
	Gaps       uint64        `json:"gaps"`
	Mismatches uint64        `json:"mismatches"`

	// Of the leader: how many changes each follower lacks.
	Followers map[string]uint64 `json:"followers,omitempty"`

	LastTakeover *TakeoverStatus `json:"last_takeover,omitempty"`
	Log          string          `json:"log"` // "off", "ok" or "failed"
}

// TakeoverStatus is the last takeover of a controller: how long after it saw that nobody led each
// phase was reached.
type TakeoverStatus struct {
	Term   uint64                   `json:"term"`
	Warm   bool                     `json:"warm"`
	Phases map[string]time.Duration `json:"phases_ns"`
}

// States of the decision log.
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

// logState tells of the decision log.
func (n *Node) logState() string {
	switch {
	case n.log == nil:
		return logOff
	case n.log.broken.Load():
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

// metricsState is the present state as the metrics show it.
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
