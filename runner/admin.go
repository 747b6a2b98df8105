package runner

import (
	"net/http"

	"github.com/gorilla/mux"

	"oleanderstall/meter"
)

// listenAdmin serves metrics and health at an address. It returns nil if the
// address is empty.
func listenAdmin(address string, m *meter.Meter, ready func() bool) (*server, error) {
	if address == "" {
		return nil, nil
	}
	r := mux.NewRouter()
	r.Handle("/metrics", m.Handler())
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return listen(address, r, nil)
}
