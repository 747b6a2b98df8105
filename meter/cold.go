package meter

import "github.com/prometheus/client_golang/prometheus"

// RegisterColdServers registers the number of cold backend servers, which count returns. It panics
// if it is called twice.
func (m *Meter) RegisterColdServers(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleanderstall_cold_servers", Help: "Backend servers that are cold as far as this entry knows.",
	}, func() float64 { return float64(count()) }))
}

// RegisterColdPermits registers the number of permits that this process has given out for cold
// backend servers, which count returns. It panics if it is called twice.
func (m *Meter) RegisterColdPermits(count func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "oleanderstall_cold_permits_total", Help: "Permits given out here for requests to cold backend servers.",
	}, func() float64 { return float64(count()) }))
}
