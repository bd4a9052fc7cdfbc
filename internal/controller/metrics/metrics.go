// Package metrics holds a controller's counters, histograms and gauges, which /metrics exposes in
// the Prometheus format. Operators rely on their names and labels, which testdata/metrics.txt
// lists. All methods may be called from any goroutine.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"gingertally/internal/core/fleet"
)

// Metrics holds all metrics of a controller.
type Metrics struct {
	Standby   *Standby
	Admission *Admission
	Drains    *Drains

	registry   *prometheus.Registry
	handler    fasthttp.RequestHandler
	heartbeats *prometheus.CounterVec
	commands   [len(commandNames)]prometheus.Counter
	calls      *prometheus.CounterVec
	callTime   *prometheus.HistogramVec
	round      prometheus.Histogram
	store      *prometheus.CounterVec
	leading    prometheus.Gauge
	term       prometheus.Gauge
}

// latencyBuckets are histogram buckets from 1 ms to 8 s; a user waits at most 5 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 14)

// commandNames are the values of the command label, by kind of command to a worker.
var commandNames = [...]string{fleet.Start: "start", fleet.Stop: "stop", fleet.Forget: "forget"}

// New creates and registers the metrics of a controller, all at zero.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	m := &Metrics{
		registry: registry,
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_reports_total",
			Help: "Workers' heartbeats, by the status of the answer."}, []string{"status"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_user_calls_total",
			Help: "Users' calls, by method and status of the answer."}, []string{"method", "status"}),
		callTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "gingertally_user_call_seconds",
			Help: "How long users' calls took.", Buckets: latencyBuckets}, []string{"method"}),
		round: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "gingertally_round_seconds",
			Help: "How long ticks with their rounds of decisions took.", Buckets: latencyBuckets}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_store_answers_total",
			Help: "Answers of the state service, by whether the request was served."}, []string{"served"}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gingertally_leading",
			Help: "1 while this node leads.",
		}),
		term: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gingertally_term",
			Help: "The last term that this node led in.",
		}),
	}
	commands := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_commands_total",
		Help: "Commands given in answer to heartbeats."}, []string{"command"})
	for kind, name := range commandNames {
		m.commands[kind] = commands.WithLabelValues(name)
	}
	registry.MustRegister(m.heartbeats, m.calls, m.callTime, m.round, m.store, m.leading, m.term, commands)
	m.Admission = newAdmission(registry)
	m.Standby = newStandby(registry)
	m.Drains = newDrains(registry)
	m.handler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return m
}

// Handle serves /metrics.
func (m *Metrics) Handle(request *fasthttp.RequestCtx) { m.handler(request) }

// CountStoreAnswer counts a response of the state service, by whether the request was served.
func (m *Metrics) CountStoreAnswer(served bool) {
	m.store.WithLabelValues(strconv.FormatBool(served)).Inc()
}

// CountHeartbeat counts a worker's heartbeat by the status of its answer.
func (m *Metrics) CountHeartbeat(status int) {
	m.heartbeats.WithLabelValues(strconv.Itoa(status)).Inc()
}

// CountCall counts a user's call and records how long it took.
func (m *Metrics) CountCall(method string, status int, took time.Duration) {
	m.calls.WithLabelValues(method, strconv.Itoa(status)).Inc()
	m.callTime.WithLabelValues(method).Observe(took.Seconds())
}

// CountCommands counts the commands in the answer to a heartbeat.
func (m *Metrics) CountCommands(commands []fleet.Command) {
	for _, command := range commands {
		m.commands[command.Kind].Inc()
	}
}

// ObserveRound records how long a tick with its round of decisions took.
func (m *Metrics) ObserveRound(took time.Duration) { m.round.Observe(took.Seconds()) }

// TermStarted records that this node leads, and its term.
func (m *Metrics) TermStarted(number uint64) {
	m.leading.Set(1)
	m.term.Set(float64(number))
}

// TermEnded records that this node no longer leads.
func (m *Metrics) TermEnded() { m.leading.Set(0) }
