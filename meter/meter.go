// Package meter holds the Prometheus metrics of a process. They include the four
// by which users judge the system: cold starts, idle engine time, service for each
// workspace, and refusals of requests inside a workspace's rate.
package meter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oleanderstall/quarantiner"
)

// Meter is the set of metrics of one process, with a registry of its own. It is
// safe for concurrent use.
type Meter struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	tokens            *prometheus.CounterVec
	refusedInsideRate *prometheus.CounterVec
	timeToFirstToken  *prometheus.HistogramVec
	coldStart         prometheus.Histogram
	idleTime          prometheus.Counter
	configVersion     prometheus.Gauge
	heldShards        prometheus.Gauge
	requestDuration   *prometheus.HistogramVec
	reservationWait   prometheus.Histogram
	retries           *prometheus.CounterVec
	orders            *prometheus.CounterVec
	storeCalls        *prometheus.HistogramVec
	callersEnded      *prometheus.CounterVec
}

// New returns a Meter with all metrics registered and at zero.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_requests_total", Help: "Requests by workspace and outcome.",
		}, []string{"workspace", "outcome"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_tokens_total", Help: "Tokens used by workspace.",
		}, []string{"workspace"}),
		refusedInsideRate: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_refused_inside_rate_total",
			Help: "Requests refused for a reason other than the workspace's own rate.",
		}, []string{"workspace", "kind"}),
		timeToFirstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderstall_first_token_seconds", Help: "Time to the first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"workspace"}),
		coldStart: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleanderstall_cold_start_seconds", Help: "Duration of replica loads.",
			Buckets: prometheus.ExponentialBuckets(0.1, 2, 12),
		}),
		idleTime: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oleanderstall_idle_seconds_total", Help: "Seconds in which an engine held only idle models.",
		}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleanderstall_config_version", Help: "Configuration version in force here.",
		}),
		heldShards: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleanderstall_shards_held", Help: "Shards held by this process.",
		}),
		requestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderstall_request_seconds", Help: "Time from the arrival of a request to its end, by outcome.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"outcome"}),
		reservationWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleanderstall_place_wait_seconds", Help: "Time that an attempt waited for a backend server.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_retries_total", Help: "Attempts that ended and were followed by another, by cause.",
		}, []string{"kind"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_orders_total", Help: "Orders to the engine, by kind and outcome.",
		}, []string{"op", "outcome"}),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderstall_store_call_seconds", Help: "Calls to the store, by kind and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"call", "outcome"}),
		callersEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_callers_ended_total", Help: "Connections ended and requests refused because of what callers hold, by cause.",
		}, []string{"cause"}),
	}
	m.registry.MustRegister(m.requests, m.tokens, m.refusedInsideRate, m.timeToFirstToken, m.coldStart, m.idleTime, m.configVersion, m.heldShards,
		m.requestDuration, m.reservationWait, m.retries, m.orders, m.storeCalls, m.callersEnded)
	return m
}

// RecordRequest counts a request that ended with outcome: "served" or the kind of the
// refusal.
func (m *Meter) RecordRequest(workspace, outcome string) {
	m.requests.WithLabelValues(workspace, outcome).Inc()
}

// RecordRequestDuration records the time d from the arrival of a request to its outcome.
func (m *Meter) RecordRequestDuration(outcome string, d time.Duration) {
	m.requestDuration.WithLabelValues(outcome).Observe(d.Seconds())
}

// RecordReservationWait records the time d that an attempt waited for a reservation at
// a backend server.
func (m *Meter) RecordReservationWait(d time.Duration) { m.reservationWait.Observe(d.Seconds()) }

// RecordRetry counts an attempt that ended with a refusal of that kind and was followed
// by another attempt.
func (m *Meter) RecordRetry(kind string) { m.retries.WithLabelValues(kind).Inc() }

