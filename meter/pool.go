package meter

import "github.com/prometheus/client_golang/prometheus"

// PoolSpeed is what a process expects of the servers of a pool whose times are estimated.
type PoolSpeed struct {
	Pool string
	// Slowest and Fastest are how long work takes now at the slowest and the fastest server,
	// relative to the mean of the pool.
	Slowest, Fastest float64
	// MemoryWaits counts the requests that have waited since they fit into the memory of no server,
	// and MemoryOverfull those that were sent although they didn't fit.
	MemoryWaits, MemoryOverfull uint64
}

// poolCollector collects the speeds of pools.
type poolCollector struct {
	slowest, fastest, waits, overfull *prometheus.Desc
	list                              func() []PoolSpeed
}

// Describe implements prometheus.Collector.
func (c poolCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.slowest, c.fastest, c.waits, c.overfull} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c poolCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, p := range c.list() {
		metrics <- prometheus.MustNewConstMetric(c.slowest, prometheus.GaugeValue, p.Slowest, p.Pool)
		metrics <- prometheus.MustNewConstMetric(c.fastest, prometheus.GaugeValue, p.Fastest, p.Pool)
		metrics <- prometheus.MustNewConstMetric(c.waits, prometheus.CounterValue, float64(p.MemoryWaits), p.Pool)
		metrics <- prometheus.MustNewConstMetric(c.overfull, prometheus.CounterValue, float64(p.MemoryOverfull), p.Pool)
	}
}

// RegisterPools registers the speeds of pools, which list returns, one for each pool. It panics if
// it is called twice.
func (m *Meter) RegisterPools(list func() []PoolSpeed) {
	pool := []string{"pool"}
	m.registry.MustRegister(poolCollector{
		slowest:  prometheus.NewDesc("oleanderstall_pool_slowest", "How long work takes at the slowest server of the pool, relative to its mean.", pool, nil),
		fastest:  prometheus.NewDesc("oleanderstall_pool_fastest", "How long work takes at the fastest server of the pool, relative to its mean.", pool, nil),
		waits:    prometheus.NewDesc("oleanderstall_memory_waits_total", "Requests that waited since they fit into the memory of no server.", pool, nil),
		overfull: prometheus.NewDesc("oleanderstall_memory_overfull_total", "Requests that were sent to a server although they did not fit into its memory.", pool, nil),
		list:     list,
	})
}
