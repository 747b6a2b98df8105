// Package meter holds the Prometheus metrics of a process. They include the four
// by which users judge the system: cold starts, idle engine time, service for each
// workspace, and refusals of requests inside a workspace's rate.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
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
	}
	m.registry.MustRegister(m.requests, m.tokens, m.refusedInsideRate, m.timeToFirstToken, m.coldStart, m.idleTime, m.configVersion, m.heldShards,
		m.requestDuration, m.reservationWait, m.retries, m.orders, m.storeCalls)
	return m
}

// Request counts a request that ended with outcome: "served" or the kind of the
// refusal.
func (m *Meter) Request(workspace, outcome string) {
	m.requests.WithLabelValues(workspace, outcome).Inc()
}

// RequestEnded records the time d from the arrival of a request to its outcome.
func (m *Meter) RequestEnded(outcome string, d time.Duration) {
	m.requestDuration.WithLabelValues(outcome).Observe(d.Seconds())
}

// Waited records the time d that an attempt waited for a reservation at a backend
// server.
func (m *Meter) Waited(d time.Duration) { m.reservationWait.Observe(d.Seconds()) }

// Retry counts an attempt that ended with a refusal of that kind and was followed
// by another attempt.
func (m *Meter) Retry(kind string) { m.retries.WithLabelValues(kind).Inc() }

// Order counts an order to the engine by its operation and outcome.
func (m *Meter) Order(op, outcome string) { m.orders.WithLabelValues(op, outcome).Inc() }

// Call records a call to the store that took d.
func (m *Meter) Call(call, outcome string, d time.Duration) {
	m.storeCalls.WithLabelValues(call, outcome).Observe(d.Seconds())
}

// Dropped registers the counter of dropped log lines, whose value is that of f. It
// panics if it is called twice.
func (m *Meter) Dropped(f func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "oleanderstall_log_lines_dropped_total", Help: "Log lines dropped because there were too many.",
	}, func() float64 { return float64(f()) }))
}

// Wrongful counts a request that was refused with that kind for a reason other
// than the workspace's own rate.
func (m *Meter) Wrongful(workspace, kind string) {
	m.refusedInsideRate.WithLabelValues(workspace, kind).Inc()
}

// Tokens adds n tokens to those that the workspace has used.
func (m *Meter) Tokens(workspace string, n float64) { m.tokens.WithLabelValues(workspace).Add(n) }

// First records the time d to the first token of an answer.
func (m *Meter) First(workspace string, d time.Duration) {
	m.timeToFirstToken.WithLabelValues(workspace).Observe(d.Seconds())
}

// Cold records the duration of loading a replica.
func (m *Meter) Cold(d time.Duration) { m.coldStart.Observe(d.Seconds()) }

// Idle adds time in which an engine held only idle models.
func (m *Meter) Idle(d time.Duration) { m.idleTime.Add(d.Seconds()) }

// Config sets the configuration version in force in this process.
func (m *Meter) Config(version uint64) { m.configVersion.Set(float64(version)) }

// Shards sets the number of shards that this process holds.
func (m *Meter) Shards(n int) { m.heldShards.Set(float64(n)) }

// Handler returns a handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
