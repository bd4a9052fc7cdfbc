package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gingertally/internal/standby"
)

// StandbyStatus is a node's part in the warm standby, as an operator wants to see it.
type StandbyStatus struct {
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

// TakeoverStatus is the last takeover of a node: how long after it saw that nobody led each
// phase was reached.
type TakeoverStatus struct {
	Term   uint64                   `json:"term"`
	Warm   bool                     `json:"warm"`
	Phases map[string]time.Duration `json:"phases_ns"`
}

// status is the node's part in the warm standby; nil if it is off.
func (n *standbyNode) status(now time.Time) *StandbyStatus {
	if n == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	counts, at := n.standby.Counts(), n.standby.Position()
	s := &StandbyStatus{
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
func (n *standbyNode) logState() string {
	switch {
	case n.log == nil:
		return "off"
	case n.log.broken.Load():
		return "failed"
	}
	return "ok"
}

func takeoverStatus(t *standby.Takeover) *TakeoverStatus {
	s := &TakeoverStatus{Term: t.Term, Warm: t.Warm, Phases: map[string]time.Duration{}}
	for _, p := range standby.Phases() {
		if since, known := t.Since(p); known {
			s.Phases[p.String()] = since
		}
	}
	return s
}

// standbyMetrics are the counters of the warm standby.
type standbyMetrics struct {
	phases    *prometheus.HistogramVec
	logFailed prometheus.Gauge
	registry  prometheus.Registerer
}

func newStandbyMetrics(registry prometheus.Registerer) *standbyMetrics {
	m := &standbyMetrics{
		phases: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "gingertally_takeover_seconds",
			Help: "From when nobody led to each phase of a takeover, by whether it went on from the warm state.", Buckets: latencies},
			[]string{"phase", "warm"}),
		logFailed: prometheus.NewGauge(prometheus.GaugeOpts{Name: "gingertally_decision_log_failed", Help: "1 once the decision log has failed."}),
		registry:  registry,
	}
	registry.MustRegister(m.phases, m.logFailed)
	return m
}

// observePhase counts a phase of a takeover.
func (m *standbyMetrics) observePhase(warm bool, p standby.Phase, since time.Duration) {
	label := "false"
	if warm {
		label = "true"
	}
	m.phases.WithLabelValues(p.String(), label).Observe(since.Seconds())
}

// watch has the present state of a node's standby told with the other metrics.
func (m *standbyMetrics) watch(n *standbyNode) {
	gauge := func(name, help string, value func(*StandbyStatus) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return value(n.status(time.Now())) }))
	}
	gauge("gingertally_standby_current", "1 while this node has all changes of the leader's warm state that it knows of, or leads.",
		func(s *StandbyStatus) float64 {
			if s.State == standby.Following.String() || s.State == standby.Active.String() {
				return 1
			}
			return 0
		})
	gauge("gingertally_standby_lag_changes", "Changes that the copy of the warm state is known to lack.",
		func(s *StandbyStatus) float64 { return float64(s.LagChanges) })
	gauge("gingertally_standby_lag_seconds", "Time since the leader's stream was last heard.",
		func(s *StandbyStatus) float64 { return s.LagTime.Seconds() })
	gauge("gingertally_standby_snapshots", "Snapshots of the warm state that were received whole.",
		func(s *StandbyStatus) float64 { return float64(s.Snapshots) })
	gauge("gingertally_standby_drops", "How often the copy was dropped for a gap or a differing digest.",
		func(s *StandbyStatus) float64 { return float64(s.Gaps + s.Mismatches) })
}
