package daemon

import (
	"sort"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gingertally/internal/admission"
)

// AdmissionStatus is what a node applies, as an operator wants to see it.
type AdmissionStatus struct {
	Term     uint64          `json:"term"`
	Number   uint64          `json:"number"`
	Reason   string          `json:"reason"`
	Age      time.Duration   `json:"age_ns"` // since a leader last confirmed the policy
	Fallback bool            `json:"fallback"`
	Classes  []ClassDecision `json:"classes"`
}

// ClassDecision is what a node applies to a class of a team's jobs, and has counted of it
// since its start.
type ClassDecision struct {
	Team     string  `json:"team"`
	Class    string  `json:"class"`
	Priority int     `json:"priority"`
	Due      float64 `json:"due"`      // part of the capacity; 0 without overload
	Asked    float64 `json:"asked"`    // part of the capacity that is asked for, as the leader measures it
	Got      float64 `json:"got"`      // part of the capacity that is admitted, likewise; 0 where nothing is refused
	Fraction float64 `json:"fraction"` // of its jobs whose turn comes with each policy; 1: all are taken
	Offered  int     `json:"offered"`
	Admitted int     `json:"admitted"`
	Refused  int     `json:"refused"`
}

// status is what the node applies; nil if admission control is off.
func (n *admissionNode) status(now time.Time) *AdmissionStatus {
	if n == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.gate.Policy()
	s := &AdmissionStatus{Term: p.Term, Number: p.Number, Reason: p.Reason.String(), Age: now.Sub(n.gate.HeardAt()), Fallback: n.gate.Fallback(now)}
	classes := map[admission.Key]*ClassDecision{}
	of := func(k admission.Key) *ClassDecision {
		if classes[k] == nil {
			classes[k] = &ClassDecision{Team: k.Team, Class: k.Class, Priority: int(k.Priority), Fraction: 1}
		}
		return classes[k]
	}
	for _, share := range p.Shares {
		c := of(share.Key)
		c.Due, c.Fraction = share.Due, share.Fraction
	}
	for _, m := range n.shares {
		c := of(m.Key)
		c.Asked, c.Got = m.Offered, m.Got
	}
	for k, total := range n.totals {
		c := of(k)
		c.Offered, c.Admitted, c.Refused = total.Offered, total.Admitted, total.Refused
	}
	for _, c := range classes {
		s.Classes = append(s.Classes, *c)
	}
	sort.Slice(s.Classes, func(i, k int) bool {
		a, b := &s.Classes[i], &s.Classes[k]
		if a.Team != b.Team {
			return a.Team < b.Team
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.Class < b.Class
	})
	return s
}

// admissionMetrics are the counters of admission control.
type admissionMetrics struct {
	decisions *prometheus.CounterVec
	policy    prometheus.Gauge
}

func newAdmissionMetrics(registry prometheus.Registerer) *admissionMetrics {
	m := &admissionMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_admission_decisions_total",
			Help: "Submissions by team and decision."}, []string{"team", "decision"}),
		policy: prometheus.NewGauge(prometheus.GaugeOpts{Name: "gingertally_admission_policy", Help: "Number of the admission policy that is applied."}),
	}
	registry.MustRegister(m.decisions, m.policy)
	return m
}

// count counts a decision. Teams are those of the settings.
func (m *admissionMetrics) count(team string, d admission.Decision) {
	decision := "admitted"
	if !d.Admitted {
		decision = d.Reason.String()
	}
	m.decisions.WithLabelValues(team, decision).Inc()
}
