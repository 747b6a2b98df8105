// Package meter holds the metrics of a process, among them the four that the
// users measure: cold starts, idle engine time, service for each workspace, and
// refusals inside the rate.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meter is the set of metrics. It is safe for concurrent use.
type Meter struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	tokens   *prometheus.CounterVec
	wrongful *prometheus.CounterVec
	first    *prometheus.HistogramVec
	cold     prometheus.Histogram
	idle     prometheus.Counter
	config   prometheus.Gauge
	shards   prometheus.Gauge
	took     *prometheus.HistogramVec
	waited   prometheus.Histogram
	retries  *prometheus.CounterVec
	orders   *prometheus.CounterVec
	calls    *prometheus.HistogramVec
}

// New returns metrics that all start at zero.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_requests_total", Help: "Requests by workspace and outcome.",
		}, []string{"workspace", "outcome"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_tokens_total", Help: "Tokens used by workspace.",
		}, []string{"workspace"}),
		wrongful: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_refused_inside_rate_total",
			Help: "Requests refused for a reason other than the workspace's own rate.",
		}, []string{"workspace", "kind"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderstall_first_token_seconds", Help: "Time to the first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"workspace"}),
		cold: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleanderstall_cold_start_seconds", Help: "Duration of replica loads.",
			Buckets: prometheus.ExponentialBuckets(0.1, 2, 12),
		}),
		idle: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oleanderstall_idle_seconds_total", Help: "Seconds in which an engine held only idle models.",
		}),
		config: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleanderstall_config_version", Help: "Configuration version in force here.",
		}),
		shards: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleanderstall_shards_held", Help: "Shards held by this process.",
		}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderstall_request_seconds", Help: "Time from the arrival of a request to its end, by outcome.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"outcome"}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleanderstall_place_wait_seconds", Help: "Time that an attempt waited for a backend server.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_retries_total", Help: "Attempts that ended and were followed by another, by cause.",
		}, []string{"kind"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleanderstall_orders_total", Help: "Orders to the engine, by kind and outcome.",
		}, []string{"op", "outcome"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleanderstall_store_call_seconds", Help: "Calls to the store, by kind and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"call", "outcome"}),
	}
	m.registry.MustRegister(m.requests, m.tokens, m.wrongful, m.first, m.cold, m.idle, m.config, m.shards,
		m.took, m.waited, m.retries, m.orders, m.calls)
	return m
}

// Request counts a request that ended with outcome, "served" or a refusal kind.
func (m *Meter) Request(workspace, outcome string) {
	m.requests.WithLabelValues(workspace, outcome).Inc()
}

// RequestEnded records the time that a request took until its outcome.
func (m *Meter) RequestEnded(outcome string, d time.Duration) {
	m.took.WithLabelValues(outcome).Observe(d.Seconds())
}

// Waited records the time that an attempt waited for a backend server.
func (m *Meter) Waited(d time.Duration) { m.waited.Observe(d.Seconds()) }

// Retry counts an attempt that ended with a refusal kind and was followed by
// another.
func (m *Meter) Retry(kind string) { m.retries.WithLabelValues(kind).Inc() }

// Order counts an order to the engine.
func (m *Meter) Order(op, outcome string) { m.orders.WithLabelValues(op, outcome).Inc() }

// Call records a call to the store.
func (m *Meter) Call(call, outcome string, d time.Duration) {
	m.calls.WithLabelValues(call, outcome).Observe(d.Seconds())
}

// Dropped adds the number of log lines that were dropped, as f tells it.
func (m *Meter) Dropped(f func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "oleanderstall_log_lines_dropped_total", Help: "Log lines dropped because there were too many.",
	}, func() float64 { return float64(f()) }))
}

// Wrongful counts a request refused although inside its workspace's rate.
func (m *Meter) Wrongful(workspace, kind string) {
	m.wrongful.WithLabelValues(workspace, kind).Inc()
}

// Tokens counts tokens used.
func (m *Meter) Tokens(workspace string, n float64) { m.tokens.WithLabelValues(workspace).Add(n) }

// First records the time to a first token.
func (m *Meter) First(workspace string, d time.Duration) {
	m.first.WithLabelValues(workspace).Observe(d.Seconds())
}

// Cold records the duration of a load.
func (m *Meter) Cold(d time.Duration) { m.cold.Observe(d.Seconds()) }

// Idle adds idle engine time.
func (m *Meter) Idle(d time.Duration) { m.idle.Add(d.Seconds()) }

// Config sets the configuration version in force.
func (m *Meter) Config(version uint64) { m.config.Set(float64(version)) }

// Shards sets the number of shards held.
func (m *Meter) Shards(n int) { m.shards.Set(float64(n)) }

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
