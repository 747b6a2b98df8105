package meter

import "github.com/prometheus/client_golang/prometheus"

// RegisterEvacuated registers the number of evacuated data centres, which count returns. It panics if
// it is called twice.
func (m *Meter) RegisterEvacuated(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleanderstall_evacuated_centres", Help: "Evacuated data centres as far as this process knows.",
	}, func() float64 { return float64(count()) }))
}

// RegisterEvacuatedRequests registers the number of requests of this entry that still run in evacuated
// data centres, which count returns. It panics if it is called twice.
func (m *Meter) RegisterEvacuatedRequests(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleanderstall_evacuated_requests", Help: "Requests of this entry that still run in evacuated data centres.",
	}, func() float64 { return float64(count()) }))
}
