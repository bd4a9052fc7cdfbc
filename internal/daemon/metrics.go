package daemon

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"gingertally/internal/core/fleet"
	"gingertally/internal/statestore"
)

// metrics are a node's counters and histograms, on /metrics.
type metrics struct {
	registry   *prometheus.Registry
	handler    fasthttp.RequestHandler
	heartbeats *prometheus.CounterVec
	commands   [3]prometheus.Counter
	calls      *prometheus.CounterVec
	callTime   *prometheus.HistogramVec
	round      prometheus.Histogram
	store      *prometheus.CounterVec
	leading    prometheus.Gauge
	term       prometheus.Gauge
	standby    *standbyMetrics
	admission  *admissionMetrics
	drains     *drainMetrics
}

// Buckets from 1 ms to 8 s; a user waits 5 s at the most.
var latencies = prometheus.ExponentialBuckets(0.001, 2, 14)

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	m := &metrics{
		registry: registry,
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_reports_total",
			Help: "Workers' reports, by the status of the answer."}, []string{"status"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_user_calls_total",
			Help: "Users' calls, by method and status of the answer."}, []string{"method", "status"}),
		callTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "gingertally_user_call_seconds",
			Help: "How long users' calls took.", Buckets: latencies}, []string{"method"}),
		round: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "gingertally_round_seconds",
			Help: "How long ticks with their rounds of decisions took.", Buckets: latencies}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_store_answers_total",
			Help: "Answers of the state service, by whether the request was served."}, []string{"served"}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{Name: "gingertally_leading", Help: "1 while this node leads."}),
		term:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "gingertally_term", Help: "The last term that this node led in."}),
	}
	commands := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gingertally_commands_total",
		Help: "Commands given in answer to reports."}, []string{"command"})
	for op, name := range map[fleet.CommandKind]string{fleet.Start: "start", fleet.Stop: "stop", fleet.Forget: "forget"} {
		m.commands[op] = commands.WithLabelValues(name)
	}
	registry.MustRegister(m.heartbeats, m.calls, m.callTime, m.round, m.store, m.leading, m.term, commands)
	m.admission = newAdmissionMetrics(registry)
	m.standby = newStandbyMetrics(registry)
	m.drains = newDrainMetrics(registry)
	m.handler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return m
}

// countStoreAnswer counts an answer of the state service.
func (m *metrics) countStoreAnswer(contact statestore.Contact) {
	m.store.WithLabelValues(strconv.FormatBool(contact == statestore.Served)).Inc()
}

// countHeartbeat counts a worker's heartbeat.
func (m *metrics) countHeartbeat(status int) {
	m.heartbeats.WithLabelValues(strconv.Itoa(status)).Inc()
}

// countCall counts a user's call.
func (m *metrics) countCall(method string, status int, took time.Duration) {
	m.calls.WithLabelValues(method, strconv.Itoa(status)).Inc()
	m.callTime.WithLabelValues(method).Observe(took.Seconds())
}

// countCommands counts the commands of an answer to a heartbeat.
func (m *metrics) countCommands(commands []fleet.Command) {
	for _, command := range commands {
		m.commands[command.Kind].Inc()
	}
}
