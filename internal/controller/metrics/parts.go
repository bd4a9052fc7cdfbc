package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gingertally/internal/admission"
	"gingertally/internal/drain"
	"gingertally/internal/standby"
)

// Standby holds the metrics of the warm standby.
type Standby struct {
	phases    *prometheus.HistogramVec
	logFailed prometheus.Gauge
	registry  prometheus.Registerer
}

func newStandby(registry prometheus.Registerer) *Standby {
	m := &Standby{
		phases: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "gingertally_takeover_seconds",
			Help:    "From when nobody led to each phase of a takeover, by whether it went on from the warm state.",
			Buckets: latencyBuckets}, []string{"phase", "warm"}),
		logFailed: prometheus.NewGauge(prometheus.GaugeOpts{Name: "gingertally_decision_log_failed",
			Help: "1 once the decision log has failed."}),
		registry: registry,
	}
	registry.MustRegister(m.phases, m.logFailed)
	return m
}

// ObservePhase records that a node reached a phase of a takeover, and the time since it saw that there
// was no leader. Warm says whether the copy of the warm state had been accepted when the phase was
// recorded; it is false for ClaimStored and ViewCurrent.
func (m *Standby) ObservePhase(warm bool, phase standby.TakeoverPhase, since time.Duration) {
	m.phases.WithLabelValues(phase.String(), strconv.FormatBool(warm)).Observe(since.Seconds())
}

// DecisionLogFailed records that the decision log has failed.
func (m *Standby) DecisionLogFailed() { m.logFailed.Set(1) }

// StandbyState is the state of a node's standby at the time at which the metrics are read.
type StandbyState struct {
	Current    bool // the copy has all changes that the node knows of, or the node leads
	LagChanges uint64
	Lag        time.Duration
	Snapshots  uint64
	Drops      uint64
}

// RegisterState registers gauges of the state of a node's standby. They call state whenever the metrics
// are read.
func (m *Standby) RegisterState(state func() StandbyState) {
	gauge := func(name, help string, value func(StandbyState) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return value(state()) }))
	}
	gauge("gingertally_standby_current", "1 while this node has all changes of the leader's warm state that it knows of, or leads.",
		func(s StandbyState) float64 {
			if s.Current {
				return 1
			}
			return 0
		})
	gauge("gingertally_standby_lag_changes", "Changes that the copy of the warm state is known to lack.",
		func(s StandbyState) float64 { return float64(s.LagChanges) })
	gauge("gingertally_standby_lag_seconds", "Time since the leader's stream was last heard.",
		func(s StandbyState) float64 { return s.Lag.Seconds() })
	gauge("gingertally_standby_snapshots", "Snapshots of the warm state that were received whole.",
		func(s StandbyState) float64 { return float64(s.Snapshots) })
	gauge("gingertally_standby_drops", "How often the copy was dropped for a gap or a differing digest.",
		func(s StandbyState) float64 { return float64(s.Drops) })
}

// Admission holds the metrics of admission control.
type Admission struct {
	decisions *prometheus.CounterVec
	policy    prometheus.Gauge
}

func newAdmission(registry prometheus.Registerer) *Admission {
	m := &Admission{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_admission_decisions_total",
			Help: "Submissions by team and decision."}, []string{"team", "decision"}),
		policy: prometheus.NewGauge(prometheus.GaugeOpts{Name: "gingertally_admission_policy",
			Help: "Number of the admission policy that is applied."}),
	}
	registry.MustRegister(m.decisions, m.policy)
	return m
}

// CountDecision counts a decision about a submission. Teams are those of the settings, so that the
// team label has a limited number of values.
func (m *Admission) CountDecision(team string, decision admission.Decision) {
	label := "admitted"
	if !decision.Admitted {
		label = decision.Reason.String()
	}
	m.decisions.WithLabelValues(team, label).Inc()
}

// PolicyApplied records the number of the policy that is applied.
func (m *Admission) PolicyApplied(number uint64) { m.policy.Set(float64(number)) }

// Drains holds the gauges of drains, which only the leader sets.
type Drains struct {
	machines, interruptions *prometheus.GaugeVec
}

func newDrains(registry prometheus.Registerer) *Drains {
	m := &Drains{
		machines: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "gingertally_drain_machines",
			Help: "Machines of operators' drain plans, by state."}, []string{"state"}),
		interruptions: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "gingertally_interruptions",
			Help: "Interruptions of tasks that the ledger holds, by team, class and kind."}, []string{"team", "class", "kind"}),
	}
	registry.MustRegister(m.machines, m.interruptions)
	return m
}

// Update sets the gauges to the values of a status, and removes all others.
func (m *Drains) Update(status *drain.Status) {
	m.Reset()
	for state, n := range status.States {
		m.machines.WithLabelValues(state).Set(float64(n))
	}
	for _, scope := range status.Scopes {
		m.interruptions.WithLabelValues(scope.Team, scope.Class, drain.Voluntary.String()).Set(float64(scope.Voluntary))
		m.interruptions.WithLabelValues(
			scope.Team, scope.Class, drain.Involuntary.String(),
		).Set(float64(scope.Involuntary))
	}
}

// Reset removes the gauges, for example when this node no longer leads.
func (m *Drains) Reset() {
	m.machines.Reset()
	m.interruptions.Reset()
}