// RecordCallerEnded counts a connection that was ended, or a request that was refused, because of
// what callers hold.
func (m *Meter) RecordCallerEnded(cause string) { m.callersEnded.WithLabelValues(cause).Inc() }

// RegisterCallers registers the number of open connections and the bytes that they hold.
func (m *Meter) RegisterCallers(held func() (connections int, bytes int64)) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oleanderstall_callers_connections", Help: "Open connections of callers, operators and health checks.",
		}, func() float64 {
			connections, _ := held()
			return float64(connections)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oleanderstall_callers_held_bytes", Help: "Memory reserved for callers' connections and requests.",
		}, func() float64 {
			_, bytes := held()
			return float64(bytes)
		}),
	)
}

// RecordOrder counts an order to the engine by its operation and outcome.
func (m *Meter) RecordOrder(op, outcome string) { m.orders.WithLabelValues(op, outcome).Inc() }

// RecordStoreCall records a call to the store that took d.
func (m *Meter) RecordStoreCall(call, outcome string, d time.Duration) {
	m.storeCalls.WithLabelValues(call, outcome).Observe(d.Seconds())
}

// RegisterDroppedLines registers the counter of dropped log lines, whose value f
// returns. It panics if it is called twice.
func (m *Meter) RegisterDroppedLines(f func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "oleanderstall_log_lines_dropped_total", Help: "Log lines dropped because there were too many.",
	}, func() float64 { return float64(f()) }))
}

// quarantineCollector collects the quarantines in force.
type quarantineCollector struct {
	age  *prometheus.Desc
	list func() ([]*quarantiner.Quarantine, time.Duration)
}

// Describe implements prometheus.Collector.
func (c quarantineCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.age }

// Collect implements prometheus.Collector.
func (c quarantineCollector) Collect(metrics chan<- prometheus.Metric) {
	quarantines, now := c.list()
	for _, q := range quarantines {
		metrics <- prometheus.MustNewConstMetric(c.age, prometheus.GaugeValue, (now - q.Since()).Seconds(), q.Pool(), strconv.FormatUint(q.ID(), 16))
	}
}

// RegisterQuarantines registers the quarantines in force, which list returns with the present
// instant. It panics if it is called twice.
func (m *Meter) RegisterQuarantines(list func() ([]*quarantiner.Quarantine, time.Duration)) {
	m.registry.MustRegister(quarantineCollector{list: list, age: prometheus.NewDesc(
		"oleanderstall_quarantine_age_seconds",
		"Time since the first crash of a backend server on a part of requests that is quarantined.",
		[]string{"pool", "part"}, nil,
	)})
}

// RecordRefusedInsideRate counts a request that was refused with that kind for a reason
// other than the workspace's own rate.
func (m *Meter) RecordRefusedInsideRate(workspace, kind string) {
	m.refusedInsideRate.WithLabelValues(workspace, kind).Inc()
}

// RecordTokens adds n tokens to those that the workspace has used.
func (m *Meter) RecordTokens(workspace string, n float64) { m.tokens.WithLabelValues(workspace).Add(n) }

// RecordTimeToFirstToken records the time d to the first token of an answer.
func (m *Meter) RecordTimeToFirstToken(workspace string, d time.Duration) {
	m.timeToFirstToken.WithLabelValues(workspace).Observe(d.Seconds())
}

// RecordColdStart records the duration of loading a replica.
func (m *Meter) RecordColdStart(d time.Duration) { m.coldStart.Observe(d.Seconds()) }

// RecordIdleTime adds time in which an engine held only idle models.
func (m *Meter) RecordIdleTime(d time.Duration) { m.idleTime.Add(d.Seconds()) }

// RecordConfigVersion sets the configuration version in force in this process.
func (m *Meter) RecordConfigVersion(version uint64) { m.configVersion.Set(float64(version)) }

// RecordHeldShards sets the number of shards that this process holds.
func (m *Meter) RecordHeldShards(n int) { m.heldShards.Set(float64(n)) }

// Handler returns a handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
