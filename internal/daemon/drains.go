package daemon

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gingertally/internal/core"
	"gingertally/internal/drain"
	"gingertally/internal/jobstore"
	"gingertally/internal/statestore"
)

// This file joins operators' drains to the leader's session: it reads what is stored of them
// at a takeover, watches the plans, and writes the leader's changes of plans.

// storedDrains reads what is stored of drains; nothing if they are off.
func (s *leaderSession) storedDrains() (drain.Stored, error) {
	if s.daemon.coreConfig.Drain == nil {
		return drain.Stored{}, nil
	}
	return s.daemon.records.Drains(s.ctx)
}

// drainMetricsEvery is how often the metrics of drains are brought up to date.
const drainMetricsEvery = 5 * time.Second

// drainLoop learns of new and changed plans.
func (s *leaderSession) drainLoop() error {
	if s.daemon.coreConfig.Drain == nil {
		return nil
	}
	go s.measureDrains()
	since := s.ledger
	for s.ctx.Err() == nil {
		news, err := s.daemon.store.Watch(s.ctx, jobstore.DrainPlanPrefix, since)
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			since = s.readAllPlans(since)
		case err != nil:
			sleep(s.ctx, watchRetry)
		default:
			s.takePlans(news)
			since = max(since, news.Revision)
		}
	}
	return s.ctx.Err()
}

// readAllPlans brings the engine all plans, for a watch that fell too far behind, and returns
// the revision to watch on from.
func (s *leaderSession) readAllPlans(since uint64) uint64 {
	plans, revision, err := s.daemon.records.DrainPlans(s.ctx)
	if err != nil {
		sleep(s.ctx, watchRetry)
		return since
	}
	for _, plan := range plans {
		s.step(core.DrainPlanStored{Stored: plan})
	}
	return revision
}

// takePlans brings the engine the changed plans.
func (s *leaderSession) takePlans(news statestore.WatchResponse) {
	for _, change := range news.Events {
		if change.Delete {
			continue
		}
		plan, err := jobstore.DecodeDrainPlan(change.KeyValue)
		if err != nil {
			slog.Error("drain plan", "error", err)
			continue
		}
		s.step(core.DrainPlanStored{Stored: plan})
	}
}

// drainPlanTimeout bounds the write of a plan's record.
const drainPlanTimeout = 3 * time.Second

// writeDrainPlan writes the leader's change of a plan. If that fails, the engine asks again;
// what others have changed comes with the watch.
func (s *leaderSession) writeDrainPlan(w drain.PlanWrite) {
	ctx, cancel := context.WithTimeout(s.ctx, drainPlanTimeout)
	defer cancel()
	err := s.daemon.records.WriteDrainPlan(ctx, s.term, w)
	if err != nil {
		slog.Debug("drain plan", "plan", w.Plan.ID, "error", err)
	}
	s.step(core.DrainPlanWritten{Write: w, OK: err == nil})
}

// measureDrains keeps the metrics of drains up to date while the session lasts.
func (s *leaderSession) measureDrains() {
	for sleep(s.ctx, drainMetricsEvery) {
		s.mu.Lock()
		status := s.engine.DrainStatus(time.Now())
		s.mu.Unlock()
		s.daemon.metrics.drains.show(status)
	}
	s.daemon.metrics.drains.reset()
}

// drainMetrics are the gauges of drains, shown by the leader.
type drainMetrics struct {
	machines, interruptions *prometheus.GaugeVec
}

func newDrainMetrics(registry *prometheus.Registry) *drainMetrics {
	m := &drainMetrics{
		machines: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "gingertally_drain_machines",
			Help: "Machines of operators' drain plans, by state."}, []string{"state"}),
		interruptions: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "gingertally_interruptions",
			Help: "Interruptions of tasks that the ledger holds, by team, class and kind."}, []string{"team", "class", "kind"}),
	}
	registry.MustRegister(m.machines, m.interruptions)
	return m
}

// show brings the gauges up to date.
func (m *drainMetrics) show(status *drain.Status) {
	m.reset()
	for state, n := range status.States {
		m.machines.WithLabelValues(state).Set(float64(n))
	}
	for _, scope := range status.Scopes {
		m.interruptions.WithLabelValues(scope.Team, scope.Class, drain.Voluntary.String()).Set(float64(scope.Voluntary))
		m.interruptions.WithLabelValues(scope.Team, scope.Class, drain.Involuntary.String()).Set(float64(scope.Involuntary))
	}
}

func (m *drainMetrics) reset() {
	m.machines.Reset()
	m.interruptions.Reset()
}
