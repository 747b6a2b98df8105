package runner

import (
	"net/http"

	"github.com/gorilla/mux"

	"oleanderstall/meter"
	"oleanderstall/reserver"
)

// startAdminServer serves metrics, health and readiness on an address. It returns nil
// if the address is empty.
func startAdminServer(address string, m *meter.Meter, ready func() bool, guard *callerGuard) (*httpServer, error) {
	if address == "" {
		return nil, nil
	}
	routes := mux.NewRouter()
	routes.Handle("/metrics", m.Handler())
	routes.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	routes.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return startServer(address, routes, nil, guard, reserver.Control)
}
